package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// smallMinGain lets the search distribute the loads as evenly as it can.
const smallMinGain = 0.002

var smallShape = Shape{Layers: 4, Experts: 72, Ranks: 12, SlotsPerRank: 8, SpareSlots: 3}

// zipf returns Zipf-distributed loads, shuffled over the experts of each layer.
func zipf(r *rand.Rand, s Shape, exponent float64) Loads {
	loads := make(Loads, s.Layers)
	for layer := range loads {
		loads[layer] = make([]float64, s.Experts)
		for i, e := range r.Perm(s.Experts) {
			loads[layer][e] = 1000 / math.Pow(float64(i+1), exponent)
		}
	}
	return loads
}

// initialMap returns the initial map of a group: the experts in round-robin order.
func initialMap(s Shape) Map {
	m := make(Map, s.Layers)
	for layer := range m {
		m[layer] = make([][]int, s.Ranks)
		for e := range s.Experts {
			m[layer][e%s.Ranks] = append(m[layer][e%s.Ranks], e)
		}
	}
	return m
}

// checkValid fails the test if ranks cannot change from current to next.
func checkValid(t *testing.T, s Shape, current, next Map) {
	t.Helper()
	for layer := range next {
		covered := make([]bool, s.Experts)
		for rank, experts := range next[layer] {
			check.AtMost(t, "experts of a rank", len(experts), s.SlotsPerRank)
			added := 0
			for i, e := range experts {
				covered[e] = true
				if slices.Contains(experts[:i], e) {
					t.Errorf("layer %d rank %d: got expert %d twice, want once", layer, rank, e)
				}
				if !slices.Contains(current[layer][rank], e) {
					added++
				}
			}
			check.AtMost(t, "new experts of a rank", added, s.SpareSlots)
		}
		check.Equal(t, "an expert is on no rank", slices.Contains(covered, false), false)
	}
}

// Guards against maps that ranks reject or that lack an expert, and against plans
// that leave the load uneven.
func TestPlanIsValidAndEven(t *testing.T) {
	for _, tc := range []struct {
		name    string
		shape   Shape
		plans   int
		maxSkew float64
	}{
		{"12 ranks", smallShape, 3, 1.15},
		{"12 ranks, few copies", Shape{Layers: 4, Experts: 72, Ranks: 12, SlotsPerRank: 8, SpareSlots: 3, MaxCopies: 5}, 5, 1.2},
		{"63 ranks", Shape{Layers: 8, Experts: 252, Ranks: 63, SlotsPerRank: 5, SpareSlots: 2}, 6, 1.6},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 2))
			loads := zipf(r, tc.shape, 0.8)
			current := initialMap(tc.shape)
			before := tc.shape.Skew(current, loads)
			for range tc.plans {
				next := Plan(tc.shape, current, loads, smallMinGain)
				checkValid(t, tc.shape, current, next)
				current = next
			}
			check.AtMost(t, "skew", tc.shape.Skew(current, loads), tc.maxSkew)
			check.AtMost(t, "skew compared with the initial map", tc.shape.Skew(current, loads), before)
		})
	}
}

// Guards against plans that ignore a slow rank: every pass of a group takes as long
// as its slowest rank.
func TestPlanMovesLoadOffSlowRank(t *testing.T) {
	for _, slowdown := range []float64{1.6, 4, 12} {
		t.Run(fmt.Sprint("slowdown ", slowdown), func(t *testing.T) {
			s := smallShape
			s.MaxCopies = 5
			loads := zipf(rand.New(rand.NewPCG(5, 6)), s, 0.8)
			current := initialMap(s)
			for range 4 {
				current = Plan(s, current, loads, smallMinGain)
			}
			s.Slowdowns = make([]float64, s.Ranks)
			s.Slowdowns[3] = slowdown
			before := s.Skew(current, loads)
			for range 6 {
				next := Plan(s, current, loads, smallMinGain)
				checkValid(t, s, current, next)
				current = next
			}
			after := s.Skew(current, loads)
			check.AtMost(t, "time relative to a perfect distribution", after, 1.3)
			check.AtMost(t, "time compared with that before", after, before)
		})
	}
}

// Guards against copying experts although the loads have not changed.
func TestPlanKeepsConvergedMap(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	loads := zipf(r, smallShape, 0.6)
	current := initialMap(smallShape)
	for range 8 {
		current = Plan(smallShape, current, loads, smallMinGain)
	}
	check.Equal(t, "copies", current.Copies(Plan(smallShape, current, loads, smallMinGain)), 0)
}

// Guards against an estimate dominated by old counts after demand has changed.
func TestEstimatorDecays(t *testing.T) {
	e := Estimator{HalfLife: 1 * clock.Second}
	e.Add(0, Loads{{100, 0}})
	e.Add(4000, Loads{{0, 100}})
	got := e.Loads()[0]
	check.AtMost(t, "old load", got[0], 7)
	check.Equal(t, "new load", got[1], 100.0)
}

// Guards against an estimate that keeps tokens which were counted by mistake, or falls below zero.
func TestEstimatorTakesBack(t *testing.T) {
	e := Estimator{HalfLife: 1 * clock.Second}
	e.Add(0, Loads{{100, 50}})
	e.Add(100, Loads{{1e12, 10}})
	e.Add(200, Loads{{-1e12, 10}})
	check.AtMost(t, "load without the mistake", e.Loads()[0][0], 100)
	e.Add(300, Loads{{-500, 10}})
	check.Equal(t, "lowest load", e.Loads()[0][0], 0.0)
	check.AtMost(t, "other load", e.Loads()[0][1], 80)
}
