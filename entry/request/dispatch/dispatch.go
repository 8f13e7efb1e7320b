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
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/retry"
)

// Dispatcher runs requests on agents. Exported fields are set before use.
type Dispatcher struct {
	Pool  *agent.Pool
	Clock *clock.Clock
	Log   *event.Log
	// Incarnation is that of this entry; it makes request ids unique.
	Incarnation uint64
	// Claims makes requests with a key run at most once; nil refuses them.
	Claims *claims.Service
	// Suspects keeps requests from crashing upstreams; nil lets all run.
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
	d.decide(retry.First{})
	if keyed {
		return d.dispatchClaimed(ctx, r, a, available)
	}
	tried := map[string]bool{}
	state := retry.NewRequest(r.Idempotent())
	for {
		l := d.Pool.Choose(r.Service().Name(), tried)
		if l == nil {
			return noUpstream(state)
		}
		l, err := d.checkedAttempt(ctx, l, r, a, state, tried)
		if err == nil || ctx.Err() != nil {
			return err
		}
		var failed *attemptError
		if !errors.As(err, &failed) {
			return err
		}
		switch next := d.decide(failed.event(state, r.Deadline()-d.Clock.Now())).(type) {
		case retry.GiveUp:
			return next.Refusal()
		case retry.Again:
			state = next.Request()
			d.Log.Error(event.RequestRetried, err, event.Fields{"upstream": l.Name})
		}
	}
}

// unavailable refuses a request whose service, or one that it depends on, has
// no upstream that takes work.
func unavailable(v *relay.Snapshot, service string) *outcome.Refusal {
	code := outcome.DependencyOut
	if !v.AnyTakes(service) {
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

// noUpstream refuses a request that no further upstream can take.
func noUpstream(state retry.Request) error {
	result := outcome.NotRun
	if state.MayHaveRun() {
		result = outcome.Unknown
	}
	return outcome.Refuse(outcome.NoUpstream, result, int64(clock.Second))
}

// attempt runs the request once. Its error is an attemptError unless the caller
// has left or the deadline has passed.
func (d *Dispatcher) attempt(ctx context.Context, l *agent.Link, r *caller.Request, a *caller.Answer, suspect bool) error {
	id := frame.NewID(d.Incarnation, d.sequence.Add(1))
	e, err := l.Submit(id, marked(d.submit(r, ""), suspect))
	if err != nil {
		return &attemptError{retry.LostBeforeSubmit, outcome.NoUpstream, 0}
	}
	defer e.Close()
	return copyAnswer(ctx, e, a)
}

func (d *Dispatcher) submit(r *caller.Request, claimKey string) *frame.Submit {
	left := r.Deadline() - d.Clock.Now()
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

func (e *attemptError) event(state retry.Request, remaining clock.Millis) retry.Failed {
	return retry.NewFailed(state, e.failure, e.code, e.retryAfterMs, remaining)
}

// copyAnswer passes the events of an exchange to the caller until its end.
func copyAnswer(ctx context.Context, e *agent.Exchange, a answer) error {
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
