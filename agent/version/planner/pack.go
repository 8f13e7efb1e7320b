package planner

import (
	"cmp"
	"slices"
)

// Pack returns a layer that does not build on an earlier one. Spare slots
// replicate the experts with the most tokens per replica. The
// longest-processing-time rule assigns each replica to the least loaded rank
// that has a free slot.
func Pack(shape Shape, tokens []float64) *Layer {
	l := &Layer{shape, make([]int, shape.Slots()), make([]float64, shape.Slots())}
	for slot := range l.expert {
		l.expert[slot] = Empty
	}
	load := make([]float64, shape.Ranks)
	used := make([]int, shape.Ranks)
	for _, r := range replicate(shape, tokens) {
		rank := leastLoadedRank(l, load, used, r.expert)
		if rank < 0 {
			continue
		}
		slot := rank*shape.SlotsPerRank + used[rank]
		used[rank]++
		load[rank] += r.tokens
		l.expert[slot] = r.expert
	}
	var b balancer
	b.balance(l, tokens)
	return l
}

// replica is a replica of an expert with the tokens that it would receive.
type replica struct {
	expert int
	tokens float64
}

// replicate returns one replica per slot, sorted by descending tokens.
func replicate(shape Shape, tokens []float64) []replica {
	replicaCount := make([]int, shape.Experts)
	for e := range replicaCount {
		replicaCount[e] = 1
	}
	for range shape.Slots() - shape.Experts {
		best := -1
		for e := range replicaCount {
			if replicaCount[e] >= shape.Ranks {
				continue
			}
			if best < 0 || tokens[e]/float64(replicaCount[e]) > tokens[best]/float64(replicaCount[best]) {
				best = e
			}
		}
		replicaCount[best]++
	}
	var replicas []replica
	for e, n := range replicaCount {
		for range n {
			replicas = append(replicas, replica{e, tokens[e] / float64(n)})
		}
	}
	slices.SortStableFunc(replicas, func(a, b replica) int { return cmp.Compare(b.tokens, a.tokens) })
	return replicas
}

// leastLoadedRank returns the least loaded rank that has a free slot and does not
// hold the expert. If all ranks with a free slot hold it, one of them is
// returned; if no slot is free, -1.
func leastLoadedRank(l *Layer, load []float64, used []int, expert int) int {
	best, bestHolds := -1, true
	for rank := range load {
		if used[rank] == l.shape.SlotsPerRank {
			continue
		}
		holds := l.holds(rank, expert)
		better := best < 0 || (bestHolds && !holds) || (bestHolds == holds && load[rank] < load[best])
		if better {
			best, bestHolds = rank, holds
		}
	}
	return best
}
