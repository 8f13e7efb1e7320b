// Package supervise keeps the fault of one background duty of a process from ending the others.
//
// A panic in a goroutine ends the process, with all streams of its callers. A supervised duty is
// started again from empty state. That is right only for a duty whose state nobody else uses: the
// state that it leaves behind may be half changed.
package supervise

import (
	"context"
	"fmt"
	"runtime/debug"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

const (
	// minRestartDelay is the delay before the first restart; it doubles up to maxRestartDelay.
	minRestartDelay clock.Millis = 100
	maxRestartDelay              = 5 * clock.Second
	// maxRestarts is the number of restarts in restartWindow after which a duty stays down.
	maxRestarts   = 5
	restartWindow = clock.Minute
)

// Supervisor restarts duties that panic. Exported fields must be set before use.
type Supervisor struct {
	Clock *clock.Clock
	Log   *event.Log
	// Count, if not nil, is called with the name of a duty that has panicked.
	Count func(duty string)
}

// Run runs a duty until it returns, ctx is done, or it has panicked too often. The duty must
// begin with empty state each time.
func (s *Supervisor) Run(ctx context.Context, duty string, f func(ctx context.Context)) {
	var panics []clock.Millis
	for ctx.Err() == nil {
		p := call(func() { f(ctx) })
		if p == nil {
			return
		}
		if s.Count != nil {
			s.Count(duty)
		}
		panics = append(recent(panics, s.Clock.Now()), s.Clock.Now())
		fields := event.Fields{"duty": duty, "panics": len(panics), "stack": string(p.stack)}
		if len(panics) > maxRestarts {
			s.Log.Error(event.DutyGivenUp, p, fields)
			return
		}
		s.Log.Error(event.DutyRestarted, p, fields)
		clock.Sleep(ctx, restartDelay(len(panics)))
	}
}

// recent returns the times that are within restartWindow.
func recent(times []clock.Millis, now clock.Millis) []clock.Millis {
	for len(times) > 0 && now-times[0] > restartWindow {
		times = times[1:]
	}
	return times
}

// restartDelay returns the delay after the n-th panic in restartWindow.
func restartDelay(n int) clock.Millis {
	delay := minRestartDelay
	for range n - 1 {
		delay = min(2*delay, maxRestartDelay)
	}
	return delay
}

// panicError is a panic with the stack of the goroutine in which it happened.
type panicError struct {
	value any
	stack []byte
}

// Error implements error.
func (p *panicError) Error() string { return fmt.Sprintf("panic: %v", p.value) }

// call calls f and returns its panic, nil for none.
func call(f func()) (p *panicError) {
	defer func() {
		switch v := recover().(type) {
		case nil:
		case *panicError:
			p = v // from another goroutine, see Each
		default:
			p = &panicError{v, debug.Stack()}
		}
	}()
	f()
	return nil
}
