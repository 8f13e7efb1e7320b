package cold

import (
	"goldcrestshore/agent/request/admission"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// limiter is a baseline gate without memory reservation. Its concurrency limit
// depends only on the time since the engine was last found cold.
type limiter struct {
	limit      func(since clock.Millis) int
	coldSince  clock.Millis
	lastReport engine.Load
	up         bool
	drained    bool
	inFlight   map[frame.ID]bool
	waiting    []waiter
	crashed    bool
}

type waiter struct {
	id      frame.ID
	expires clock.Millis
}

// fixedRamp returns a gate that doubles its limit each interval from coldLimit up
// to warmLimit, whatever the state of the engine.
func fixedRamp(coldLimit, warmLimit int, interval clock.Millis) func(clock.Millis, admission.Limits) fleet.Gate {
	return func(now clock.Millis, _ admission.Limits) fleet.Gate {
		return newLimiter(now, func(since clock.Millis) int {
			return min(coldLimit<<min(since/interval, 16), warmLimit)
		})
	}
}

// fixedLimit returns a gate with a constant concurrency limit.
func fixedLimit(limit int) func(clock.Millis, admission.Limits) fleet.Gate {
	return func(now clock.Millis, _ admission.Limits) fleet.Gate {
		return newLimiter(now, func(clock.Millis) int { return limit })
	}
}

func newLimiter(now clock.Millis, limit func(clock.Millis) int) *limiter {
	return &limiter{limit: limit, coldSince: now, inFlight: make(map[frame.ID]bool)}
}

// processQueue admits waiting requests in order up to the limit, and refuses
// those that waited too long, or all while the upstream is drained.
func (l *limiter) processQueue(now clock.Millis) []fleet.Verdict {
	var verdicts []fleet.Verdict
	for len(l.waiting) > 0 {
		w := l.waiting[0]
		switch {
		case l.drained || w.expires <= now:
			verdicts = append(verdicts, fleet.Verdict{ID: w.id, Code: outcome.Overloaded})
		case l.up && len(l.inFlight) < l.limit(now-l.coldSince):
			l.inFlight[w.id] = true
			verdicts = append(verdicts, fleet.Verdict{ID: w.id})
		default:
			return verdicts
		}
		l.waiting = l.waiting[1:]
	}
	return verdicts
}

// Submit queues a request for at most admission.MaxWait.
func (l *limiter) Submit(now clock.Millis, id frame.ID, _ frame.RequestOptions, _ frame.Size) []fleet.Verdict {
	l.waiting = append(l.waiting, waiter{id, now + admission.MaxWait})
	return l.processQueue(now)
}

// FirstToken does nothing: the limit does not depend on first tokens.
func (l *limiter) FirstToken(clock.Millis, frame.ID) []fleet.Verdict { return nil }

// Complete frees a slot.
func (l *limiter) Complete(now clock.Millis, id frame.ID, _ bool) []fleet.Verdict {
	delete(l.inFlight, id)
	return l.processQueue(now)
}

// Report restarts the ramp if the engine has crashed, restarted or turned cold.
func (l *limiter) Report(now clock.Millis, load engine.Load) []fleet.Verdict {
	if l.crashed || load.Incarnation != l.lastReport.Incarnation || load.Cold && !l.lastReport.Cold {
		l.coldSince = now
	}
	l.crashed = false
	l.up = true
	l.lastReport = load
	return l.processQueue(now)
}

// Crash stops admission until the next report.
func (l *limiter) Crash(now clock.Millis) []fleet.Verdict {
	l.up = false
	l.crashed = true
	return l.processQueue(now)
}

// DrainChanged stops or resumes admission.
func (l *limiter) DrainChanged(now clock.Millis, drained bool) []fleet.Verdict {
	l.drained = drained
	return l.processQueue(now)
}

// Tick processes the queue at the current time.
func (l *limiter) Tick(now clock.Millis) []fleet.Verdict { return l.processQueue(now) }

// Load returns the load with the current limit, which is 0 while the engine is
// down or drained.
func (l *limiter) Load(now clock.Millis) frame.Load {
	limit := 0
	if l.up && !l.drained {
		limit = l.limit(now - l.coldSince)
	}
	return frame.NewLoad(fleet.Service,
		frame.NewOccupancy(len(l.inFlight)+len(l.waiting), limit, 0, 0),
		frame.NewCondition(l.lastReport.Cold, l.drained, l.lastReport.Incarnation, 0),
		frame.NewLatency(0, 0))
}

// TakeHeartbeatDue returns false: a baseline sends no heartbeats beyond the
// periodic ones.
func (l *limiter) TakeHeartbeatDue() bool { return false }
