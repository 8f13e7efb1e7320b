// Package dispatch runs callers' requests on upstreams: it chooses an agent,
// copies the answer, and decides whether a failed request is sent to another.
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
	"goldcrestshore/core/version/relay"
	"goldcrestshore/core/version/text"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/entry/request/schedule"
)

// restartPause lets an upstream that refuses connections restart. It is short
// against the objective for the first token and long against the time in which
// a supervisor starts a process again.
const restartPause = 100 * clock.Millis(1)

// Dispatcher runs requests on agents. Exported fields are set before use.
type Dispatcher struct {
	Pool *agent.Pool
	// Scheduler gives requests their turn and their upstream.
	Scheduler *schedule.Scheduler
	Clock     *clock.Clock
	Log       *event.Log
	// Incarnation is that of this entry; it makes request ids unique.
	Incarnation uint64
	// Claims makes requests with a key run at most once; nil refuses them.
	Claims *claims.Service
	// Suspects keeps requests that crash upstreams apart; nil checks nothing.
	Suspects *suspects.Service

	sequence atomic.Uint64
	mu       sync.Mutex
	budget   retry.Budget
}

// Dispatch implements caller.Dispatcher.
func (d *Dispatcher) Dispatch(ctx context.Context, r *caller.Request, a *caller.Answer) error {
	keyed := r.Key() != "" && !r.Idempotent()
	available := d.Pool.View().Available(r.Service().Name())
	if !available && !keyed {
		return unavailable(d.Pool.View(), r.Service().Name())
	}
	d.decide(retry.FirstAttempt{})
	if keyed {
		return d.dispatchClaimed(ctx, r, a, available)
	}
	turn, err := d.enter(ctx, r)
	if err != nil {
		return err
	}
	err = d.run(ctx, r, a, turn)
	turn.Close(err == nil)
	return err
}

// enter waits for the turn of r and its first upstream.
func (d *Dispatcher) enter(ctx context.Context, r *caller.Request) (*schedule.Reservation, error) {
	prompt, limit := r.Size().PromptTokens(), r.Size().MaxTokens()
	var prefixes []uint64
	if r.Service().Kind() == text.Model {
		prefixes = route.Prefixes(r.Call().Body())
	}
	bytes := int64(prompt+limit) * r.Service().MemoryPerTokenBytes()
	request := route.NewRequest(r.Service().Name(), prompt, bytes, prefixes)
	terms := schedule.NewParams(r.Customer().Name(), r.Customer().Priority(), customer.Cost(prompt, limit), r.Deadline(), request)
	turn, err := d.Scheduler.Reserve(ctx, r.Service().Name(), terms)
	return turn, deadlineRefusal(err, outcome.NotRun)
}

// deadlineRefusal replaces the error of a context by a refusal.
func deadlineRefusal(err error, result outcome.Outcome) error {
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, result, 0), "%v", err)
	}
	return err
}

// run sends the request to the upstream of its turn, and to others while the
// rules on retries allow it.
func (d *Dispatcher) run(ctx context.Context, r *caller.Request, a *caller.Answer, turn *schedule.Reservation) error {
	state := retry.NewRequest(r.Idempotent())
	for {
		upstream, err := d.checkedAttempt(ctx, turn, r, a, state)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		if failed.failure != retry.LostBeforeSubmit {
			switch next := d.decide(failed.event(state, r.Deadline()-d.Clock.Now())).(type) {
			case retry.Abandon:
				return next.Refusal()
			case retry.Retry:
				state = next.Request()
				d.Log.Error(event.RequestRetried, err, event.Fields{"upstream": upstream})
			}
		}
		if failed.code == outcome.NoUpstream {
			// The next attempt may have no other upstream than this one.
			clock.Sleep(ctx, restartPause)
		}
		if err := turn.Retry(ctx, failed.ran()); err != nil {
			return d.stopped(err, state)
		}
	}
}

// stopped refuses a request that gets no further upstream.
func (d *Dispatcher) stopped(err error, state retry.Request) error {
	result := outcome.NotRun
	if state.MayHaveRun() {
		result = outcome.Unknown
	}
	refusal := outcome.As(deadlineRefusal(err, result))
	return outcome.Refuse(refusal.Code(), result, refusal.RetryAfterMs())
}

