package skew

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// shortRun simulates a short period with the planner and with the initial map.
func shortRun(seed uint64, seconds int) (*plannerPolicy, []series) {
	w := newWorkload(seed)
	first := firstLayers(w)
	plan := newPlannerPolicy(seed, first)
	results := make([]series, 2)
	simulate(w, seconds, []policy{plan, &never{first}}, nil, results)
	return plan, results
}

// TestPlannerBeatsNever guards against a planner that does not adapt to changes of
// the popularity, and against map changes after which ranks use different maps in
// one step.
func TestPlannerBeatsNever(t *testing.T) {
	plan, results := shortRun(1, 200)
	_, mixed := plan.group.Steps()
	got, _ := summary(flat(&results[0]))
	never, _ := summary(flat(&results[1]))
	check.Equal(t, "mixed steps", mixed, 0)
	check.Equal(t, "maps change", plan.changes > 0, true)
	check.Equal(t, "skew below never", got < never, true)
}

// TestRunRepeats guards against results that depend on anything but the seed.
func TestRunRepeats(t *testing.T) {
	_, first := shortRun(2, 70)
	_, second := shortRun(2, 70)
	for i := range first[0] {
		for k, want := range first[0][i] {
			if got := second[0][i][k]; got != want {
				t.Fatalf("layer %d step %d: got skew %v, want %v", i, k, got, want)
			}
		}
	}
}

// TestWorkload guards against a workload whose samples deviate from its Zipf
// distribution.
func TestWorkload(t *testing.T) {
	w := newWorkload(1)
	counts := make([]int, shape.Experts)
	w.sample(3, counts)
	total := 0
	for _, n := range counts {
		total += n
	}
	check.Equal(t, "assignments", total, assignments)
	top := w.layers[3].byRank[0]
	want := w.expected(3)[top]
	check.AtMost(t, "deviation of the top expert", abs(float64(counts[top])-want), 0.05*want)
}

func abs(v float64) float64 { return max(v, -v) }
