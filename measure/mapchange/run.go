// Package mapchange checks the protocol that activates expert maps, by an
// exhaustive state search with three ranks and by seeded fault schedules with
// 32 ranks in virtual time.
package mapchange

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
)

// Size of the measurement.
const (
	schedules         = 330
	faultFreeInterval = 10 // one schedule in ten is free of faults
)

// ErrInvariantViolated reports that a fault schedule or the state search
// violated an invariant of the protocol.
var ErrInvariantViolated = errors.New("map change protocol violated an invariant")

// totals sums the results of schedules. Stalled steps and the longest stall are
// counted only for schedules without faults.
type totals struct {
	scheduleResult
	schedules        int
	faultFree        int
	stalledFaultFree int
	stuckRuns        int
}

func (t *totals) add(r scheduleResult, faultFree bool) {
	t.schedules++
	t.steps += r.steps
	t.mixed += r.mixed
	t.proposals += r.proposals
	t.committed += r.committed
	t.abandoned += r.abandoned
	t.undecided += r.undecided
	t.reforms += r.reforms
	t.superseded += r.superseded
	if r.stuck {
		t.stuckRuns++
	}
	if faultFree {
		t.faultFree++
		t.stalledFaultFree += r.stalled
		t.longest = max(t.longest, r.longest)
	}
}

// Run performs the state searches, runs the schedules of a seed, and writes a
// report.
func Run(seed uint64, out io.Writer) error {
	states, err := exploreAll(out)
	if err != nil {
		return err
	}
	t := runSchedules(seed, schedules, out)
	fmt.Fprintf(out, "seed %d: %d proposals, %d committed, %d abandoned, %d owners superseded, %d re-formed groups, %d stuck\n",
		seed, t.proposals, t.committed, t.abandoned, t.superseded, t.reforms, t.stuckRuns)
	fmt.Fprintf(out, "%d fault-free schedules: longest stall of a step %d ms\n", t.faultFree, t.longest)
	fmt.Fprintf(out, "result map schedules=%d steps=%d mixedMapSteps=%d stalledStepsFaultFree=%d states=%d\n",
		t.schedules, t.steps, t.mixed, t.stalledFaultFree, states)
	if t.mixed > 0 || t.stalledFaultFree > 0 || t.stuckRuns > 0 {
		return errors.Wrapf(ErrInvariantViolated, "seed %d", seed)
	}
	return nil
}

// explorations lists the state searches. If endStep is zero, they end at
// lastStep. Tests end the larger ones one step earlier; every change proposed
// in step 0 already takes effect in that step.
func explorations(endStep int64) []Exploration {
	return []Exploration{
		{Name: "one owner", Owners: 1, Lead: 1},
		{Name: "one owner, crash and restart", Owners: 1, Lead: 1, LastStep: endStep, StartArmed: true, Crash: true},
		{
			Name: "one owner, crash and restart, repeated Prepare", Owners: 1, Lead: 1, LastStep: 1,
			StartArmed: true, Crash: true, RepeatPrepare: true, QuickRecovery: true,
		},
		{Name: "two owners", Owners: 2, Lead: 1, LastStep: endStep, StartArmed: true},
	}
}

func exploreAll(out io.Writer) (int, error) {
	states := 0
	for _, x := range explorations(0) {
		r, err := x.Run()
		if err != nil {
			return 0, err
		}
		fmt.Fprintf(out, "3 ranks, %s: %d states, %d mixed, %d stuck\n", x.Name, r.States, r.Mixed, r.Stuck)
		if r.Mixed+r.Stuck > 0 {
			return 0, errors.Wrap(ErrInvariantViolated, r.Example)
		}
		states += r.States
	}
	return states, nil
}

func runSchedules(seed uint64, n int, out io.Writer) totals {
	var t totals
	for i := range n {
		s := newSchedule(i)
		r := s.run(newWorld(rand.New(rand.NewPCG(seed, uint64(i))), s.size))
		t.add(r, s.faults == 0)
		if r.mixed > 0 || r.stuck {
			fmt.Fprintf(out, "seed %d schedule %d: %+v\n", seed, i, r)
		}
	}
	return t
}

// newSchedule returns schedule i. Except for the fault-free schedules it has two
// to six faults, and the platform is down in every fourth. The share of engines
// that check fencing tokens ranges from none to all.
func newSchedule(i int) schedule {
	s := schedule{size: groupRanks, checkingOfFour: i % 5}
	if i%faultFreeInterval == 0 {
		return s
	}
	s.faults = 2 + i%5
	s.platformDown = i%4 == 1
	return s
}
