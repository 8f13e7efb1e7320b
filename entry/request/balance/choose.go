package balance

import (
	"math"
	"slices"

	"goldcrestshore/core/process/clock"
)

func (b *Balancer) usable(now clock.Millis, s *service) int {
	n := 0
	for _, u := range s.upstreams {
		if b.view.Usable(u.info) && now >= u.skipUntil {
			n++
		}
	}
	return n
}

// choose returns the upstream with the least load that may take the ticket,
// nil when none may.
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
	if now < s.nextProbe || b.usable(now, s) > 0 {
		return nil
	}
	u := b.search(now, s, t, true)
	if u != nil {
		s.nextProbe = now + probeInterval
		s.down = true
	}
	return u
}

// probeInterval is the time between two tries while all upstreams are skipped.
const probeInterval clock.Millis = 200

// search returns the best upstream, among the skipped ones too if skipped is set.
func (b *Balancer) search(now clock.Millis, s *service, t *Ticket, includeSkipped bool) *upstream {
	var best *upstream
	for i := range s.upstreams {
		u := s.upstreams[(i+s.rotation)%len(s.upstreams)]
		if (now < u.skipUntil && !includeSkipped) || !b.eligible(now, s, u, t) {
			continue
		}
		if best == nil || b.prefer(u, best) {
			best = u
		}
	}
	return best
}

func (b *Balancer) eligible(now clock.Millis, s *service, u *upstream, t *Ticket) bool {
	switch {
	case !b.view.Usable(u.info):
		return false
	case u.load() >= s.limit(u), u.inFlight >= b.connectionLimit(s):
		return false
	case slices.Contains(t.Avoid, u.info.ID), s.unresponsive(now, u):
		return false
	case u.info.Cold(now):
		return u.coldSends.allows(now, b.coldLimit(s))
	}
	return true
}

// connectionLimit is this entry's part of the connections that an upstream
// accepts; a request takes one.
func (b *Balancer) connectionLimit(s *service) int {
	if s.spec.MaxConnections == 0 {
		return math.MaxInt
	}
	return max(1, s.spec.MaxConnections/b.entries)
}

// coldLimit is this entry's part of the requests that a cold upstream bears in
// a second.
func (b *Balancer) coldLimit(s *service) int {
	return max(1, int(s.spec.ColdRequestsPerSecond)/b.entries)
}

func (b *Balancer) prefer(u, best *upstream) bool {
	if u.cost() != best.cost() {
		return u.cost() < best.cost()
	}
	if u.promptTokens != best.promptTokens {
		return u.promptTokens < best.promptTokens
	}
	near, bestNear := u.info.DataCentre == b.settings.DataCentre, best.info.DataCentre == b.settings.DataCentre
	return near && !bestNear
}
