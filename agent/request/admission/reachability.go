package admission

import "goldcrestshore/core/process/clock"

// reportLag is how old a load report may be.
const reportLag = 1 * clock.Second

// reachability is whether the upstream can be reached. A new agent waits for a report
// that is younger than itself: an older one would miss work that the previous
// process of the agent admitted last.
type reachability struct {
	up             bool
	withoutReports bool
	everUp         bool
	crashed        bool
	downSince      clock.Millis
	incarnation    uint64
}

// acceptReport takes a report and returns whether it may be used.
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

// retry lets an upstream without reports be tried again.
func (r *reachability) retry(now clock.Millis) {
	if r.withoutReports && !r.up && (!r.everUp || now-r.downSince >= reportLag) {
		r.up = true
		r.everUp = true
	}
}
