package balance

import "goldcrestshore/core/process/clock"

// Policy selects how upstreams are chosen. All policies but LeastLoaded are
// baselines for measurements.
type Policy string

// Policies.
const (
	// LeastLoaded chooses the upstream with the fewest requests in flight from
	// all entries, within its limit.
	LeastLoaded Policy = ""
	// RoundRobin chooses upstreams in turn, without limits.
	RoundRobin Policy = "roundRobin"
	// LeastOfTwo chooses, of two random upstreams, the one with fewer requests
	// of this entry in flight, without limits.
	LeastOfTwo Policy = "leastOfTwo"
)

// Valid reports whether p is a defined policy.
func (p Policy) Valid() bool { return p == LeastLoaded || p == RoundRobin || p == LeastOfTwo }

// chooseBaseline chooses an upstream by a baseline policy. It returns nil if no
// upstream is usable.
func (b *Balancer) chooseBaseline(now clock.Millis, s *service) *upstream {
	var usable []*upstream
	for _, u := range s.upstreams {
		if b.view.Usable(u.info) && !u.pauses.has(now, pauseFailed) {
			usable = append(usable, u)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	s.rotation++
	first := usable[s.rotation%len(usable)]
	if b.settings.Policy == RoundRobin {
		return first
	}
	// A multiplicative step replaces the second random draw, so that the decision
	// needs no source of random numbers.
	second := usable[s.rotation*7919%len(usable)]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}
