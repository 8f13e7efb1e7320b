// Package placement computes which experts each rank of a group holds if the
// tokens of an expert are split evenly between its replicas. It does no I/O.
//
// The planner of the agents (goldcrestshore/agent/version/planner) splits the
// tokens of an expert unevenly, which needs ranks that support such shares.
package placement

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// Shape describes the dimensions of a group and its model.
type Shape struct {
	Layers       int
	Experts      int
	Ranks        int
	SlotsPerRank int
	// SpareSlots is how many experts of a layer one map change may add to a rank.
	SpareSlots int
	// MaxCopies is how many experts one map change may add to a rank over all
	// layers, 0 for no limit. A rank copies them one after the other.
	MaxCopies int
	// Slowdowns holds, for each rank, the factor by which its work takes longer than
	// usual; nil means that all ranks are equally fast.
	Slowdowns []float64
}

// slowdown returns the slowdown of a rank, which is at least 1.
func (s Shape) slowdown(rank int) float64 {
	if rank >= len(s.Slowdowns) {
		return 1
	}
	return max(s.Slowdowns[rank], 1)
}

// Map lists the experts by layer and rank.
type Map [][][]int

// Clone returns a deep copy.
func (m Map) Clone() Map {
	out := make(Map, len(m))
	for layer := range m {
		out[layer] = make([][]int, len(m[layer]))
		for rank := range m[layer] {
			out[layer][rank] = slices.Clone(m[layer][rank])
		}
	}
	return out
}

// Equal reports whether all ranks have the same experts in both maps, in the same order.
func (m Map) Equal(other Map) bool {
	return slices.EqualFunc(m, other, func(a, b [][]int) bool { return slices.EqualFunc(a, b, slices.Equal[[]int]) })
}

// Copies returns the number of experts that ranks must copy to change from m to
// next.
func (m Map) Copies(next Map) int {
	n := 0
	for layer := range next {
		for rank, experts := range next[layer] {
			for _, e := range experts {
				if !slices.Contains(m[layer][rank], e) {
					n++
				}
			}
		}
	}
	return n
}

// Loads are the expected tokens of each expert by layer.
type Loads [][]float64

// Skew returns the ratio of the time of the slowest rank to that of a perfect
// distribution, averaged over the layers; 1 is perfectly even.
func (s Shape) Skew(m Map, loads Loads) float64 {
	sum := 0.0
	for layer := range m {
		sum += s.layerSkew(m[layer], loads[layer])
	}
	return sum / float64(max(len(m), 1))
}

func (s Shape) layerSkew(ranks [][]int, load []float64) float64 {
	replicas := countReplicas(ranks, len(load))
	total, maxTime, totalSpeed := 0.0, 0.0, 0.0
	for rank, experts := range ranks {
		sum := 0.0
		for _, e := range experts {
			sum += load[e] / float64(replicas[e])
		}
		total += sum
		maxTime = max(maxTime, sum*s.slowdown(rank))
		totalSpeed += 1 / s.slowdown(rank)
	}
	if total == 0 {
		return 1
	}
	return maxTime * totalSpeed / total
}

func countReplicas(ranks [][]int, experts int) []int {
	replicas := make([]int, experts)
	for _, list := range ranks {
		for _, e := range list {
			replicas[e]++
		}
	}
	return replicas
}

// Estimator estimates the expected tokens of each expert from successive counts
// as an exponentially decaying sum.
type Estimator struct {
	// HalfLife is the time after which a count has half its weight.
	HalfLife clock.Millis

	loads Loads
	last  clock.Millis
}

// Add adds the tokens counted since the last call. Tokens below zero take back some that the last
// call added and that there were not.
func (e *Estimator) Add(now clock.Millis, counts Loads) {
	if e.loads == nil {
		e.loads = make(Loads, len(counts))
		for layer := range counts {
			e.loads[layer] = make([]float64, len(counts[layer]))
		}
		e.last = now
	}
	factor := decay(now-e.last, e.HalfLife)
	e.last = now
	for layer := range counts {
		for i, n := range counts[layer] {
			known := max(e.loads[layer][i]+min(n, 0), 0)
			e.loads[layer][i] = known*factor + max(n, 0)
		}
	}
}

// Replace discards all earlier counts, for use after an abrupt change in demand.
func (e *Estimator) Replace(now clock.Millis, counts Loads) {
	e.loads = nil
	e.Add(now, counts)
}

// Loads returns the current estimate, or nil before the first count.
func (e *Estimator) Loads() Loads { return e.loads }

// Total returns the estimated tokens of the first layer.
func (e *Estimator) Total() float64 {
	total := 0.0
	if len(e.loads) > 0 {
		for _, n := range e.loads[0] {
			total += n
		}
	}
	return total
}
