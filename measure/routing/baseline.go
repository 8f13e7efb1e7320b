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

// chooseFunc is the rule of a baseline: the index of one of the candidates.
type chooseFunc func(b *baseline, candidates []*target) int

// target is what a baseline knows of an upstream: whether it takes work, and
// the entry's own requests there.
type target struct {
	name        string
	dataCentre  string
	acceptsWork bool
	outstanding int
}

// baseline is a router that looks at health and own requests only.
type baseline struct {
	choose            chooseFunc
	random            *rand.Rand
	targets           []*target
	byName            map[string]*target
	targetByRequest   map[frame.ID]*target
	drainedDataCentre string
	rotation          int
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

// roundRobin takes the upstreams in turn.
func roundRobin(b *baseline, candidates []*target) int {
	b.rotation++
	return b.rotation % len(candidates)
}

// leastOutstanding takes the upstream with the fewest own requests.
func leastOutstanding(b *baseline, candidates []*target) int {
	// The start rotates, so that ties do not all go to the first upstream.
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

// twoChoices takes the one with fewer own requests of two drawn at random.
func twoChoices(b *baseline, candidates []*target) int {
	i, j := b.random.IntN(len(candidates)), b.random.IntN(len(candidates))
	if candidates[j].outstanding < candidates[i].outstanding {
		return j
	}
	return i
}

// Choose applies the rule to the upstreams that take work.
func (b *baseline) Choose(_ clock.Millis, _ route.Request, tried []string) (string, error) {
	var candidates []*target
	for _, t := range b.targets {
		if t.acceptsWork && t.dataCentre != b.drainedDataCentre && !slices.Contains(tried, t.name) {
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

func (b *baseline) ended(id frame.ID) {
	if t := b.targetByRequest[id]; t != nil {
		t.outstanding--
		delete(b.targetByRequest, id)
	}
}

// FirstToken is of no use to a baseline.
func (b *baseline) FirstToken(clock.Millis, frame.ID) {}

// Refused ends a request.
func (b *baseline) Refused(_ clock.Millis, id frame.ID) { b.ended(id) }

// Done ends a request.
func (b *baseline) Done(_ clock.Millis, id frame.ID, _ bool) { b.ended(id) }

// Heartbeat tells whether the upstream takes work.
func (b *baseline) Heartbeat(_ clock.Millis, upstream string, load frame.Load) {
	b.byName[upstream].acceptsWork = load.Occupancy().Limit() > 0 && !load.Condition().Draining()
}

// SetDrained notes the data centre that is out.
func (b *baseline) SetDrained(_ clock.Millis, dataCentre string, drained bool) {
	b.drainedDataCentre = ""
	if drained {
		b.drainedDataCentre = dataCentre
	}
}

// CacheEvent is of no use to a baseline.
func (b *baseline) CacheEvent(clock.Millis, string, engine.CacheEvent) {}

var _ fleet.Router = (*baseline)(nil)
