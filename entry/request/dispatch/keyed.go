package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/schedule"
)

// responseWriter is what an attempt needs of a caller's responseWriter.
type responseWriter interface {
	Head(status int, header []frame.Field)
	Write(p []byte) error
	Started() bool
	Finish() error
}

// keyedRequest is a keyed request on its way.
type keyedRequest struct {
	*Dispatcher
	request     *caller.Request
	response    *caller.Answer
	call        *claims.Call
	reservation *schedule.Turn
	state       retry.Request

	upstream string            // where the next submit goes
	attempt  *suspects.Sending // nil without a check of suspects
}

// dispatchKeyed runs a keyed request at most once over all entries. If its
// service is not available, an earlier sending may still have run.
func (d *Dispatcher) dispatchKeyed(ctx context.Context, r *caller.Request, w *caller.Answer, available bool) error {
	if d.Claims == nil {
		return outcome.Refuse(outcome.NotReady, outcome.NotRun, 0)
	}
	q := r.Call()
	call := d.Claims.Open(r.Customer().Name(), r.Key(), q.Method(), q.Path(), q.Body(), r.Deadline())
	defer call.Close()
	c := &keyedRequest{Dispatcher: d, request: r, response: w, call: call, state: retry.NewRequest(false)}
	complete := false
	defer func() {
		c.endAttempt(complete)
		if c.reservation != nil {
			c.reservation.Close(complete)
		}
	}()
	step, err := c.begin(ctx, available)
	for err == nil {
		switch s := step.(type) {
		case claims.Stored:
			return c.writeStored(s.Answer())
		case claims.Refused:
			return s.Refusal()
		case claims.Submit:
			attemptErr := c.submitOnce(ctx, s.Grant())
			if attemptErr == nil {
				complete = true
				return nil
			}
			step, err = c.handleFailure(ctx, attemptErr)
		}
	}
	if ctx.Err() != nil {
		// Another sending of the key may have run.
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
	}
	return err
}

func (c *keyedRequest) begin(ctx context.Context, available bool) (claims.Step, error) {
	if !available {
		return c.call.Abandoned(ctx, unavailableRefusal(c.Pool.View(), c.request.Service().Name()))
	}
	reservation, err := c.reserve(ctx, c.request)
	if err != nil {
		return c.call.Abandoned(ctx, outcome.As(err))
	}
	c.reservation = reservation
	return c.acquire(ctx)
}

// acquire claims the key for the upstream of the turn, or for the only one that the
// check of suspects allows. Upstreams without a connection are passed over.
func (c *keyedRequest) acquire(ctx context.Context) (claims.Step, error) {
	for {
		// The owner turns a refusal of this sending into one that is true for the key.
		if err := c.beginNextAttempt(ctx); err != nil {
			return c.call.Abandoned(ctx, outcome.As(err))
		}
		if link := c.Pool.Link(c.upstream); link != nil && link.Connected() {
			return c.call.Acquire(ctx, link.Name, link.Incarnation())
		}
		c.Scheduler.Lost(c.upstream)
		if err := c.reservation.Again(ctx, false); err != nil {
			return c.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
	}
}

// submitOnce submits the request under a grant and reports the answer.
func (c *keyedRequest) submitOnce(ctx context.Context, grant string) error {
	captured := &capturingWriter{Answer: c.response}
	m := withSuspectFlag(c.newSubmit(c.request, grant), c.attempt != nil && c.attempt.Suspect())
	if err := c.runAttempt(c.attemptContext(ctx), c.upstream, m, captured, c.reservation.Answering); err != nil {
		return quarantineError(c.attempt, err)
	}
	c.call.Finished(captured.capture.Answer())
	return nil
}

// handleFailure decides what follows an attempt without a whole answer.
func (c *keyedRequest) handleFailure(ctx context.Context, err error) (claims.Step, error) {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return nil, err
	}
	notRun := failed.failure == retry.RefusedNotRun || failed.failure == retry.LostBeforeSubmit
	switch {
	case c.response.Started():
		return nil, outcome.Refuse(failed.code, outcome.Unknown, 0)
	case notRun && failed.code == outcome.ClaimPending:
		return c.call.Superseded(ctx)
	case !notRun:
		return c.call.OutcomeUnknown(ctx)
	}
	c.call.AgentRefused()
	switch next := c.handleRetryEvent(failed.retryEvent(c.state, c.request.Deadline()-c.Clock.Now())).(type) {
	case retry.Again:
		c.state = next.Request()
		if err := c.reservation.Again(ctx, false); err != nil {
			return c.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
		return c.acquire(ctx)
	case retry.GiveUp:
		return c.call.Abandoned(ctx, next.Refusal())
	}
	return nil, err
}

// writeStored gives the caller the answer of an earlier sending.
func (c *keyedRequest) writeStored(resp stored.Answer) error {
	c.response.Head(resp.Status(), resp.Header())
	if err := c.response.Write(resp.Body()); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(c.response.Finish(), "write to caller")
}

// capturingWriter keeps a small answer while it passes to the caller.
type capturingWriter struct {
	*caller.Answer
	capture stored.Capture
}

// Head keeps the head and passes it on.
func (c *capturingWriter) Head(status int, header []frame.Field) {
	c.capture.Head(status, header)
	c.Answer.Head(status, header)
}

// Write keeps p if the answer is small and passes it on.
func (c *capturingWriter) Write(p []byte) error {
	c.capture.Add(p)
	return c.Answer.Write(p)
}
