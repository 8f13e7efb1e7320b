package suspects

import (
	"slices"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// prints returns the fingerprints of a crash, nil for none.
func prints(m *frame.Crash) []uint64 {
	if m == nil {
		return nil
	}
	return m.Fingerprints()
}

func TestFlights(t *testing.T) {
	enter := func(f *flights, id string, print fingerprint.Fingerprint) {
		check.Equal(t, "enter "+id, f.enter(0, id, print, false) == nil, true)
	}
	equal := func(t *testing.T, name string, got, want []uint64) {
		t.Helper()
		check.Equal(t, name, slices.Equal(got, want), true)
	}
	t.Run("a crash is told once, and its requests are refused", func(t *testing.T) {
		f := newFlights(100)
		enter(f, "x", 1)
		enter(f, "y", 2)
		equal(t, "crash", prints(f.crash(0, 0)), []uint64{1, 2})
		check.Equal(t, "lost", f.lost("y"), true)
		equal(t, "again", prints(f.crash(0, 0)), nil)
		check.Equal(t, "refused", f.ask(0, 1, false) != nil, true)
	})
	t.Run("a lagging report of a dead incarnation is no crash", func(t *testing.T) {
		f := newFlights(100)
		f.see(0, 5)
		enter(f, "x", 1)
		equal(t, "replaced", prints(f.see(0, 6)), []uint64{1})
		enter(f, "y", 2)
		equal(t, "lagging", prints(f.see(0, 5)), nil)
		equal(t, "present", prints(f.see(0, 6)), nil)
	})
	t.Run("a request of the new incarnation is not suspect", func(t *testing.T) {
		f := newFlights(100)
		f.see(0, 5)
		enter(f, "x", 1)
		enter(f, "y", 2)
		equal(t, "crash", prints(f.answered(0, "y", 6)), []uint64{1})
	})
	t.Run("a broken answer is explained by a crash that shows later", func(t *testing.T) {
		f := newFlights(100)
		f.see(0, 5)
		enter(f, "x", 1)
		f.breakOff(0, "x")
		f.leave(0, "x")
		equal(t, "crash", prints(f.see(clock.Second, 6)), []uint64{1})
	})
	t.Run("a broken answer long ago is not", func(t *testing.T) {
		f := newFlights(100)
		f.see(0, 5)
		enter(f, "x", 1)
		f.breakOff(0, "x")
		f.leave(0, "x")
		equal(t, "crash", prints(f.see(2*brokenLife, 6)), nil)
	})
}
