// Package planner decides which experts of a model's layers each rank holds,
// and how an expert's tokens divide over its replicas, so that the slowest
// rank of a group is not much slower than the mean.
//
// Planner takes counts and the end of earlier proposals as events and returns
// proposals; it does no I/O. docs/decisions/expert-map-planner.md gives the
// reasons and the measured figures.
package planner

import "slices"

// Empty is the content of a slot that the map does not use.
const Empty = -1

// Shape is the size of a group and its model.
type Shape struct {
	// Layers is the number of layers with experts.
	Layers int
	// Experts is the number of experts of a layer.
	Experts int
	// Ranks is the number of ranks.
	Ranks int
	// SlotsPerRank is the number of experts of a layer that a rank can hold.
	SlotsPerRank int
}

// Slots returns the number of slots of a layer over all ranks.
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

// Share returns the part of its expert's tokens that a slot receives, from 0
// to 1.
func (l *Layer) Share(slot int) float64 { return l.share[slot] }

// Rank returns the rank of a slot.
func (l *Layer) Rank(slot int) int { return slot / l.shape.SlotsPerRank }

// Clone returns an independent copy.
func (l *Layer) Clone() *Layer {
	return &Layer{l.shape, slices.Clone(l.expert), slices.Clone(l.share)}
}

// Moved returns the number of slots whose expert must be loaded to come from
// l to other.
func (l *Layer) Moved(other *Layer) int {
	moved := 0
	for slot, e := range other.expert {
		if e != Empty && l.expert[slot] != e {
			moved++
		}
	}
	return moved
}

// Tokens returns the number of tokens per rank when a step has these counts
// per expert. Each expert's tokens divide by share to the nearest token.
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

// replicas returns the number of slots per expert.
func (l *Layer) replicas() []int {
	n := make([]int, l.shape.Experts)
	for _, e := range l.expert {
		if e != Empty {
			n[e]++
		}
	}
	return n
}

// holds reports whether a rank has an expert.
func (l *Layer) holds(rank, expert int) bool {
	first := rank * l.shape.SlotsPerRank
	return slices.Contains(l.expert[first:first+l.shape.SlotsPerRank], expert)
}
