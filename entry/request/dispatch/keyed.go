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

// responseWriter is the part of caller.Response that an attempt uses.
type responseWriter interface {
	Head(status int, header []frame.Field)
	Write(p []byte) error
	Started() bool
	Finish() error
}

// keyedRequest is a request with an idempotency key that is being dispatched.
type keyedRequest struct {
	*Dispatcher
	request     *caller.Request
	response    *caller.Response
	call        *claims.Call
	reservation *schedule.Reservation
	state       retry.Request

	upstream string            // upstream of the next submit
	attempt  *suspects.Attempt // nil if suspects are not checked
}

// dispatchKeyed runs a keyed request at most once across all entries. It consults
// the idempotency record even if the service is unavailable, because an earlier
// attempt may have run.
func (d *Dispatcher) dispatchKeyed(ctx context.Context, r *caller.Request, w *caller.Response, available bool) error {
	if d.Claims == nil {
		return outcome.Refuse(outcome.NotReady, outcome.NotRun, 0)
	}
	httpCall := r.Call()
	call := d.Claims.Open(r.Customer().Name(), r.Key(), httpCall.Method(), httpCall.Path(), httpCall.Body(), r.Deadline())
	defer call.Close()
	k := &keyedRequest{Dispatcher: d, request: r, response: w, call: call, state: retry.NewRequest(false)}
	complete := false
	defer func() {
		k.endAttempt(complete)
		if k.reservation != nil {
			k.reservation.Close(complete)
		}
	}()
	step, err := k.begin(ctx, available)
	for err == nil {
		switch s := step.(type) {
		case claims.Stored:
			return k.writeStored(s.Response())
		case claims.Refused:
			return s.Refusal()
		case claims.Submit:
			attemptErr := k.submitOnce(ctx, s.Grant())
			if attemptErr == nil {
				complete = true
				return nil
			}
			step, err = k.recover(ctx, attemptErr)
		}
	}
	if ctx.Err() != nil {
		// Another attempt for the same key may have run.
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
	}
	return err
}

// begin reserves an upstream and claims the key for it.
func (k *keyedRequest) begin(ctx context.Context, available bool) (claims.Step, error) {
	if !available {
		return k.call.Abandoned(ctx, unavailableRefusal(k.Pool.CurrentSnapshot(), k.request.Service().Name()))
	}
	reservation, err := k.reserve(ctx, k.request)
	if err != nil {
		return k.call.Abandoned(ctx, outcome.As(err))
	}
	k.reservation = reservation
	return k.acquire(ctx)
}

// acquire claims the key for the upstream of the reservation, or for the only one
// that the check of suspects allows. Upstreams without a connection are skipped.
func (k *keyedRequest) acquire(ctx context.Context) (claims.Step, error) {
	for {
		// The refusal covers this attempt only; the key's owner determines the
		// outcome for the key.
		if err := k.beginAttempt(ctx); err != nil {
			return k.call.Abandoned(ctx, outcome.As(err))
		}
		if link := k.Pool.Link(k.upstream); link != nil && link.Connected() {
			return k.call.Acquire(ctx, link.Name, link.Incarnation())
		}
		k.Scheduler.ConnectionLost(k.upstream)
		if err := k.reservation.Retry(ctx, false); err != nil {
			return k.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
	}
}

// submitOnce submits the request under a grant and reports a complete response to
// Claims.
func (k *keyedRequest) submitOnce(ctx context.Context, grant string) error {
	captured := &capturingWriter{Response: k.response}
	m := withSuspectFlag(k.newSubmit(k.request, grant), k.attempt != nil && k.attempt.Suspect())
	if err := k.runAttempt(k.attemptContext(ctx), k.upstream, m, captured, k.reservation.ResponseStarted); err != nil {
		return quarantineError(k.attempt, err)
	}
	k.call.Finished(captured.capture.Response())
	return nil
}

// recover decides what to do after an attempt without a complete response.
func (k *keyedRequest) recover(ctx context.Context, err error) (claims.Step, error) {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return nil, err
	}
	notRun := failed.failure == retry.RefusedNotRun || failed.failure == retry.LostBeforeSubmit
	switch {
	case k.response.Started():
		return nil, outcome.Refuse(failed.code, outcome.Unknown, 0)
	case notRun && failed.code == outcome.ClaimPending:
		return k.call.Superseded(ctx)
	case !notRun:
		return k.call.OutcomeUnknown(ctx)
	}
	k.call.AgentRefused()
	switch next := k.handleRetryEvent(failed.event(k.state, k.request.Deadline()-k.Clock.Now())).(type) {
	case retry.Retry:
		k.state = next.Request()
		if err := k.reservation.Retry(ctx, false); err != nil {
			return k.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
		return k.acquire(ctx)
	case retry.Abandon:
		return k.call.Abandoned(ctx, next.Refusal())
	}
	return nil, err
}

// writeStored sends the stored response of an earlier attempt to the caller.
func (k *keyedRequest) writeStored(resp stored.Response) error {
	k.response.Head(resp.Status(), resp.Header())
	if err := k.response.Write(resp.Body()); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(k.response.Finish(), "write to caller")
}

// capturingWriter forwards a response to the caller and captures it if it is small.
type capturingWriter struct {
	*caller.Response
	capture stored.Capture
}

// Head captures and forwards the status and header.
func (c *capturingWriter) Head(status int, header []frame.Field) {
	c.capture.Head(status, header)
	c.Response.Head(status, header)
}

// Write forwards p and captures it if the response is small.
func (c *capturingWriter) Write(p []byte) error {
	c.capture.Add(p)
	return c.Response.Write(p)
}