// unavailable refuses a request whose service, or one that it depends on, has
// no upstream that takes work.
func unavailable(v *relay.Snapshot, service string) *outcome.Refusal {
	code := outcome.DependencyOut
	if !v.AnyAgentAcceptsWork(service) {
		code = outcome.NoUpstream
	}
	return outcome.Refuse(code, outcome.NotRun, int64(clock.Second))
}

// decide passes an event to the budget that all requests share.
func (d *Dispatcher) decide(e retry.Event) retry.Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budget.Handle(e)
}

// attempt runs the request once on an upstream. Its error is an attemptError
// unless the caller has left or the deadline has passed.
func (d *Dispatcher) attempt(ctx context.Context, upstream string, m *frame.Submit, a answer, answering func()) error {
	e, err := d.send(upstream, m)
	if err != nil {
		return err
	}
	defer e.Close()
	return copyAnswer(ctx, e, a, answering)
}

// send submits m to an upstream. Its error is an attemptError for a request that
// has not left this process.
func (d *Dispatcher) send(upstream string, m *frame.Submit) (*agent.Exchange, error) {
	id := frame.NewID(d.Incarnation, d.sequence.Add(1))
	l := d.Pool.Link(upstream)
	if l != nil {
		if e, err := l.Submit(id, m); err == nil {
			return e, nil
		}
	}
	d.Scheduler.Lost(upstream)
	return nil, &attemptError{retry.LostBeforeSubmit, outcome.NoUpstream, 0}
}

func (d *Dispatcher) submit(r *caller.Request, claimKey string) *frame.Submit {
	left := r.End() - d.Clock.Now()
	terms := frame.NewTerms(int64(left), r.Customer().Priority(), r.Idempotent(), r.Stream(), claimKey)
	return frame.NewSubmit(r.Service().Name(), r.Customer().Name(), r.Call(), terms, r.Size(), r.ConfigVersion())
}

// attemptError tells how one attempt ended without a whole answer.
type attemptError struct {
	failure      retry.Failure
	code         outcome.Code
	retryAfterMs int64
}

// Error describes the failure in one line.
func (e *attemptError) Error() string { return "attempt failed: " + string(e.code) }

// ran tells that the upstream may have run the attempt.
func (e *attemptError) ran() bool {
	return e.failure != retry.RefusedNotRun && e.failure != retry.LostBeforeSubmit
}

func (e *attemptError) event(state retry.Request, remaining clock.Millis) retry.Failed {
	return retry.NewFailed(state, e.failure, e.code, e.retryAfterMs, remaining)
}

// copyAnswer passes the events of an exchange to the caller until its end, and
// calls answering at the first body byte.
func copyAnswer(ctx context.Context, e *agent.Exchange, a answer, answering func()) error {
	first := sync.OnceFunc(answering)
	for {
		next, err := e.Next(ctx)
		if err != nil {
			return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
		}
		switch next := next.(type) {
		case agent.Accepted:
		case agent.Refused:
			return refused(next.Refusal())
		case agent.Head:
			a.Head(next.Status(), next.Header())
		case agent.Data:
			first()
			if err := a.Write(next.Bytes()); err != nil {
				return errors.Wrap(err, "write to caller")
			}
			e.Consumed(len(next.Bytes()))
		case agent.Lost:
			return lost(next, a)
		case agent.End:
			return finish(next, a)
		}
	}
}

func refused(r *outcome.Refusal) error {
	failure := retry.RefusedUnknown
	if r.Outcome() == outcome.NotRun {
		failure = retry.RefusedNotRun
	}
	return &attemptError{failure, r.Code(), r.RetryAfterMs()}
}

func lost(l agent.Lost, a answer) error {
	failure := retry.LostAfterSubmit
	switch {
	case l.NotRun():
		failure = retry.RefusedNotRun
	case a.Started():
		failure = retry.FailedAfterBytes
	}
	return &attemptError{failure, outcome.ConnectionLost, 0}
}

// finish ends the caller's answer when every byte has arrived intact.
func finish(end agent.End, a answer) error {
	if end.Complete() {
		return errors.Wrap(a.Finish(), "write to caller")
	}
	failure := retry.FailedBeforeBytes
	switch {
	case end.Code() == outcome.NoUpstream:
		failure = retry.RefusedNotRun
	case a.Started():
		failure = retry.FailedAfterBytes
	}
	return &attemptError{failure, end.Code(), 0}
}
