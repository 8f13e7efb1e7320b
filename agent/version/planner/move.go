package planner

import (
	"cmp"
	"slices"
)

// Bounds of the search for one move; they keep a layer's plan under 10 ms.
const (
	hotExperts = 6
	coldRanks  = 6
)

// Move is one expert to load into a slot.
type Move struct {
	layer  int
	slot   int
	expert int
}

// Layer returns the layer, from 0.
func (m Move) Layer() int { return m.layer }

// Slot returns the slot within the layer, from 0 over all ranks.
func (m Move) Slot() int { return m.slot }

// Expert returns the expert to load.
func (m Move) Expert() int { return m.expert }

// step is a candidate change of a layer with the score it leads to.
type step struct {
	slot   int
	expert int
	layer  *Layer
	score  float64
}

// search looks for moves in one layer.
type search struct {
	b       balancer
	trial   balancer
	tokens  []float64
	current *Layer
	score   float64
}

func newSearch(l *Layer, tokens []float64) *search {
	s := &search{tokens: tokens, current: l.Clone()}
	s.b.balance(s.current, tokens)
	s.score = s.b.score(s.current, tokens)
	return s
}

// best returns the move that lowers the score most, into an empty slot if
// empty is set, else into the slot of an expert with further replicas.
func (s *search) best(empty bool) (step, bool) {
	best := step{score: s.score}
	found := false
	for _, e := range s.hottest() {
		for _, slot := range s.targets(e, empty) {
			c := s.try(slot, e)
			if c.score < best.score {
				best = c
				found = true
			}
		}
	}
	return best, found
}

func (s *search) take(c step) {
	s.current = c.layer
	s.b.balance(s.current, s.tokens)
	s.score = s.b.score(s.current, s.tokens)
}

func (s *search) try(slot, expert int) step {
	l := s.current.Clone()
	l.expert[slot] = expert
	l.share[slot] = 0
	s.trial.run(l, s.tokens, trialRounds)
	return step{slot, expert, l, s.trial.score(l, s.tokens)}
}

// loads fills the balancer with the tokens per slot and rank of the layer.
func (s *search) loads() {
	s.b.index(s.current)
	s.b.begin(s.current, s.tokens)
}

// hottest returns the experts that weigh most on the most loaded ranks.
func (s *search) hottest() []int {
	s.loads()
	top := slices.Max(s.b.load)
	weight := make([]float64, len(s.tokens))
	for slot, e := range s.current.expert {
		if e == Empty {
			continue
		}
		load := s.b.load[s.current.Rank(slot)]
		if load > 0.99*top {
			weight[e] = max(weight[e], s.b.x[slot])
		}
	}
	experts := ordered(len(weight), func(e int) float64 { return -weight[e] })
	n := 0
	for n < min(hotExperts, len(experts)) && weight[experts[n]] > 0 {
		n++
	}
	return experts[:n]
}

// targets returns one slot on each of the least loaded ranks that can take the
// expert: the one whose content is missed least.
func (s *search) targets(expert int, empty bool) []int {
	s.loads()
	replicas := s.current.replicas()
	per := s.current.shape.SlotsPerRank
	var slots []int
	for _, rank := range ordered(s.current.shape.Ranks, func(r int) float64 { return s.b.load[r] }) {
		if len(slots) == coldRanks {
			break
		}
		if s.current.holds(rank, expert) {
			continue
		}
		if slot := s.replaceable(rank*per, per, replicas, empty); slot >= 0 {
			slots = append(slots, slot)
		}
	}
	return slots
}

func (s *search) replaceable(first, n int, replicas []int, empty bool) int {
	best := -1
	for slot := first; slot < first+n; slot++ {
		e := s.current.expert[slot]
		if (e == Empty) != empty {
			continue
		}
		if e != Empty && replicas[e] < 2 {
			continue
		}
		if best < 0 || s.b.x[slot] < s.b.x[best] {
			best = slot
		}
	}
	return best
}

// ordered returns 0 to n-1 by ascending key.
func ordered(n int, key func(int) float64) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(key(a), key(b)) })
	return order
}

// Refine returns l after at most n moves that each lower the predicted time of
// a step, whatever they cost, and by how much it is lower than that of l with
// the best shares.
func Refine(l *Layer, tokens []float64, n int) (refined *Layer, gain float64) {
	s := newSearch(l, tokens)
	before := s.score
	for range n {
		c, ok := s.best(false)
		if !ok {
			break
		}
		s.take(c)
	}
	return s.current, before - s.score
}
