package planner

import (
	"cmp"
	"slices"
)

// Limits of the search for one move. They keep the planning of a layer under
// 10 ms.
const (
	maxHotExperts  = 6
	maxTargetRanks = 6
)

// Move is an expert to load into a slot.
type Move struct {
	layer  int
	slot   int
	expert int
}

// Layer returns the layer, from 0.
func (m Move) Layer() int { return m.layer }

// Slot returns the slot within the layer, counted from 0 across all ranks.
func (m Move) Slot() int { return m.slot }

// Expert returns the expert to load.
func (m Move) Expert() int { return m.expert }

// candidate is a possible move with the resulting layer and its score.
type candidate struct {
	slot   int
	expert int
	layer  *Layer
	score  float64
}

// search finds moves in one layer.
type search struct {
	mainBalancer  balancer
	trialBalancer balancer
	tokens        []float64
	current       *Layer
	score         float64
}

func newSearch(l *Layer, tokens []float64) *search {
	s := &search{tokens: tokens, current: l.Clone()}
	s.mainBalancer.balance(s.current, tokens)
	s.score = s.mainBalancer.score(s.current, tokens)
	return s
}

// best returns the move that reduces the score most. The target is an empty slot
// if empty is set, else the slot of an expert that has other replicas.
func (s *search) best(empty bool) (candidate, bool) {
	best := candidate{score: s.score}
	found := false
	for _, e := range s.hottest() {
		for _, slot := range s.targets(e, empty) {
			c := s.evaluate(slot, e)
			if c.score < best.score {
				best = c
				found = true
			}
		}
	}
	return best, found
}

// apply makes the layer of a candidate current.
func (s *search) apply(c candidate) {
	s.current = c.layer
	s.mainBalancer.balance(s.current, s.tokens)
	s.score = s.mainBalancer.score(s.current, s.tokens)
}

// evaluate returns the candidate that loads an expert into a slot.
func (s *search) evaluate(slot, expert int) candidate {
	l := s.current.Clone()
	l.expert[slot] = expert
	l.share[slot] = 0
	s.trialBalancer.run(l, s.tokens, maxTrialRounds)
	return candidate{slot, expert, l, s.trialBalancer.score(l, s.tokens)}
}

// computeLoads sets the tokens per slot and rank of the current layer in
// mainBalancer.
func (s *search) computeLoads() {
	s.mainBalancer.indexSlots(s.current)
	s.mainBalancer.initLoads(s.current, s.tokens)
}

// hottest returns the experts with the most tokens on the most loaded ranks, in
// descending order.
func (s *search) hottest() []int {
	s.computeLoads()
	maxLoad := slices.Max(s.mainBalancer.rankLoad)
	weight := make([]float64, len(s.tokens))
	for slot, e := range s.current.expert {
		if e == Empty {
			continue
		}
		rankLoad := s.mainBalancer.rankLoad[s.current.Rank(slot)]
		if rankLoad > 0.99*maxLoad {
			weight[e] = max(weight[e], s.mainBalancer.slotTokens[slot])
		}
	}
	experts := sortedIndices(len(weight), func(e int) float64 { return -weight[e] })
	n := 0
	for n < min(maxHotExperts, len(experts)) && weight[experts[n]] > 0 {
		n++
	}
	return experts[:n]
}

// targets returns one slot on each of the least loaded ranks that can take the
// expert: the usable slot with the fewest tokens.
func (s *search) targets(expert int, empty bool) []int {
	s.computeLoads()
	replicas := s.current.replicas()
	slotsPerRank := s.current.shape.SlotsPerRank
	var slots []int
	for _, rank := range sortedIndices(s.current.shape.Ranks, func(r int) float64 { return s.mainBalancer.rankLoad[r] }) {
		if len(slots) == maxTargetRanks {
			break
		}
		if s.current.holds(rank, expert) {
			continue
		}
		if slot := s.leastLoadedSlot(rank*slotsPerRank, slotsPerRank, replicas, empty); slot >= 0 {
			slots = append(slots, slot)
		}
	}
	return slots
}

// leastLoadedSlot returns the usable slot with the fewest tokens among n slots
// from first, or -1. A slot is usable if it is empty, when empty is set, or else
// if its expert has another replica.
func (s *search) leastLoadedSlot(first, n int, replicas []int, empty bool) int {
	best := -1
	for slot := first; slot < first+n; slot++ {
		e := s.current.expert[slot]
		if (e == Empty) != empty {
			continue
		}
		if e != Empty && replicas[e] < 2 {
			continue
		}
		if best < 0 || s.mainBalancer.slotTokens[slot] < s.mainBalancer.slotTokens[best] {
			best = slot
		}
	}
	return best
}

// sortedIndices returns the integers from 0 to n-1 sorted by ascending key.
func sortedIndices(n int, key func(int) float64) []int {
	indices := make([]int, n)
	for i := range indices {
		indices[i] = i
	}
	slices.SortStableFunc(indices, func(a, b int) int { return cmp.Compare(key(a), key(b)) })
	return indices
}

// Refine returns l after at most n moves that each reduce the score, regardless
// of their cost. The gain is the reduction relative to l with balanced shares.
func Refine(l *Layer, tokens []float64, n int) (refined *Layer, gain float64) {
	s := newSearch(l, tokens)
	before := s.score
	for range n {
		c, ok := s.best(false)
		if !ok {
			break
		}
		s.apply(c)
	}
	return s.current, before - s.score
}
