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

// answer is what an attempt needs of a caller's answer.
type answer interface {
	Head(status int, header []frame.Field)
	Write(p []byte) error
	Started() bool
	Finish() error
}

// claimed is a keyed request on its way.
type claimed struct {
	*Dispatcher
	request *caller.Request
	answer  *caller.Answer
	call    *claims.Call
	turn    *schedule.Reservation
	state   retry.Request

	upstream string            // where the next submit goes
	sending  *suspects.Sending // nil without a check of suspects
}

// dispatchClaimed runs a keyed request at most once over all entries. If its
// service is not available, an earlier sending may still have run.
func (d *Dispatcher) dispatchClaimed(ctx context.Context, r *caller.Request, a *caller.Answer, available bool) error {
	if d.Claims == nil {
		return outcome.Refuse(outcome.NotReady, outcome.NotRun, 0)
	}
	q := r.Call()
	call := d.Claims.Open(r.Customer().Name(), r.Key(), q.Method(), q.Path(), q.Body(), r.Deadline())
	defer call.Close()
	c := &claimed{Dispatcher: d, request: r, answer: a, call: call, state: retry.NewRequest(false)}
	complete := false
	defer func() {
		c.endSending(complete)
		if c.turn != nil {
			c.turn.Close(complete)
		}
	}()
	step, err := c.begin(ctx, available)
	for err == nil {
		switch s := step.(type) {
		case claims.Stored:
			return c.deliver(s.Answer())
		case claims.Refused:
			return s.Refusal()
		case claims.Submit:
			failed := c.submitOnce(ctx, s.Grant())
			if failed == nil {
				complete = true
				return nil
			}
			step, err = c.recover(ctx, failed)
		}
	}
	if ctx.Err() != nil {
		// Another sending of the key may have run.
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
	}
	return err
}

func (c *claimed) begin(ctx context.Context, available bool) (claims.Step, error) {
	if !available {
		return c.call.Abandoned(ctx, unavailable(c.Pool.View(), c.request.Service().Name()))
	}
	turn, err := c.enter(ctx, c.request)
	if err != nil {
		return c.call.Abandoned(ctx, outcome.As(err))
	}
	c.turn = turn
	return c.ask(ctx)
}

// ask claims the key for the upstream of the turn, or for the only one that the
// check of suspects allows. Upstreams without a connection are passed over.
func (c *claimed) ask(ctx context.Context) (claims.Step, error) {
	for {
		// The owner turns a refusal of this sending into one that is true for the key.
		if err := c.check(ctx); err != nil {
			return c.call.Abandoned(ctx, outcome.As(err))
		}
		if l := c.Pool.Link(c.upstream); l != nil && l.Connected() {
			return c.call.Acquire(ctx, l.Name, l.Incarnation())
		}
		c.Scheduler.Lost(c.upstream)
		if err := c.turn.Retry(ctx, false); err != nil {
			return c.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
	}
}

// submitOnce submits the request under a grant and reports the answer.
func (c *claimed) submitOnce(ctx context.Context, grant string) error {
	captured := &capture{Answer: c.answer}
	m := marked(c.submit(c.request, grant), c.sending != nil && c.sending.Suspect())
	if err := c.attempt(c.sendingContext(ctx), c.upstream, m, captured, c.turn.ResponseStarted); err != nil {
		return quarantined(c.sending, err)
	}
	c.call.Finished(captured.kept.Answer())
	return nil
}

// recover decides what follows an attempt without a whole answer.
func (c *claimed) recover(ctx context.Context, err error) (claims.Step, error) {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return nil, err
	}
	notRun := failed.failure == retry.RefusedNotRun || failed.failure == retry.LostBeforeSubmit
	switch {
	case c.answer.Started():
		return nil, outcome.Refuse(failed.code, outcome.Unknown, 0)
	case notRun && failed.code == outcome.ClaimPending:
		return c.call.Superseded(ctx)
	case !notRun:
		return c.call.OutcomeUnknown(ctx)
	}
	c.call.AgentRefused()
	switch next := c.decide(failed.event(c.state, c.request.Deadline()-c.Clock.Now())).(type) {
	case retry.Retry:
		c.state = next.Request()
		if err := c.turn.Retry(ctx, false); err != nil {
			return c.call.Abandoned(ctx, outcome.As(deadlineRefusal(err, outcome.NotRun)))
		}
		return c.ask(ctx)
	case retry.Abandon:
		return c.call.Abandoned(ctx, next.Refusal())
	}
	return nil, err
}

// deliver gives the caller the answer of an earlier sending.
func (c *claimed) deliver(a stored.Answer) error {
	c.answer.Head(a.Status(), a.Header())
	if err := c.answer.Write(a.Body()); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(c.answer.Finish(), "write to caller")
}

// capture keeps a small answer while it passes to the caller.
type capture struct {
	*caller.Answer
	kept stored.Capture
}

// Head keeps the head and passes it on.
func (c *capture) Head(status int, header []frame.Field) {
	c.kept.Head(status, header)
	c.Answer.Head(status, header)
}

// Write keeps p if the answer is small and passes it on.
func (c *capture) Write(p []byte) error {
	c.kept.Add(p)
	return c.Answer.Write(p)
}
