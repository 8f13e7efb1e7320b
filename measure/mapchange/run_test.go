package mapchange

import (
	"io"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
)

// TestSchedules guards against a mixed map, a stall without a fault and a
// group that stops for good, under seeded faults with 32 ranks.
func TestSchedules(t *testing.T) {
	got := runSchedules(7, 40, io.Discard)
	check.Equal(t, "mixed steps", got.mixed, 0)
	check.Equal(t, "stalled steps without a fault", got.stalledFaultFree, 0)
	check.Equal(t, "stuck groups", got.stuckRuns, 0)
	check.Equal(t, "changes commit", got.committed > 0, true)
	check.Equal(t, "groups are formed again", got.reforms > 0, true)
	check.Equal(t, "owners are superseded", got.superseded > 0, true)
}

// TestSchedulesDependOnSeedOnly guards against a run that depends on more than its seed.
func TestSchedulesDependOnSeedOnly(t *testing.T) {
	first := runSchedules(3, 12, io.Discard)
	again := runSchedules(3, 12, io.Discard)
	check.Equal(t, "second run", again, first)
}

// TestScheduleReportsMixedMap guards against a checker that cannot fail: an
// armed rank enters its step before it knows the outcome.
func TestScheduleReportsMixedMap(t *testing.T) {
	mixed := 0
	for i := range uint64(12) {
		s := schedule{size: groupRanks, faults: 4, ignoresHolds: true}
		mixed += s.run(newWorld(rand.New(rand.NewPCG(1, i)), s.size)).mixed
	}
	check.Equal(t, "a mixed map is reported", mixed > 0, true)
}

// TestPlatformDown guards against a change that needs the platform.
func TestPlatformDown(t *testing.T) {
	w := newWorld(rand.New(rand.NewPCG(2, 0)), groupRanks)
	w.platformUp = false
	w.runUntil(recoveryStart)
	check.Equal(t, "mixed steps", w.result.mixed, 0)
	check.Equal(t, "changes commit", w.result.committed > 0, true)
	check.Equal(t, "stalled steps", w.result.stalled, 0)
}

// TestDeadRankIsRemoved guards against a group that waits for ever for the vote of a
// dead rank: the rank is removed and the group moves on.
func TestDeadRankIsRemoved(t *testing.T) {
	w := newWorld(rand.New(rand.NewPCG(4, 0)), groupRanks)
	w.after(1500, func() { w.killRank(9) })
	w.runUntil(5000)
	before := w.lastStep
	w.runUntil(8000)
	check.Equal(t, "formations", w.record.epoch, firstEpoch+1)
	check.Equal(t, "members", len(w.record.members), groupRanks-1)
	check.Equal(t, "steps move on", w.lastStep.step > before.step, true)
	check.Equal(t, "mixed steps", w.result.mixed, 0)
}
