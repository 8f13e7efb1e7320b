package admission

import "goldcrestshore/core/process/clock"

// reportLag is the maximum age of a load report.
const reportLag = 1 * clock.Second

// reachability tracks whether the upstream can be reached. A new agent waits
// for a load report made after its own start: an older one would miss requests
// that the previous agent process admitted last.
type reachability struct {
	up             bool
	withoutReports bool
	everUp         bool
	crashed        bool
	downSince      clock.Millis
	incarnation    uint64
}

// acceptReport processes a load report and reports whether it may be used.
func (r *reachability) acceptReport(now clock.Millis, incarnation uint64) bool {
	fresh := now-r.downSince >= reportLag
	restarted := r.crashed && incarnation != r.incarnation
	if !r.up && !fresh && !restarted {
		return false
	}
	r.up = true
	r.everUp = true
	r.crashed = false
	r.incarnation = incarnation
	return true
}

func (r *reachability) markDown(now clock.Millis) {
	r.up = false
	r.crashed = r.everUp
	r.downSince = now
}

// retry marks an upstream without load reports as reachable, at first and again
// after a failure.
func (r *reachability) retry(now clock.Millis) {
	if r.withoutReports && !r.up && (!r.everUp || now-r.downSince >= reportLag) {
		r.up = true
		r.everUp = true
	}
}
