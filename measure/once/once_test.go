package once

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// TestSchedules checks the at-most-once goals on fewer schedules than
// "make measure-once" runs, and with another seed.
func TestSchedules(t *testing.T) {
	for i := range uint64(60) {
		r, w := runSchedule(7, i, false)
		check.Equal(t, "duplicated", r.duplicated, 0)
		check.Equal(t, "falseNotRun", r.falseNotRun, 0)
		check.Equal(t, "wrong", r.wrong, 0)
		check.Equal(t, "cutByPlannedStop", r.cutByPlannedStop, 0)
		if t.Failed() {
			t.Fatalf("schedule %d with %v: %v", i, w.faults, w.violations)
		}
	}
}

// TestBrokenRule guards against checks that miss violations: entries that retry
// after dispatch without a claim must cause duplicate executions.
func TestBrokenRule(t *testing.T) {
	duplicated := 0
	for i := range uint64(20) {
		r, _ := runSchedule(1, i, true)
		duplicated += r.duplicated
	}
	if duplicated == 0 {
		t.Error("duplicated: got 0, want at least 1")
	}
}

// TestSameSeed guards against results that depend on anything but the seed.
func TestSameSeed(t *testing.T) {
	a, _ := runSchedule(3, 5, false)
	b, _ := runSchedule(3, 5, false)
	check.Equal(t, "second run", a, b)
}
