package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// checkLimitWithoutAgents checks the bound on the requests to an upstream that states a limit,
// from entries that no agent tells their number or what the upstream has stated to others.
func checkLimitWithoutAgents(t *testing.T, entries int, perSecond float64) {
	t.Helper()
	const (
		settleTime = 5 * clock.Minute // until each entry has had a response of the upstream
		end        = 10 * clock.Minute
	)
	f := newLimitedFleet(entries, 2)
	for _, b := range f.entries {
		b.entries = entryCount{}
	}
	limits := map[string]float64{"u0": perSecond}
	random := rand.New(rand.NewPCG(1, uint64(entries)))
	for now := clock.Millis(1); now < end; now += 5 {
		f.request(now, random.IntN(entries), limits)
	}
	settled := slices.DeleteFunc(f.sent["u0"], func(at clock.Millis) bool { return at < settleTime })
	check.AtMost(t, "requests in a window", maxInWindow(settled, limitWindow), limitBound(perSecond))
}

// Guards against entries that exceed a stated limit together where no upstream has an agent.
func TestStatedLimitWithoutAgents(t *testing.T) {
	for _, entries := range []int{1, 5, 16} {
		for _, perSecond := range []float64{0.2, 1, 2.3, 6} {
			t.Run(fmt.Sprintf("%d entries, %g per second", entries, perSecond), func(t *testing.T) {
				checkLimitWithoutAgents(t, entries, perSecond)
			})
		}
	}
}

// Guards against the same where there are more entries than assumedEntries.
func TestStatedLimitOfManyEntriesWithoutAgents(t *testing.T) {
	for _, entries := range []int{40, 200} {
		t.Run(fmt.Sprintf("%d entries", entries), func(t *testing.T) { checkLimitWithoutAgents(t, entries, 2) })
	}
}
