package balance

import "goldcrestshore/core/process/clock"

// State is what is believed of an upstream.
type State string

// States of upstreams.
const (
	// Usable upstreams take requests.
	Usable State = "usable"
	// Cold upstreams take few requests a second.
	Cold State = "cold"
	// Skipped upstreams failed and get nothing for a while.
	Skipped State = "skipped"
	// Silent upstreams send nothing, and neither do their agents.
	Silent State = "silent"
	// Slow upstreams get nothing while most others are quick.
	Slow State = "slow"
	// Out upstreams are draining, or their data centre is out of service.
	Out State = "out"
)

// States are all states, so that each is reported also when no upstream has it.
var States = []State{Usable, Cold, Skipped, Silent, Slow, Out}

// Status is what a balancer knows of one service, for metrics.
type Status struct {
	Service string
	// Queued are the waiting requests by priority.
	Queued map[int]int
	// Upstreams are the upstreams by state.
	Upstreams map[State]int
	// Oldest is the longest time for which a busy upstream has sent nothing.
	Oldest clock.Millis
	// Held and Limit are the requests at all upstreams and the most that may be.
	Held, Limit int
	// Connections is the most that this entry holds at one upstream, and
	// ConnectionLimit its part of what one accepts, 0 for no bound.
	Connections, ConnectionLimit int
	// ColdSent is the most that a cold upstream got from this entry in the last
	// second, and ColdLimit its part of what one bears.
	ColdSent, ColdLimit int
	// Repeats were sent in the window of the retry budget, and RepeatsAllowed may be.
	Repeats, RepeatsAllowed float64
}

// Status returns the state of all services that the configuration names.
func (b *Balancer) Status(now clock.Millis) []Status {
	var out []Status
	for _, s := range b.services {
		if s.spec != nil {
			out = append(out, b.status(now, s))
		}
	}
	return out
}

func (b *Balancer) status(now clock.Millis, s *service) Status {
	st := Status{Service: s.spec.Name, Queued: make(map[int]int), Upstreams: make(map[State]int), ColdLimit: b.coldLimit(s)}
	st.Repeats, st.RepeatsAllowed = s.budget.usage(now, b.retryAllowance())
	if s.spec.MaxConnections > 0 {
		st.ConnectionLimit = b.connectionLimit(s)
	}
	for _, t := range s.queue {
		st.Queued[t.Priority]++
	}
	for _, u := range s.upstreams {
		st.Upstreams[b.state(now, s, u)]++
		st.Held += u.load()
		st.Limit += s.limit(u)
		st.Connections = max(st.Connections, u.held)
		if u.held > 0 {
			st.Oldest = max(st.Oldest, now-u.heard)
		}
		if u.entry.Cold(now) {
			st.ColdSent = max(st.ColdSent, u.cold.count(now))
		}
	}
	return st
}

func (b *Balancer) state(now clock.Millis, s *service, u *upstream) State {
	switch {
	case !b.view.Usable(u.entry):
		return Out
	case now < u.skipTo:
		return Skipped
	case s.silent(now, u):
		return Silent
	case s.limit(u) == 0:
		return Slow
	case u.entry.Cold(now):
		return Cold
	}
	return Usable
}
