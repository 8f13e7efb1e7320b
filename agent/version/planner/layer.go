// Package planner decides which experts of each layer of a model each rank
// holds, and how the tokens of an expert are divided over its replicas, such
// that the slowest rank of a group is not much slower than the mean.
//
// Planner takes token counts and the outcomes of proposals as events and returns
// proposals; it does no I/O. docs/decisions/expert-map-planner.md explains the
// design and has the measurements behind it.
package planner

import "slices"

// Empty marks a slot that the map does not use.
const Empty = -1

// Shape describes the dimensions of a group and its model.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Experts is the number of experts per layer.
	Experts int
	// Ranks is the number of ranks.
	Ranks int
	// SlotsPerRank is the number of experts per layer that a rank can hold.
	SlotsPerRank int
}

// Slots returns the number of slots of a layer across all ranks.
func (s Shape) Slots() int { return s.Ranks * s.SlotsPerRank }

// Layer is the expert map of one layer. Slot i belongs to rank
// i / SlotsPerRank.
type Layer struct {
	shape  Shape
	expert []int
	share  []float64
}

// Expert returns the expert in a slot, or Empty.
func (l *Layer) Expert(slot int) int { return l.expert[slot] }

// Share returns the fraction of its expert's tokens that a slot receives, from 0
// to 1.
func (l *Layer) Share(slot int) float64 { return l.share[slot] }

// Rank returns the rank that a slot belongs to.
func (l *Layer) Rank(slot int) int { return slot / l.shape.SlotsPerRank }

// Clone returns a deep copy.
func (l *Layer) Clone() *Layer {
	return &Layer{l.shape, slices.Clone(l.expert), slices.Clone(l.share)}
}

// Moved returns the number of slots whose expert must be loaded to change from l
// to other.
func (l *Layer) Moved(other *Layer) int {
	moved := 0
	for slot, e := range other.expert {
		if e != Empty && l.expert[slot] != e {
			moved++
		}
	}
	return moved
}

// Tokens stores the number of tokens per rank in perRank, for a step with the
// given counts per expert. The tokens of each expert are divided by share and
// rounded to whole tokens.
func (l *Layer) Tokens(counts []int, perRank []int) {
	clear(perRank)
	assigned := make([]int, l.shape.Experts)
	cumulativeShare := make([]float64, l.shape.Experts)
	for slot, e := range l.expert {
		if e == Empty {
			continue
		}
		cumulativeShare[e] += l.share[slot]
		cumulativeTokens := int(cumulativeShare[e]*float64(counts[e]) + 0.5)
		perRank[l.Rank(slot)] += cumulativeTokens - assigned[e]
		assigned[e] = cumulativeTokens
	}
}

// replicas returns the number of slots of each expert.
func (l *Layer) replicas() []int {
	n := make([]int, l.shape.Experts)
	for _, e := range l.expert {
		if e != Empty {
			n[e]++
		}
	}
	return n
}

// holds reports whether a slot of the rank has the expert.
func (l *Layer) holds(rank, expert int) bool {
	first := rank * l.shape.SlotsPerRank
	return slices.Contains(l.expert[first:first+l.shape.SlotsPerRank], expert)
}
