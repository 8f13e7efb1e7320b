package placement

import (
	"math"
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// maxStepsPerLayer bounds the steps of one layer in one plan.
	maxStepsPerLayer = 64
	// smoothingFraction is the fraction of the mean load that is added to the load
	// of each expert: an expert that received no tokens recently may receive some
	// again.
	smoothingFraction = 0.05
)

// decay returns the remaining weight of a count after elapsed.
func decay(elapsed, halfLife clock.Millis) float64 {
	if halfLife <= 0 {
		return 0
	}
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Plan returns a map that distributes the loads more evenly than the current one
// and that ranks can prepare in one change. It takes a step only if the step
// reduces the cost of its layer by at least the fraction minGain.
func Plan(s Shape, current Map, loads Loads, minGain float64) Map {
	next := current.Clone()
	searches := make([]*search, len(next))
	copies := make([]int, s.Ranks)
	for layer := range next {
		searches[layer] = newSearch(s, current[layer], next[layer], loads[layer], copies)
	}
	// The layers alternate, since they share the limit on the experts added to a
	// rank (Shape.MaxCopies).
	for range maxStepsPerLayer {
		if !stepAll(searches, minGain) {
			break
		}
	}
	return next
}

// stepAll takes one step in each layer and reports whether any layer changed.
func stepAll(searches []*search, minGain float64) bool {
	moved := false
	for _, p := range searches {
		moved = p.step(minGain) || moved
	}
	return moved
}

// search improves the map of one layer step by step.
type search struct {
	shape        Shape
	current      [][]int
	ranks        [][]int
	load         []float64
	replicas     []int
	holders      [][]int
	rankLoad     []float64
	addedExperts []int
	// copies counts the experts added to each rank over all layers; the searches of
	// all layers share it.
	copies []int
	mean   float64
	cost   float64
	// delta holds the change of each rank's load in the step being evaluated, and
	// changedRanks the ranks that it affects.
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

// workTime returns how long the work of a rank takes at a load.
func (p *search) workTime(rank int, load float64) float64 { return load * p.shape.slowdown(rank) }

// costTerm returns the contribution of a rank to the cost. The eighth power is
// dominated by the slowest rank and still rewards improvements at others.
func (p *search) costTerm(rank int, load float64) float64 {
	x := p.workTime(rank, load) / p.mean
	x *= x
	x *= x
	return x * x
}

// change is a candidate step: rank gains the expert in and loses the expert out,
// either of which may be noExpert. In a swap, out moves to the rank from, which
// loses in.
type change struct {
	in, out int
	rank    int
	from    int
	swap    bool
	gain    float64
	valid   bool
}

const noExpert = -1

// step applies the best change for the slowest rank and reports whether there was
// one whose gain is sufficient.
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

// considerMoves evaluates all ways to add e, an expert of the slowest rank, to r.
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

// canAdd reports whether a plan may add an expert to a rank.
func (p *search) canAdd(rank, e int) bool {
	if slices.Contains(p.current[rank], e) {
		return true
	}
	return p.addedExperts[rank] < p.shape.SpareSlots && (p.shape.MaxCopies == 0 || p.copies[rank] < p.shape.MaxCopies)
}

// updateBest replaces best by c if c has the larger gain.
func (p *search) updateBest(best *change, c change) {
	c.gain = p.gain(c)
	if !best.valid || c.gain > best.gain {
		*best = c
		best.valid = true
	}
}

// gain returns by how much a change reduces the cost.
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

// addReplicaDeltas adds the load changes of the ranks that hold e for the case that
// it has n replicas.
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

// recount recomputes the loads and the cost, so that rounding errors do not
// accumulate.
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
