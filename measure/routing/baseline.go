package routing

import (
	"math/rand/v2"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// chooseFunc is the policy of a baseline. It returns the index of a candidate.
type chooseFunc func(b *baseline, candidates []*target) int

// target is the state that a baseline keeps of an upstream: whether it accepts
// work, and the number of the entry's own requests there.
type target struct {
	name        string
	dataCentre  string
	acceptsWork bool
	outstanding int
}

// baseline is a router that uses only the health of upstreams and the entry's own
// requests.
type baseline struct {
	choose          chooseFunc
	random          *rand.Rand
	targets         []*target
	byName          map[string]*target
	targetByRequest map[frame.ID]*target
	drained         string // data centre
	rotation        int
}

func newBaseline(choose chooseFunc, names, dataCentres []string, random *rand.Rand) *baseline {
	b := &baseline{choose: choose, random: random, byName: make(map[string]*target), targetByRequest: make(map[frame.ID]*target)}
	for i, name := range names {
		t := &target{name: name, dataCentre: dataCentres[i]}
		b.targets = append(b.targets, t)
		b.byName[name] = t
	}
	return b
}

// roundRobin chooses the upstreams in rotation.
func roundRobin(b *baseline, candidates []*target) int {
	b.rotation++
	return b.rotation % len(candidates)
}

// leastOutstanding chooses the upstream with the fewest own requests.
func leastOutstanding(b *baseline, candidates []*target) int {
	// The start rotates so that ties do not always go to the first upstream.
	b.rotation++
	best := b.rotation % len(candidates)
	for i := range candidates {
		index := (b.rotation + i) % len(candidates)
		if candidates[index].outstanding < candidates[best].outstanding {
			best = index
		}
	}
	return best
}

// twoChoices draws two upstreams at random and chooses the one with fewer own
// requests.
func twoChoices(b *baseline, candidates []*target) int {
	i, j := b.random.IntN(len(candidates)), b.random.IntN(len(candidates))
	if candidates[j].outstanding < candidates[i].outstanding {
		return j
	}
	return i
}

// Choose applies the policy to the upstreams that accept work and were not tried.
func (b *baseline) Choose(_ clock.Millis, _ route.Request, tried []string) (string, error) {
	var candidates []*target
	for _, t := range b.targets {
		if t.acceptsWork && t.dataCentre != b.drained && !slices.Contains(tried, t.name) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) == 0 {
		return "", route.ErrNoUpstream
	}
	return candidates[b.choose(b, candidates)].name, nil
}

// Sent counts a request at its upstream.
func (b *baseline) Sent(_ clock.Millis, id frame.ID, upstream string, _ route.Request) {
	t := b.byName[upstream]
	t.outstanding++
	b.targetByRequest[id] = t
}

// ended removes a request from the count of its upstream.
func (b *baseline) ended(id frame.ID) {
	if t := b.targetByRequest[id]; t != nil {
		t.outstanding--
		delete(b.targetByRequest, id)
	}
}

// FirstToken does nothing: baselines do not use first tokens.
func (b *baseline) FirstToken(clock.Millis, frame.ID) {}

// Refused removes a refused request.
func (b *baseline) Refused(_ clock.Millis, id frame.ID) { b.ended(id) }

// Done removes a request that ended.
func (b *baseline) Done(_ clock.Millis, id frame.ID, _ bool) { b.ended(id) }

// Heartbeat records whether the upstream accepts work.
func (b *baseline) Heartbeat(_ clock.Millis, upstream string, load frame.Load) {
	b.byName[upstream].acceptsWork = load.Occupancy().Limit() > 0 && !load.Condition().Draining()
}

// DrainChanged records the data centre that is drained, or that none is.
func (b *baseline) DrainChanged(_ clock.Millis, dataCentre string, drained bool) {
	b.drained = ""
	if drained {
		b.drained = dataCentre
	}
}

// CacheEvent does nothing: baselines do not use prefix caches.
func (b *baseline) CacheEvent(clock.Millis, string, engine.CacheEvent) {}

var _ fleet.Router = (*baseline)(nil)
