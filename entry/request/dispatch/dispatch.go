// Package dispatch runs callers' requests on upstreams: it selects an agent,
// copies the response, and decides whether to retry a failed request on another.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/entry/request/schedule"
)

// restartDelay gives an upstream that refuses connections time to restart. It is
// short compared to the objective for the first token and long compared to the
// time that a supervisor needs to restart a process.
const restartDelay = 100 * clock.Millis(1)

// Dispatcher runs requests on agents. Exported fields are set before use.
type Dispatcher struct {
	Pool *agent.Pool
	// Scheduler queues requests and assigns their upstreams.
	Scheduler *schedule.Scheduler
	Clock     *clock.Clock
	Log       *event.Log
	// Incarnation is the incarnation of this entry; it makes request IDs unique.
	Incarnation uint64
	// Claims ensures that keyed requests run at most once. If nil, they are refused.
	Claims *claims.Service
	// Suspects isolates requests that may crash upstreams. If nil, nothing is checked.
	Suspects *suspects.Service

	sequence atomic.Uint64
	mu       sync.Mutex
	budget   retry.Budget
}

// Dispatch implements caller.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, r *caller.Request, w *caller.Response) error {
	keyed := r.Key() != "" && !r.Idempotent()
	available := d.Pool.CurrentSnapshot().Available(r.Service().Name())
	if !available && !keyed {
		return unavailableRefusal(d.Pool.CurrentSnapshot(), r.Service().Name())
	}
	d.handleRetryEvent(retry.FirstAttempt{})
	if keyed {
		return d.dispatchKeyed(ctx, r, w, available)
	}
	reservation, err := d.reserve(ctx, r)
	if err != nil {
		return err
	}
	err = d.runWithRetries(ctx, r, w, reservation)
	reservation.Close(err == nil)
	return err
}

// reserve queues r and waits until its first upstream is assigned.
func (d *Dispatcher) reserve(ctx context.Context, r *caller.Request) (*schedule.Reservation, error) {
	prompt, limit := r.Size().PromptTokens(), r.Size().MaxTokens()
	var prefixes []uint64
	if r.Service().Kind() == configuration.Model {
		prefixes = route.Prefixes(r.Call().Body())
	}
	bytes := int64(prompt+limit) * r.Service().MemoryPerTokenBytes()
	request := route.NewRequest(r.Service().Name(), prompt, bytes, prefixes)
	terms := schedule.NewParams(r.Customer().Name(), r.Customer().Priority(), customer.Cost(prompt, limit), r.Deadline(), request)
	reservation, err := d.Scheduler.Reserve(ctx, r.Service().Name(), terms)
	return reservation, deadlineRefusal(err, outcome.NotRun)
}

// deadlineRefusal replaces a context error by a refusal and returns other errors
// unchanged.
func deadlineRefusal(err error, result outcome.Outcome) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, result, 0), "%v", err)
	}
	return err
}

// runWithRetries sends the request to its reserved upstream, and to others as long
// as the retry policy allows it.
func (d *Dispatcher) runWithRetries(ctx context.Context, r *caller.Request, w *caller.Response, reservation *schedule.Reservation) error {
	state := retry.NewRequest(r.Idempotent())
	for {
		upstream, err := d.runCheckedAttempt(ctx, reservation, r, w, state)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if failed.failure != retry.LostBeforeSubmit {
			switch next := d.handleRetryEvent(failed.event(state, r.Deadline()-d.Clock.Now())).(type) {
			case retry.Abandon:
				return next.Refusal()
			case retry.Retry:
				state = next.Request()
				d.Log.Error(event.RequestRetried, err, event.Fields{"upstream": upstream})
			}
		}
		if failed.code == outcome.NoUpstream {
			// The next attempt may get the same upstream if it is the only one.
			clock.Sleep(ctx, restartDelay)
		}
		if err := reservation.Retry(ctx, failed.mayHaveRun()); err != nil {
			return d.retryRefusal(err, state)
		}
	}
}

// retryRefusal returns the refusal of a request that is assigned no further
// upstream because of err.
func (d *Dispatcher) retryRefusal(err error, state retry.Request) error {
	result := outcome.NotRun
	if state.MayHaveRun() {
		result = outcome.Unknown
	}
	refusal := outcome.As(deadlineRefusal(err, result))
	return outcome.Refuse(refusal.Code(), result, refusal.RetryAfterMs())
}

