package placement

import (
	"math"
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// maxStepsPerLayer bounds the moves of one layer in one plan.
	maxStepsPerLayer = 64
	// smoothingFraction is added to the load of each expert as a part of the mean, since
	// an expert that was not chosen for a moment is not chosen never.
	smoothingFraction = 0.05
)

func decay(elapsed, halfLife clock.Millis) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Plan returns a map that divides the loads more evenly and that ranks can
// prepare at once, starting from the map in use. A step is made when it takes at
// least leastGain, as a part, off the cost of its layer.
func Plan(s Shape, current Map, loads Loads, minGain float64) Map {
	next := current.Clone()
	searches := make([]*search, len(next))
	copies := make([]int, s.Ranks)
	for layer := range next {
		searches[layer] = newSearch(s, current[layer], next[layer], loads[layer], copies)
	}
	// The layers take turns, since together they may bring only so many experts
	// to a rank.
	for range maxStepsPerLayer {
		if !stepAll(searches, minGain) {
			break
		}
	}
	return next
}

// stepAll makes one step in each layer and reports whether any was worth it.
func stepAll(searches []*search, minGain float64) bool {
	moved := false
	for _, p := range searches {
		moved = p.step(minGain) || moved
	}
	return moved
}

// search improves one layer step by step.
type search struct {
	shape        Shape
	current      [][]int
	ranks        [][]int
	load         []float64
	replicas     []int
	holders      [][]int
	rankLoad     []float64
	addedExperts []int
	// copies counts the experts that come to each rank over all layers.
	copies []int
	mean   float64
	cost   float64
	// delta holds the change of each rank's load in the step that is tried, and
	// touched the ranks with an entry.
	delta        []float64
	changedRanks []int
}

func newSearch(s Shape, current, ranks [][]int, load []float64, copies []int) *search {
	p := &search{shape: s, current: current, ranks: ranks, delta: make([]float64, len(ranks)), addedExperts: make([]int, len(ranks)), copies: copies}
	total := 0.0
	for _, n := range load {
		total += n
	}
	p.load = make([]float64, len(load))
	floor := smoothingFraction * max(total, 1) / float64(len(load))
	for e, n := range load {
		p.load[e] = n + floor
		p.mean += p.load[e]
	}
	p.mean /= float64(len(ranks))
	p.replicas = countReplicas(ranks, len(load))
	p.holders = make([][]int, len(load))
	p.rankLoad = make([]float64, len(ranks))
	for rank, experts := range ranks {
		for _, e := range experts {
			p.holders[e] = append(p.holders[e], rank)
			p.rankLoad[rank] += p.load[e] / float64(p.replicas[e])
		}
	}
	for r := range p.rankLoad {
		p.cost += p.costTerm(r, p.rankLoad[r])
	}
	return p
}

// workTime is how long the work of a rank takes with a load.
func (p *search) workTime(rank int, load float64) float64 { return load * p.shape.slowdown(rank) }

// costTerm is what a rank adds to the cost: the eighth power follows the rank that
// takes longest and still rewards progress at others.
func (p *search) costTerm(rank int, load float64) float64 {
	x := p.workTime(rank, load) / p.mean
	x *= x
	x *= x
	return x * x
}

// change is a step: expert in comes to a rank, out leaves it, either may be none,
// and in a swap out goes to the rank from which in comes.
type change struct {
	in, out int
	rank    int
	from    int
	swap    bool
	gain    float64
	valid   bool
}

// noExpert stands for no expert.
const noExpert = -1

// step makes the best change for the rank that takes longest and reports whether
// there was one worth making.
func (p *search) step(minGain float64) bool {
	slowest := 0
	for r, l := range p.rankLoad {
		if p.workTime(r, l) > p.workTime(slowest, p.rankLoad[slowest]) {
			slowest = r
		}
	}
	var best change
	for _, e := range p.ranks[slowest] {
		if p.replicas[e] > 1 {
			p.updateBest(&best, change{in: noExpert, out: e, rank: slowest})
		}
		for r := range p.ranks {
			if r == slowest || slices.Contains(p.ranks[r], e) {
				continue
			}
			p.considerMoves(&best, e, r, slowest)
		}
	}
	if !best.valid || best.gain < minGain*p.cost {
		return false
	}
	p.applyChange(best)
	return true
}

