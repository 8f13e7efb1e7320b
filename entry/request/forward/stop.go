package forward

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

const (
	// shutdownDelay is how long a stopping server still accepts connections, so
	// that the load balancer can detect that it is not ready.
	shutdownDelay = 2500 * clock.Millis(1)
	// shutdownMargin is the part of the grace period reserved for exiting before
	// the process is killed.
	shutdownMargin clock.Millis = 1000
	// finalResponseTime is the part of shutdownMargin for responding to the requests that
	// are still in flight.
	finalResponseTime clock.Millis = 400
)

// errStopped is the cause of the end of a request that is in flight when its time is up.
var errStopped = errors.New("entry stops before the request has ended")

// shutdown stops the server gracefully. It first reports that the server is not
// ready, so that the load balancer stops using it, then accepts the connections that
// wait, closes the listener and waits for the requests in flight. Those that have not ended
// in time are answered without their upstreams.
func (s *Server) shutdown(listener *drainingListener) error {
	deadline := time.Now().Add(s.gracefulTime().Duration())
	s.beginStop()
	s.Log.Emit(event.ProcessStopping, event.Fields{"held": s.inFlight.Load()})
	time.Sleep(s.acceptTime().Duration())
	listener.drain()
	cut := time.AfterFunc(time.Until(deadline), s.endRequests)
	defer cut.Stop()
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(finalResponseTime.Duration()))
	defer cancel()
	err := s.callers.Shutdown(ctx)
	s.Log.Emit(event.ProcessStopped, event.Fields{"held": s.inFlight.Load()})
	return errors.Wrap(err, "finish requests in flight")
}

// untilStopped returns a context that also ends, with the cause errStopped, when the time for
// the requests in flight is up. The caller must call stop once the request has ended.
func (s *Server) untilStopped(ctx context.Context) (out context.Context, stop func()) {
	out, cancel := context.WithCancelCause(ctx)
	if s.requestsEnd == nil {
		return out, func() { cancel(nil) }
	}
	unregister := context.AfterFunc(s.requestsEnd, func() { cancel(errStopped) })
	return out, func() {
		unregister()
		cancel(nil)
	}
}

// endCause returns why a request must not be sent to an upstream any more, nil if it may be. It
// does not wait until the context of untilStopped has ended: the requests that end first free
// upstreams for those that wait.
func (s *Server) endCause(ctx context.Context) error {
	if ctx.Err() == nil && s.requestsEnd != nil && s.requestsEnd.Err() != nil {
		return errStopped
	}
	return context.Cause(ctx)
}

// beginStop makes the server report that it is not ready.
func (s *Server) beginStop() {
	s.cutAt.Store(int64(s.Clock.Now() + s.gracefulTime()))
	s.stopping.Store(true)
}

// mayBeCut reports whether the server stops and may close the connection of a request that
// arrives now before the response is complete. While the load balancer still sends callers
// here, a request is taken if the recent ones of its route have ended in the time that is
// left; later only if its deadline passes before.
func (s *Server) mayBeCut(r *request) bool {
	if !s.stopping.Load() {
		return false
	}
	cutAt, now := clock.Millis(s.cutAt.Load()), s.Clock.Now()
	if r.deadline <= cutAt {
		return false
	}
	longest, known := s.durations.longest(now, r.route.Name)
	isEarly := now <= cutAt-s.gracefulTime()+s.acceptTime()
	return !known || !isEarly || now+longest > cutAt
}

// acceptTime is the time from the stop signal for which connections are accepted.
func (s *Server) acceptTime() clock.Millis { return min(shutdownDelay, s.gracefulTime()/2) }

// gracefulTime is the time from the stop signal until the requests that are still in flight are
// ended.
func (s *Server) gracefulTime() clock.Millis {
	return max(s.GracePeriod-shutdownMargin, s.GracePeriod/2)
}
