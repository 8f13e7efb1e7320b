package once

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
)

// scheduleCount is the number of fault schedules in one run.
const scheduleCount = 600

// ErrGoal reports that a check found a violation of an at-most-once goal.
var ErrGoal = errors.New("at-most-once goal is missed")

// Run measures the write rates, runs all fault schedules and writes the report
// to out. The last line begins with "result". It returns ErrGoal if a goal is
// missed.
func Run(seed uint64, out io.Writer) error {
	var total result
	rates(seed, out)
	faultCounts := map[fault]int{}
	for i := range uint64(scheduleCount) {
		r, w := runSchedule(seed, i, false)
		for _, p := range w.faults {
			faultCounts[p.fault]++
		}
		if len(w.violations) > 0 {
			w.describe(out, i)
		}
		total.add(r)
	}
	for f := range faultKinds {
		fmt.Fprintf(out, "fault %-16s %d\n", f, faultCounts[f])
	}
	fmt.Fprintf(out, "sendings=%d answers=%d notRun=%d broken=%d keyed=%d keyedUnanswered=%d\n",
		total.callerAttempts, total.responses, total.notRun, total.broken, total.keyed, total.unanswered)
	fmt.Fprintf(out, "crashing requests: fingerprints=%d mostUpstreamsLost=%d lostMoreThanTwo=%d innocentQuarantined=%d\n",
		total.crashing, total.maxUpstreamsLost, total.lostBeyondTwo, total.innocentQuarantined)
	fmt.Fprintln(out, total.line())
	if total.missed() {
		return ErrGoal
	}
	return nil
}

func (r *result) line() string {
	perRequest := float64(r.writes) / float64(max(1, r.keyed))
	return fmt.Sprintf("result once schedules=%d requests=%d duplicated=%d falseNotRun=%d wrong=%d cutByPlannedStop=%d unknown=%d writesPerRequest=%.2f",
		r.schedules, r.requests, r.duplicated, r.falseNotRun, r.wrong, r.cutByPlannedStop, r.unknown, perRequest)
}

// runSchedule runs one fault schedule and checks its results. With
// retryWithoutClaim, entries violate the at-most-once rule.
func runSchedule(seed, number uint64, retryWithoutClaim bool) (result, *world) {
	w := newWorld(seed, number)
	w.retryWithoutClaim = retryWithoutClaim
	w.engine.run(start + 500) // lets the owners load their shards
	w.scheduleFaults(faultWindow)
	w.startTraffic(callsPerSchedule, faultWindow)
	w.engine.run(start + scheduleDuration)
	return w.checkResults(), w
}

func (w *world) describe(out io.Writer, number uint64) {
	fmt.Fprintf(out, "schedule %d, faults:", number)
	for _, p := range w.faults {
		fmt.Fprintf(out, " %s@%d", p.fault, p.at)
	}
	fmt.Fprintln(out)
	for _, s := range w.violations {
		fmt.Fprintln(out, " ", s)
	}
}