// unavailableRefusal returns the refusal of a request whose service, or one that it
// depends on, has no upstream that accepts work.
func unavailableRefusal(snapshot *relay.Snapshot, service string) *outcome.Refusal {
	code := outcome.DependencyUnavailable
	if !snapshot.AnyAgentAcceptsWork(service) {
		code = outcome.NoUpstream
	}
	return outcome.Refuse(code, outcome.NotRun, int64(clock.Second))
}

// handleRetryEvent passes an event to the retry budget that all requests share.
func (d *Dispatcher) handleRetryEvent(e retry.Event) retry.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Handle(e)
}

// runAttempt runs the request once on an upstream. Its error is an attemptError
// unless the caller has disconnected or the deadline has passed.
func (d *Dispatcher) runAttempt(ctx context.Context, upstream string, m *frame.Submit, w responseWriter, onFirstByte func()) error {
	e, err := d.send(upstream, m)
	if err != nil {
		return err
	}
	defer e.Close()
	return copyResponse(ctx, e, w, onFirstByte)
}

// send submits m to an upstream. Its error is an attemptError that states that the
// request has not been sent.
func (d *Dispatcher) send(upstream string, m *frame.Submit) (*agent.Exchange, error) {
	id := frame.NewID(d.Incarnation, d.sequence.Add(1))
	link := d.Pool.Link(upstream)
	if link != nil {
		if e, err := link.Submit(id, m); err == nil {
			return e, nil
		}
	}
	d.Scheduler.ConnectionLost(upstream)
	return nil, &attemptError{retry.LostBeforeSubmit, outcome.NoUpstream, 0}
}

func (d *Dispatcher) newSubmit(r *caller.Request, claimKey string) *frame.Submit {
	remaining := r.EndDeadline() - d.Clock.Now()
	terms := frame.NewRequestOptions(int64(remaining), r.Customer().Priority(), r.Idempotent(), r.Stream(), claimKey)
	return frame.NewSubmit(r.Service().Name(), r.Customer().Name(), r.Call(), terms, r.Size(), r.ConfigVersion())
}

// attemptError describes how an attempt ended without a complete response.
type attemptError struct {
	failure      retry.Failure
	code         outcome.Code
	retryAfterMs int64
}

// Error implements error.
func (e *attemptError) Error() string { return "attempt failed: " + string(e.code) }

// mayHaveRun reports whether the upstream may have run the attempt.
func (e *attemptError) mayHaveRun() bool {
	return e.failure != retry.RefusedNotRun && e.failure != retry.LostBeforeSubmit
}

func (e *attemptError) event(state retry.Request, remaining clock.Millis) retry.Failed {
	return retry.NewFailed(state, e.failure, e.code, e.retryAfterMs, remaining)
}

// copyResponse forwards the events of an exchange to the caller until its end, and
// calls onFirstByte at the first body byte.
func copyResponse(ctx context.Context, e *agent.Exchange, w responseWriter, onFirstByte func()) error {
	notifyFirstByte := sync.OnceFunc(onFirstByte)
	for {
		next, err := e.Next(ctx)
		if err != nil {
			return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
		}
		switch next := next.(type) {
		case agent.Accepted:
		case agent.Refused:
			return refusedError(next.Refusal())
		case agent.Head:
			w.Head(next.Status(), next.Header())
		case agent.Data:
			notifyFirstByte()
			if err := w.Write(next.Bytes()); err != nil {
				return errors.Wrap(err, "write to caller")
			}
			e.Consumed(len(next.Bytes()))
		case agent.Lost:
			return lostError(next, w)
		case agent.End:
			return finishResponse(next, w)
		}
	}
}

func refusedError(r *outcome.Refusal) error {
	failure := retry.RefusedUnknown
	if r.Outcome() == outcome.NotRun {
		failure = retry.RefusedNotRun
	}
	return &attemptError{failure, r.Code(), r.RetryAfterMs()}
}

func lostError(l agent.Lost, w responseWriter) error {
	failure := retry.LostAfterSubmit
	switch {
	case l.NotRun():
		failure = retry.RefusedNotRun
	case w.Started():
		failure = retry.FailedAfterBytes
	}
	return &attemptError{failure, outcome.ConnectionLost, 0}
}

// finishResponse completes the caller's response if the upstream sent all of it
// intact, and returns an attemptError otherwise.
func finishResponse(end agent.End, w responseWriter) error {
	if end.Complete() {
		return errors.Wrap(w.Finish(), "write to caller")
	}
	failure := retry.FailedBeforeBytes
	switch {
	case end.Code() == outcome.NoUpstream:
		failure = retry.RefusedNotRun
	case w.Started():
		failure = retry.FailedAfterBytes
	}
	return &attemptError{failure, end.Code(), 0}
}
