package suspects

import (
	"slices"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// fingerprintsOf returns the fingerprints of a crash, nil for none.
func fingerprintsOf(m *frame.Crash) []uint64 {
	if m == nil {
		return nil
	}
	return m.Fingerprints()
}

func TestTracker(t *testing.T) {
	add := func(tr *tracker, id string, print fingerprint.Fingerprint) {
		check.Equal(t, "add "+id, tr.add(0, id, print, false) == nil, true)
	}
	equal := func(t *testing.T, name string, got, want []uint64) {
		t.Helper()
		check.Equal(t, name, slices.Equal(got, want), true)
	}
	t.Run("a crash is reported once, and its requests are refused", func(t *testing.T) {
		tr := newTracker(100)
		add(tr, "x", 1)
		add(tr, "y", 2)
		equal(t, "crash", fingerprintsOf(tr.declareCrash(0, 0)), []uint64{1, 2})
		check.Equal(t, "crash declared", tr.crashDeclared("y"), true)
		equal(t, "again", fingerprintsOf(tr.declareCrash(0, 0)), nil)
		check.Equal(t, "refused", tr.checkSuspect(0, 1, false) != nil, true)
	})
	t.Run("a lagging report of a dead incarnation is not a crash", func(t *testing.T) {
		tr := newTracker(100)
		tr.observeIncarnation(0, 5)
		add(tr, "x", 1)
		equal(t, "replaced", fingerprintsOf(tr.observeIncarnation(0, 6)), []uint64{1})
		add(tr, "y", 2)
		equal(t, "lagging", fingerprintsOf(tr.observeIncarnation(0, 5)), nil)
		equal(t, "current", fingerprintsOf(tr.observeIncarnation(0, 6)), nil)
	})
	t.Run("a request of the new incarnation is not suspect", func(t *testing.T) {
		tr := newTracker(100)
		tr.observeIncarnation(0, 5)
		add(tr, "x", 1)
		add(tr, "y", 2)
		equal(t, "crash", fingerprintsOf(tr.recordResponder(0, "y", 6)), []uint64{1})
	})
	t.Run("an interrupted response is attributed to a crash that is detected later", func(t *testing.T) {
		tr := newTracker(100)
		tr.observeIncarnation(0, 5)
		add(tr, "x", 1)
		tr.recordInterrupted(0, "x")
		tr.remove(0, "x")
		equal(t, "crash", fingerprintsOf(tr.observeIncarnation(clock.Second, 6)), []uint64{1})
	})
	t.Run("an interrupted response older than interruptedTTL is not", func(t *testing.T) {
		tr := newTracker(100)
		tr.observeIncarnation(0, 5)
		add(tr, "x", 1)
		tr.recordInterrupted(0, "x")
		tr.remove(0, "x")
		equal(t, "crash", fingerprintsOf(tr.observeIncarnation(2*interruptedTTL, 6)), nil)
	})
}