// considerMoves tries all ways to bring e from the most loaded rank to r.
func (p *search) considerMoves(best *change, e, r, slowest int) {
	if !p.canAdd(r, e) {
		return
	}
	if len(p.ranks[r]) < p.shape.SlotsPerRank {
		p.updateBest(best, change{in: e, out: noExpert, rank: r, from: slowest})
	}
	for _, x := range p.ranks[r] {
		if p.replicas[x] > 1 {
			p.updateBest(best, change{in: e, out: x, rank: r, from: slowest})
		}
		if !slices.Contains(p.ranks[slowest], x) && p.canAdd(slowest, x) {
			p.updateBest(best, change{in: e, out: x, rank: r, from: slowest, swap: true})
		}
	}
}

// canAdd tells whether a rank can copy an expert in this plan.
func (p *search) canAdd(rank, e int) bool {
	if slices.Contains(p.current[rank], e) {
		return true
	}
	return p.addedExperts[rank] < p.shape.SpareSlots && (p.shape.MaxCopies == 0 || p.copies[rank] < p.shape.MaxCopies)
}

func (p *search) updateBest(best *change, c change) {
	c.gain = p.gain(c)
	if !best.valid || c.gain > best.gain {
		*best = c
		best.valid = true
	}
}

// gain returns by how much a change lowers the cost.
func (p *search) gain(c change) float64 {
	p.changedRanks = p.changedRanks[:0]
	if c.swap {
		in := p.load[c.in] / float64(p.replicas[c.in])
		out := p.load[c.out] / float64(p.replicas[c.out])
		p.addDelta(c.rank, in-out)
		p.addDelta(c.from, out-in)
	} else {
		if c.in != noExpert {
			p.addReplicaDeltas(c.in, p.replicas[c.in]+1)
			p.addDelta(c.rank, p.load[c.in]/float64(p.replicas[c.in]+1))
		}
		if c.out != noExpert {
			p.addReplicaDeltas(c.out, p.replicas[c.out]-1)
			p.addDelta(c.rank, -p.load[c.out]/float64(p.replicas[c.out]-1))
		}
	}
	gain := 0.0
	for _, r := range p.changedRanks {
		gain += p.costTerm(r, p.rankLoad[r]) - p.costTerm(r, p.rankLoad[r]+p.delta[r])
		p.delta[r] = 0
	}
	return gain
}

// addReplicaDeltas notes the loads of the holders of e if it had n replicas.
func (p *search) addReplicaDeltas(e, n int) {
	d := p.load[e]/float64(n) - p.load[e]/float64(p.replicas[e])
	for _, r := range p.holders[e] {
		p.addDelta(r, d)
	}
}

func (p *search) addDelta(rank int, d float64) {
	if !slices.Contains(p.changedRanks, rank) {
		p.changedRanks = append(p.changedRanks, rank)
	}
	p.delta[rank] += d
}

func (p *search) applyChange(c change) {
	if c.swap {
		p.remove(c.from, c.in)
		p.remove(c.rank, c.out)
		p.add(c.rank, c.in)
		p.add(c.from, c.out)
	} else {
		if c.out != noExpert {
			p.remove(c.rank, c.out)
		}
		if c.in != noExpert {
			p.add(c.rank, c.in)
		}
	}
	p.recount()
}

func (p *search) add(rank, e int) {
	p.ranks[rank] = append(p.ranks[rank], e)
	p.holders[e] = append(p.holders[e], rank)
	p.replicas[e]++
	if !slices.Contains(p.current[rank], e) {
		p.addedExperts[rank]++
		p.copies[rank]++
	}
}

func (p *search) remove(rank, e int) {
	i := slices.Index(p.ranks[rank], e)
	p.ranks[rank] = slices.Delete(p.ranks[rank], i, i+1)
	h := slices.Index(p.holders[e], rank)
	p.holders[e] = slices.Delete(p.holders[e], h, h+1)
	p.replicas[e]--
	if !slices.Contains(p.current[rank], e) {
		p.addedExperts[rank]--
		p.copies[rank]--
	}
}

// recount computes loads and cost anew, so that rounding errors do not add up.
func (p *search) recount() {
	p.cost = 0
	for r, experts := range p.ranks {
		p.rankLoad[r] = 0
		for _, e := range experts {
			p.rankLoad[r] += p.load[e] / float64(p.replicas[e])
		}
		p.cost += p.costTerm(r, p.rankLoad[r])
	}
}
