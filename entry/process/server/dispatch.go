package server

import (
	"context"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/request/caller"
)

// maxAttempts bounds the upstreams tried for one request.
const maxAttempts = 4

// dispatcher runs requests on agents.
type dispatcher struct {
	pool        *pool
	clock       *clock.Clock
	log         *event.Log
	incarnation uint64
	sequence    atomic.Uint64
}

// Dispatch implements caller.Dispatcher.
func (d *dispatcher) Dispatch(ctx context.Context, r *caller.Request, a *caller.Answer) error {
	if !d.pool.view().Available(r.Service().Name()) {
		return outcome.Refuse(outcome.DependencyOut, outcome.NotRun, int64(clock.Second))
	}
	tried := map[string]bool{}
	var last error = outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
	for range maxAttempts {
		l := d.pool.choose(r.Service().Name(), tried)
		if l == nil {
			return last
		}
		tried[l.Name] = true
		err := d.attempt(ctx, l, r, a)
		if err == nil || !d.mayRetry(ctx, r, a, err) {
			return err
		}
		d.log.Error(event.RequestRetried, err, event.Fields{"upstream": l.Name})
		last = err
	}
	return last
}

// mayRetry tells whether another upstream may run the request after err.
func (d *dispatcher) mayRetry(ctx context.Context, r *caller.Request, a *caller.Answer, err error) bool {
	if ctx.Err() != nil || a.Started() {
		return false
	}
	return r.Idempotent() || outcome.As(err).Outcome() == outcome.NotRun
}

func (d *dispatcher) attempt(ctx context.Context, l *link, r *caller.Request, a *caller.Answer) error {
	id := frame.NewID(d.incarnation, d.sequence.Add(1))
	e, err := l.Submit(id, d.submit(r))
	if err != nil {
		return errors.Wrapf(outcome.Refuse(outcome.NoUpstream, outcome.NotRun, 0), "%v", err)
	}
	defer e.Close()
	return copyAnswer(ctx, e, a)
}

func (d *dispatcher) submit(r *caller.Request) *frame.Submit {
	left := r.Deadline() - d.clock.Now()
	terms := frame.NewTerms(int64(left), r.Customer().Priority(), r.Idempotent(), r.Stream(), "")
	return frame.NewSubmit(r.Service().Name(), r.Customer().Name(), r.Call(), terms, r.Size(), r.ConfigVersion())
}

// copyAnswer passes the events of an exchange to the caller until its end.
func copyAnswer(ctx context.Context, e *agent.Exchange, a *caller.Answer) error {
	for {
		next, err := e.Next(ctx)
		if err != nil {
			return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
		}
		switch next := next.(type) {
		case agent.Accepted:
		case agent.Refused:
			return next.Refusal()
		case agent.Head:
			a.Head(next.Status(), next.Header())
		case agent.Data:
			if err := a.Write(next.Bytes()); err != nil {
				return errors.Wrap(err, "write to caller")
			}
			e.Consumed(len(next.Bytes()))
		case agent.Lost:
			return outcome.Refuse(outcome.ConnectionLost, lostOutcome(next), 0)
		case agent.End:
			return finish(next, a)
		}
	}
}

func lostOutcome(l agent.Lost) outcome.Outcome {
	if l.NotRun() {
		return outcome.NotRun
	}
	return outcome.Unknown
}

// finish ends the caller's answer when every byte has arrived intact.
func finish(end agent.End, a *caller.Answer) error {
	if end.Complete() {
		return errors.Wrap(a.Finish(), "write to caller")
	}
	result := outcome.Unknown
	if end.Code() == outcome.NoUpstream {
		result = outcome.NotRun
	}
	return outcome.Refuse(end.Code(), result, 0)
}
