package planner

import (
	"math"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

var testShape = Shape{Layers: 1, Experts: 128, Ranks: 32, SlotsPerRank: 5}

// zipfTokens returns the expected tokens per expert for a Zipf distribution over
// shuffled experts.
func zipfTokens(seed uint64, exponent float64) []float64 {
	order := rand.New(rand.NewPCG(seed, 0)).Perm(testShape.Experts)
	tokens := make([]float64, testShape.Experts)
	total := 0.0
	for k, e := range order {
		tokens[e] = math.Pow(float64(k+1), -exponent)
		total += tokens[e]
	}
	for e := range tokens {
		tokens[e] *= 32768 / total
	}
	return tokens
}

// checkShares fails the test if the shares of an expert do not sum to one, which
// includes an expert without a slot.
func checkShares(t *testing.T, l *Layer) {
	t.Helper()
	share := make([]float64, l.shape.Experts)
	for slot := range l.shape.Slots() {
		if e := l.Expert(slot); e != Empty {
			share[e] += l.Share(slot)
		}
	}
	for e, s := range share {
		if math.Abs(s-1) > 1e-6 {
			t.Errorf("share of expert %d: got %v, want 1", e, s)
		}
	}
}

func roundTokens(tokens []float64) []uint32 {
	n := make([]uint32, len(tokens))
	for e, v := range tokens {
		n[e] = uint32(v + 0.5)
	}
	return n
}

// TestPack guards against a layer that lacks an expert or loses tokens to
// rounding.
func TestPack(t *testing.T) {
	for _, exponent := range []float64{0, 0.6, 1.2} {
		tokens := zipfTokens(1, exponent)
		l := Pack(testShape, tokens)
		checkShares(t, l)
		rounded := make([]int, len(tokens))
		want := 0
		for e, n := range roundTokens(tokens) {
			rounded[e] = int(n)
			want += int(n)
		}
		perRank := make([]int, testShape.Ranks)
		l.Tokens(rounded, perRank)
		got := 0
		for _, n := range perRank {
			got += n
		}
		check.Equal(t, "tokens over all ranks", got, want)
	}
}

// runPlanner sends counts and ticks to a planner from one time until another,
// commits every proposal and returns the number of weights moved.
func runPlanner(t *testing.T, p *Planner, tokens []float64, from, until clock.Millis) int {
	t.Helper()
	moved := 0
	for now := from; now < until; now += 500 {
		p.Handle(TokenCounts{Layer: 0, Steps: 1, Tokens: roundTokens(tokens)})
		for _, a := range p.Handle(Tick{Now: now}) {
			propose := a.(Propose)
			checkShares(t, propose.Layers[0])
			checkSlotsEmpty(t, p.Active()[0], propose.Loads)
			moved += len(propose.Loads)
			p.Handle(ProposalEnded{Committed: true})
		}
	}
	return moved
}

// checkSlotsEmpty fails the test if a load targets a slot that the active map
// uses.
func checkSlotsEmpty(t *testing.T, active *Layer, loads []Move) {
	t.Helper()
	for _, m := range loads {
		check.Equal(t, "content of a slot to load", active.Expert(m.Slot()), Empty)
	}
}

// TestPlannerFollowsShift guards against a planner that keeps an outdated map
// after the popular experts have changed, or that does not stop moving experts
// once the new map is balanced.
func TestPlannerFollowsShift(t *testing.T) {
	before, after := zipfTokens(1, 1.0), zipfTokens(2, 1.0)
	p := New(Defaults(testShape), []*Layer{Pack(testShape, before)})
	check.Equal(t, "weights moved on the planned load", runPlanner(t, p, before, 0, 10000), 0)
	var b balancer
	scoreBefore := b.score(p.Active()[0], after)
	moved := runPlanner(t, p, after, 10000, 100000)
	got := b.score(p.Active()[0], after)
	check.Equal(t, "weights move", moved > 0, true)
	check.AtMost(t, "score against the old map", got, scoreBefore/2)
	check.Equal(t, "weights moved after convergence", runPlanner(t, p, after, 100000, 130000), 0)
}

// TestPlannerWaitsForOutcome guards against a second proposal before the outcome
// of the first, and against the use of a map whose proposal was abandoned.
func TestPlannerWaitsForOutcome(t *testing.T) {
	p := New(Defaults(testShape), []*Layer{Pack(testShape, zipfTokens(1, 1.0))})
	p.Handle(TokenCounts{Layer: 0, Steps: 1, Tokens: roundTokens(zipfTokens(2, 1.0))})
	check.Equal(t, "proposals", len(p.Handle(Tick{Now: 0})), 1)
	p.Handle(TokenCounts{Layer: 0, Steps: 1, Tokens: roundTokens(zipfTokens(3, 1.0))})
	check.Equal(t, "proposals while one is pending", len(p.Handle(Tick{Now: 60000})), 0)
	active := p.Active()[0]
	p.Handle(ProposalEnded{})
	check.Equal(t, "map after an abandoned proposal", p.Active()[0], active)
}

// BenchmarkPlan measures the planning of one layer after a change of popularity.
func BenchmarkPlan(b *testing.B) {
	layer := Pack(testShape, zipfTokens(1, 1.2))
	tokens := roundTokens(zipfTokens(2, 1.2))
	for b.Loop() {
		p := New(Defaults(testShape), []*Layer{layer})
		p.Handle(TokenCounts{Layer: 0, Steps: 1, Tokens: tokens})
		p.Handle(Tick{Now: 0})
	}
}
