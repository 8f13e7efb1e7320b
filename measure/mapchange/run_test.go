package mapchange

import (
	"io"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a step with mixed maps, a stall without a fault and a group
// that never makes progress again, under seeded faults with 32 ranks.
func TestSchedules(t *testing.T) {
	got := runSchedules(7, 40, io.Discard)
	check.Equal(t, "mixed steps", got.mixed, 0)
	check.Equal(t, "stalled steps without a fault", got.stalledFaultFree, 0)
	check.Equal(t, "stuck groups", got.stuckRuns, 0)
	check.Equal(t, "changes commit", got.committed > 0, true)
	check.Equal(t, "members are removed", got.reforms > 0, true)
	check.Equal(t, "owners are superseded", got.superseded > 0, true)
}

// Guards against a run whose result depends on anything but its seed.
func TestSchedulesDependOnSeedOnly(t *testing.T) {
	first := runSchedules(3, 12, io.Discard)
	again := runSchedules(3, 12, io.Discard)
	check.Equal(t, "second run", again, first)
}

// Guards against a checker that never reports a mixed map: an armed rank enters
// the step of the change before it has the outcome.
func TestScheduleReportsMixedMap(t *testing.T) {
	mixed := 0
	for i := range uint64(12) {
		s := schedule{size: groupRanks, faults: 4, ignoresHolds: true}
		mixed += s.run(newWorld(rand.New(rand.NewPCG(1, i)), s.size)).mixed
	}
	check.Equal(t, "a mixed map is reported", mixed > 0, true)
}

// Guards against a map change that depends on the platform.
func TestPlatformDown(t *testing.T) {
	w := newWorld(rand.New(rand.NewPCG(2, 0)), groupRanks)
	w.platformUp = false
	w.runUntil(recoveryStart)
	check.Equal(t, "mixed steps", w.result.mixed, 0)
	check.Equal(t, "changes commit", w.result.committed > 0, true)
	check.Equal(t, "stalled steps", w.result.stalled, 0)
}

// Guards against a group that waits forever for the vote of a dead rank instead
// of removing the rank and continuing.
func TestDeadRankIsRemoved(t *testing.T) {
	w := newWorld(rand.New(rand.NewPCG(4, 0)), groupRanks)
	w.after(1500, func() { w.killRank(9) })
	w.runUntil(5000)
	before := w.lastStep
	w.runUntil(8000)
	check.Equal(t, "membership epoch", w.record.epoch, firstEpoch+1)
	check.Equal(t, "members", len(w.record.members), groupRanks-1)
	check.Equal(t, "steps advance", w.lastStep.step > before.step, true)
	check.Equal(t, "mixed steps", w.result.mixed, 0)
}
