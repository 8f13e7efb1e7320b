package mapchange

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
)

// explore runs x and logs its result.
func explore(t *testing.T, x *Exploration) ExplorationResult {
	t.Helper()
	got, err := x.Run()
	check.NoError(t, "explore", err)
	t.Logf("states %d, committed ends %d, mixed %d, stuck %d, messages %d, example %s",
		got.States, got.Committed, got.Mixed, got.Stuck, len(x.packets.values), got.Example)
	return got
}

// Guards against a mixed map and a group that never makes progress again, over
// every order of the messages of three ranks, also with one crash and restart
// at any point.
func TestExploreAllOrders(t *testing.T) {
	for _, x := range explorations(1) {
		t.Run(x.Name, func(t *testing.T) {
			got := explore(t, &x)
			check.Equal(t, "mixed maps", got.Mixed, 0)
			check.Equal(t, "stuck states", got.Stuck, 0)
			check.Equal(t, "a run commits", got.Committed > 0, true)
		})
	}
}

// Guards against a search that never reports a mixed map, by breaking a rule of
// the protocol.
func TestExploreReportsMixedMap(t *testing.T) {
	for _, x := range []Exploration{
		{Name: "an armed rank enters its step", Owners: 1, Lead: 1, StartArmed: true, IgnoreHolds: true},
		{
			Name: "a restarted agent keeps its incarnation", Owners: 1, Lead: 1, LastStep: 1, StartArmed: true,
			Crash: true, Crashable: 0b011, RepeatPrepare: true, QuickRecovery: true, KeepIncarnation: true,
		},
	} {
		t.Run(x.Name, func(t *testing.T) {
			got := explore(t, &x)
			check.Equal(t, "a mixed map is reported", got.Mixed > 0, true)
		})
	}
}

// BenchmarkExploreTwoOwnersAndCrash searches two owners with one crash and
// restart, with one search per crashing member. It takes minutes and gigabytes
// of memory; run it with -bench TwoOwnersAndCrash -benchtime 1x.
func BenchmarkExploreTwoOwnersAndCrash(b *testing.B) {
	for m := range exploredRanks {
		b.Run(fmt.Sprintf("member %d", m), func(b *testing.B) {
			for range b.N {
				x := Exploration{
					Owners: 2, Lead: 1, LastStep: 1, StartArmed: true,
					Crash: true, Crashable: 1 << m, QuickRecovery: true,
				}
				got, err := x.Run()
				check.NoError(b, "explore", err)
				check.Equal(b, "mixed maps", got.Mixed, 0)
				check.Equal(b, "stuck states", got.Stuck, 0)
				b.ReportMetric(float64(got.States), "states")
			}
		})
	}
}
