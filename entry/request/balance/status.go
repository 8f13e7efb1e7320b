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
	// Unresponsive upstreams send nothing, and neither do their agents.
	Unresponsive State = "silent"
	// Slow upstreams get nothing while most others are quick.
	Slow State = "slow"
	// OutOfService upstreams are draining, or their data centre is out of service.
	OutOfService State = "out"
)

// States are all states, so that each is reported also when no upstream has it.
var States = []State{Usable, Cold, Skipped, Unresponsive, Slow, OutOfService}

// Status is what a balancer knows of one service, for metrics.
type Status struct {
	Service string
	// Queued are the waiting requests by priority.
	Queued map[int]int
	// Upstreams are the upstreams by state.
	Upstreams map[State]int
	// MaxInactivity is the longest time for which a busy upstream has sent nothing.
	MaxInactivity clock.Millis
	// InFlight and Limit are the requests at all upstreams and the most that may be.
	InFlight, Limit int
	// Connections is the most that this entry holds at one upstream, and
	// ConnectionLimit its part of what one accepts, 0 for no bound.
	Connections, ConnectionLimit int
	// ColdSent is the most that a cold upstream got from this entry in the last
	// second, and ColdLimit its part of what one bears.
	ColdSent, ColdLimit int
	// Retries were sent in the window of the retry budget, and RetriesAllowed may be.
	Retries, RetriesAllowed float64
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
	st.Retries, st.RetriesAllowed = s.budget.usage(now, b.retryAllowance())
	if s.spec.MaxConnections > 0 {
		st.ConnectionLimit = b.connectionLimit(s)
	}
	for _, t := range s.queue {
		st.Queued[t.Priority]++
	}
	for _, u := range s.upstreams {
		st.Upstreams[b.state(now, s, u)]++
		st.InFlight += u.load()
		st.Limit += s.limit(u)
		st.Connections = max(st.Connections, u.inFlight)
		if u.inFlight > 0 {
			st.MaxInactivity = max(st.MaxInactivity, now-u.lastActive)
		}
		if u.info.Cold(now) {
			st.ColdSent = max(st.ColdSent, u.coldSends.count(now))
		}
	}
	return st
}

func (b *Balancer) state(now clock.Millis, s *service, u *upstream) State {
	switch {
	case !b.view.Usable(u.info):
		return OutOfService
	case now < u.skipUntil:
		return Skipped
	case s.unresponsive(now, u):
		return Unresponsive
	case s.limit(u) == 0:
		return Slow
	case u.info.Cold(now):
		return Cold
	}
	return Usable
}
