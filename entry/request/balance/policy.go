package balance

import "goldcrestshore/core/process/clock"

// Policy is a way to choose upstreams. All but LeastLoaded are baselines for
// measurements.
type Policy string

// Policies.
const (
	// LeastLoaded takes the upstream that holds the least over all entries,
	// within its limit.
	LeastLoaded Policy = ""
	// RoundRobin takes upstreams in turn, without limits.
	RoundRobin Policy = "roundRobin"
	// LeastOfTwo takes the one of two random upstreams that holds less of this
	// entry's requests, without limits.
	LeastOfTwo Policy = "leastOfTwo"
)

// Valid tells whether there is such a policy.
func (p Policy) Valid() bool { return p == LeastLoaded || p == RoundRobin || p == LeastOfTwo }

// chooseBaseline chooses by one of the baselines, nil when no upstream is usable.
func (b *Balancer) chooseBaseline(now clock.Millis, s *service) *upstream {
	var usable []*upstream
	for _, u := range s.upstreams {
		if b.view.Usable(u.info) && now >= u.skipUntil {
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
	// A multiplicative step stands in for the second random draw, so that the
	// decision needs no source of random numbers.
	second := usable[s.rotation*7919%len(usable)]
	if second.inFlight < first.inFlight {
		return second
	}
	return first
}
