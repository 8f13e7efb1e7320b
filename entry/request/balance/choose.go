package balance

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// usable returns the number of upstreams that are in service and not skipped.
func (b *Balancer) usable(now clock.Millis, s *service) int {
	n := 0
	for _, u := range s.upstreams {
		if b.inService(now, u) && !u.pauses.has(now, pauseFailed) {
			n++
		}
	}
	return n
}

// usableFor returns the number of upstreams that are in service and not skipped for a customer.
func (b *Balancer) usableFor(now clock.Millis, s *service, customer string) int {
	n := 0
	for _, u := range s.upstreams {
		if b.inService(now, u) && !u.skippedFor(now, customer) {
			n++
		}
	}
	return n
}

// inService reports whether u may get requests, apart from being skipped: its
// registration holds, no pause bars it, and its group is not known to be closed.
func (b *Balancer) inService(now clock.Millis, u *upstream) bool {
	return b.view.Usable(u.info) && !u.pauses.bars(now) && u.groupState != group.StateClosed
}

// choose returns the upstream with the lowest cost that can take the ticket, or
// nil if there is none. While all upstreams in service are skipped for its customer, it
// returns one of them per probeInterval, as a probe.
func (b *Balancer) choose(now clock.Millis, s *service, t *Ticket) *upstream {
	if s.spec == nil {
		return nil
	}
	if b.settings.Policy != LeastLoaded {
		return b.chooseBaseline(now, s)
	}
	s.rotation++
	if u := b.search(now, s, t, false); u != nil {
		return u
	}
	if now < s.nextProbe || b.usableFor(now, s, t.Customer) > 0 {
		return nil
	}
	u := b.search(now, s, t, true)
	if u != nil {
		s.nextProbe = now + probeInterval
		s.down = s.down || b.usable(now, s) == 0
	}
	return u
}

// probeInterval is the time between two probes while all upstreams are skipped.
const probeInterval clock.Millis = 200

// search returns the best eligible upstream, or nil if there is none. It starts
// at another upstream each time, so that equal ones take turns.
func (b *Balancer) search(now clock.Millis, s *service, t *Ticket, includeSkipped bool) *upstream {
	var best *upstream
	for i := range s.upstreams {
		u := s.upstreams[(i+s.rotation)%len(s.upstreams)]
		if (u.skippedFor(now, t.Customer) && !includeSkipped) || !b.eligible(now, s, u, t) {
			continue
		}
		if best == nil || b.prefer(now, u, best) {
			best = u
		}
	}
	return best
}

// eligible reports whether u can take t now, apart from being skipped.
func (b *Balancer) eligible(now clock.Millis, s *service, u *upstream, t *Ticket) bool {
	switch {
	case !b.inService(now, u):
		return false
	case u.onTrial && u.trials > 0:
		return false
	case u.load() >= s.limit(u), !b.connectionAllows(now, s, u):
		return false
	case slices.Contains(t.Avoid, u.info.ID), s.unresponsive(now, u):
		return false
	case now < b.nextAllowed(now, u):
		return false
	case u.info.Cold(now):
		return b.coldAllows(now, s, u)
	}
	return true
}

// prefer reports whether u is better than best: by cost, then by the prompt tokens
// that wait for prefill, then by being in the data centre of this entry.
func (b *Balancer) prefer(now clock.Millis, u, best *upstream) bool {
	if cost, bestCost := u.cost(now), best.cost(now); cost != bestCost {
		return cost < bestCost
	}
	if u.promptTokens != best.promptTokens {
		return u.promptTokens < best.promptTokens
	}
	near, bestNear := u.info.DataCentre == b.settings.DataCentre, best.info.DataCentre == b.settings.DataCentre
	return near && !bestNear
}

// anyFree reports whether an upstream has room for a request to which no upstream is barred.
func (b *Balancer) anyFree(now clock.Millis, s *service) bool {
	if s.spec == nil {
		return false
	}
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return b.eligible(now, s, u, &Ticket{}) })
}
