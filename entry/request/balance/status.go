package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// State is the assumed state of an upstream.
type State string

// States of upstreams.
const (
	// Usable upstreams take requests.
	Usable State = "usable"
	// Cold upstreams take few requests per second.
	Cold State = "cold"
	// RateLimited upstreams state how many requests per second they take.
	RateLimited State = "rateLimited"
	// Paused upstreams have asked for a pause.
	Paused State = "paused"
	// Skipped upstreams failed and get no requests for a while.
	Skipped State = "skipped"
	// Unresponsive upstreams have requests in flight but send nothing, and neither
	// do their agents.
	Unresponsive State = "silent"
	// Slow upstreams get no requests while most others are fast.
	Slow State = "slow"
	// Closed upstreams belong to a group that runs nothing until it has formed again.
	Closed State = "closed"
	// OutOfService upstreams are draining, superseded or not at their address, or
	// their data centre is out of service.
	OutOfService State = "out"
)

// States lists all states, so that states without upstreams are reported too.
var States = []State{Usable, Cold, RateLimited, Paused, Skipped, Unresponsive, Slow, Closed, OutOfService}

// Status is the state of one service, for metrics.
type Status struct {
	Service string
	// Queued is the number of waiting requests by priority.
	Queued map[int]int
	// QueuedCustomers is the number of customers whose requests wait, and MostQueued the highest number
	// of waiting requests of one of them.
	QueuedCustomers, MostQueued int
	// Upstreams is the number of upstreams by state, and Lapsed the number of those whose
	// registrations have lapsed and whose state is kept.
	Upstreams map[State]int
	Lapsed    int
	// MaxInactivity is the longest time for which an upstream with requests in
	// flight has sent nothing.
	MaxInactivity clock.Millis
	// InFlight and Limit are the number of requests in flight at all upstreams,
	// and the number allowed.
	InFlight, Limit int
	// Connections is the highest number of connections of this entry to one
	// upstream, and ConnectionLimit its share of those that one accepts, 0 for no
	// limit.
	Connections, ConnectionLimit int
	// ColdSent is the highest number of requests that this entry sent to one cold
	// upstream in the last second, and ColdLimit its share of those that one can
	// take.
	ColdSent  int
	ColdLimit float64
	// Retries is the state of the retry budget.
	Retries RetryBudget
}

// Status returns the state of all services in the configuration.
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
	st := Status{Service: s.spec.Name, Queued: make(map[int]int), Upstreams: make(map[State]int), ColdLimit: b.coldLimit(now, s), Lapsed: len(s.lapsed.upstreams)}
	st.Retries = b.RetryBudget(now, s.spec.Name)
	if s.spec.MaxConnections > 0 {
		st.ConnectionLimit = b.connectionLimit(now, s)
	}
	for _, c := range s.queue.classes {
		st.Queued[c.priority] = c.length
	}
	st.QueuedCustomers, st.MostQueued = s.queue.customers()
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
	case !b.view.Usable(u.info), u.pauses.has(now, pauseMisdirected):
		return OutOfService
	case u.groupState == group.StateClosed:
		return Closed
	case u.pauses.has(now, pauseRequested):
		return Paused
	case u.pauses.has(now, pauseFailed):
		return Skipped
	case s.unresponsive(now, u):
		return Unresponsive
	case s.limit(u) == 0:
		return Slow
	case u.info.Cold(now):
		return Cold
	case u.rateLimit.Limited():
		return RateLimited
	}
	return Usable
}
