package admission

import "goldcrestshore/core/process/clock"

// reportLag is how old a load report may be.
const reportLag = 1 * clock.Second

// reach is whether the upstream can be reached. A new agent waits for a report
// that is younger than itself: an older one would miss work that the previous
// process of the agent admitted last.
type reach struct {
	up          bool
	probes      bool
	known       bool
	crashed     bool
	since       clock.Millis
	incarnation uint64
}

// answered takes a report and returns whether it may be used.
func (r *reach) answered(now clock.Millis, incarnation uint64) bool {
	fresh := now-r.since >= reportLag
	restarted := r.crashed && incarnation != r.incarnation
	if !r.up && !fresh && !restarted {
		return false
	}
	r.up = true
	r.known = true
	r.crashed = false
	r.incarnation = incarnation
	return true
}

func (r *reach) lost(now clock.Millis) {
	r.up = false
	r.crashed = r.known
	r.since = now
}

// retry lets an upstream without reports be tried again.
func (r *reach) retry(now clock.Millis) {
	if r.probes && !r.up && (!r.known || now-r.since >= reportLag) {
		r.up = true
		r.known = true
	}
}
