package placement

import (
	"math"
	"slices"

	"goldcrestshore/core/process/clock"
)

const (
	// maxSteps bounds the moves of one layer in one plan.
	maxSteps = 64
	// smoothing is added to the load of each expert as a part of the mean, since
	// an expert that was not chosen for a moment is not chosen never.
	smoothing = 0.05
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
func Plan(s Shape, current Map, loads Loads, leastGain float64) Map {
	next := current.Clone()
	searches := make([]*search, len(next))
	copies := make([]int, s.Ranks)
	for layer := range next {
		searches[layer] = newSearch(s, current[layer], next[layer], loads[layer], copies)
	}
	// The layers take turns, since together they may bring only so many experts
	// to a rank.
	for range maxSteps {
		if !stepAll(searches, leastGain) {
			break
		}
	}
	return next
}

// stepAll makes one step in each layer and reports whether any was worth it.
func stepAll(searches []*search, leastGain float64) bool {
	moved := false
	for _, p := range searches {
		moved = p.step(leastGain) || moved
	}
	return moved
}

// search improves one layer step by step.
type search struct {
	shape    Shape
	before   [][]int
	ranks    [][]int
	load     []float64
	replicas []int
	holders  [][]int
	rankLoad []float64
	added    []int
	// copies counts the experts that come to each rank over all layers.
	copies []int
	mean   float64
	cost   float64
	// delta holds the change of each rank's load in the step that is tried, and
	// touched the ranks with an entry.
	delta   []float64
	touched []int
}

func newSearch(s Shape, before, ranks [][]int, load []float64, copies []int) *search {
	p := &search{shape: s, before: before, ranks: ranks, delta: make([]float64, len(ranks)), added: make([]int, len(ranks)), copies: copies}
	total := 0.0
	for _, n := range load {
		total += n
	}
	p.load = make([]float64, len(load))
	floor := smoothing * max(total, 1) / float64(len(load))
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
		p.cost += p.term(r, p.rankLoad[r])
	}
	return p
}

// time is how long the work of a rank takes with a load.
func (p *search) time(rank int, load float64) float64 { return load * p.shape.pace(rank) }

// term is what a rank adds to the cost: the eighth power follows the rank that
// takes longest and still rewards progress at others.
func (p *search) term(rank int, load float64) float64 {
	x := p.time(rank, load) / p.mean
	x *= x
	x *= x
	return x * x
}

// change is a step: expert in comes to a rank, out leaves it, either may be none,
// and in a swap out goes to the rank from which in comes.
type change struct {
	in, out  int
	rank     int
	from     int
	swap     bool
	gain     float64
	possible bool
}

// none stands for no expert.
const none = -1

// step makes the best change for the rank that takes longest and reports whether
// there was one worth making.
func (p *search) step(leastGain float64) bool {
	top := 0
	for r, l := range p.rankLoad {
		if p.time(r, l) > p.time(top, p.rankLoad[top]) {
			top = r
		}
	}
	var best change
	for _, e := range p.ranks[top] {
		if p.replicas[e] > 1 {
			p.keep(&best, change{in: none, out: e, rank: top})
		}
		for r := range p.ranks {
			if r == top || slices.Contains(p.ranks[r], e) {
				continue
			}
			p.consider(&best, e, r, top)
		}
	}
	if !best.possible || best.gain < leastGain*p.cost {
		return false
	}
	p.apply(best)
	return true
}

// consider tries all ways to bring e from the most loaded rank to r.
func (p *search) consider(best *change, e, r, top int) {
	if !p.mayAdd(r, e) {
		return
	}
	if len(p.ranks[r]) < p.shape.SlotsPerRank {
		p.keep(best, change{in: e, out: none, rank: r, from: top})
	}
	for _, x := range p.ranks[r] {
		if p.replicas[x] > 1 {
			p.keep(best, change{in: e, out: x, rank: r, from: top})
		}
		if !slices.Contains(p.ranks[top], x) && p.mayAdd(top, x) {
			p.keep(best, change{in: e, out: x, rank: r, from: top, swap: true})
		}
	}
}

// mayAdd tells whether a rank can copy an expert in this plan.
func (p *search) mayAdd(rank, e int) bool {
	if slices.Contains(p.before[rank], e) {
		return true
	}
	return p.added[rank] < p.shape.SpareSlots && (p.shape.MaxCopies == 0 || p.copies[rank] < p.shape.MaxCopies)
}

func (p *search) keep(best *change, c change) {
	c.gain = p.gain(c)
	if !best.possible || c.gain > best.gain {
		*best = c
		best.possible = true
	}
}

// gain returns by how much a change lowers the cost.
func (p *search) gain(c change) float64 {
	p.touched = p.touched[:0]
	if c.swap {
		in := p.load[c.in] / float64(p.replicas[c.in])
		out := p.load[c.out] / float64(p.replicas[c.out])
		p.touch(c.rank, in-out)
		p.touch(c.from, out-in)
	} else {
		if c.in != none {
			p.spread(c.in, p.replicas[c.in]+1)
			p.touch(c.rank, p.load[c.in]/float64(p.replicas[c.in]+1))
		}
		if c.out != none {
			p.spread(c.out, p.replicas[c.out]-1)
			p.touch(c.rank, -p.load[c.out]/float64(p.replicas[c.out]-1))
		}
	}
	gain := 0.0
	for _, r := range p.touched {
		gain += p.term(r, p.rankLoad[r]) - p.term(r, p.rankLoad[r]+p.delta[r])
		p.delta[r] = 0
	}
	return gain
}

// spread notes the loads of the holders of e if it had n replicas.
func (p *search) spread(e, n int) {
	d := p.load[e]/float64(n) - p.load[e]/float64(p.replicas[e])
	for _, r := range p.holders[e] {
		p.touch(r, d)
	}
}

func (p *search) touch(rank int, d float64) {
	if !slices.Contains(p.touched, rank) {
		p.touched = append(p.touched, rank)
	}
	p.delta[rank] += d
}

func (p *search) apply(c change) {
	if c.swap {
		p.remove(c.from, c.in)
		p.remove(c.rank, c.out)
		p.add(c.rank, c.in)
		p.add(c.from, c.out)
	} else {
		if c.out != none {
			p.remove(c.rank, c.out)
		}
		if c.in != none {
			p.add(c.rank, c.in)
		}
	}
	p.recount()
}

func (p *search) add(rank, e int) {
	p.ranks[rank] = append(p.ranks[rank], e)
	p.holders[e] = append(p.holders[e], rank)
	p.replicas[e]++
	if !slices.Contains(p.before[rank], e) {
		p.added[rank]++
		p.copies[rank]++
	}
}

func (p *search) remove(rank, e int) {
	i := slices.Index(p.ranks[rank], e)
	p.ranks[rank] = slices.Delete(p.ranks[rank], i, i+1)
	h := slices.Index(p.holders[e], rank)
	p.holders[e] = slices.Delete(p.holders[e], h, h+1)
	p.replicas[e]--
	if !slices.Contains(p.before[rank], e) {
		p.added[rank]--
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
		p.cost += p.term(r, p.rankLoad[r])
	}
}
