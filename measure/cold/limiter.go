package cold

import (
	"goldcrestshore/agent/request/admission"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// limiter is a baseline gate: a limit on requests that depends only on the time
// since the engine was last seen cold, without memory reservation.
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

// fixedRamp doubles the limit each interval from cold to warm, whatever the
// engine does.
func fixedRamp(coldLimit, warmLimit int, interval clock.Millis) func(clock.Millis, admission.Limits) fleet.Gate {
	return func(now clock.Millis, _ admission.Limits) fleet.Gate {
		return newLimiter(now, func(since clock.Millis) int {
			return min(coldLimit<<min(since/interval, 16), warmLimit)
		})
	}
}

// fixedLimit is a plain limit.
func fixedLimit(limit int) func(clock.Millis, admission.Limits) fleet.Gate {
	return func(now clock.Millis, _ admission.Limits) fleet.Gate {
		return newLimiter(now, func(clock.Millis) int { return limit })
	}
}

func newLimiter(now clock.Millis, limit func(clock.Millis) int) *limiter {
	return &limiter{limit: limit, coldSince: now, inFlight: make(map[frame.ID]bool)}
}

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

// Submit queues a request for admission.MaxWait.
func (l *limiter) Submit(now clock.Millis, id frame.ID, _ frame.RequestOptions, _ frame.Size) []fleet.Verdict {
	l.waiting = append(l.waiting, waiter{id, now + admission.MaxWait})
	return l.processQueue(now)
}

// FirstToken is of no use to a baseline.
func (l *limiter) FirstToken(clock.Millis, frame.ID) []fleet.Verdict { return nil }

// Complete frees a place.
func (l *limiter) Complete(now clock.Millis, id frame.ID, _ bool) []fleet.Verdict {
	delete(l.inFlight, id)
	return l.processQueue(now)
}

// Report restarts the ramp when the engine restarted or turned cold.
func (l *limiter) Report(now clock.Millis, load engine.Load) []fleet.Verdict {
	if l.crashed || load.Incarnation != l.lastReport.Incarnation || load.Cold && !l.lastReport.Cold {
		l.coldSince = now
	}
	l.crashed = false
	l.up = true
	l.lastReport = load
	return l.processQueue(now)
}

// Crash closes the gate until the next report.
func (l *limiter) Crash(now clock.Millis) []fleet.Verdict {
	l.up = false
	l.crashed = true
	return l.processQueue(now)
}

// SetDrained closes or opens the gate.
func (l *limiter) SetDrained(now clock.Millis, drained bool) []fleet.Verdict {
	l.drained = drained
	return l.processQueue(now)
}

// Tick lets time pass.
func (l *limiter) Tick(now clock.Millis) []fleet.Verdict { return l.processQueue(now) }

// Load reports the present limit.
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

// TakeHeartbeatDue is never set: a baseline reports with its heartbeats only.
func (l *limiter) TakeHeartbeatDue() bool { return false }
