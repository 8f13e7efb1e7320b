package dispatch

import (
	"context"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/schedule"
)

// checkedAttempt runs the request once if it may run, on the upstream of its turn
// or, if it is suspect, on the only one that the check allows. It returns the
// name of that upstream.
func (d *Dispatcher) checkedAttempt(ctx context.Context, turn *schedule.Reservation, r *caller.Request, a *caller.Answer, state retry.Request) (string, error) {
	if d.Suspects == nil {
		return turn.Upstream(), d.attempt(ctx, turn.Upstream(), d.submit(r, ""), a, turn.ResponseStarted)
	}
	sending, err := d.check(ctx, turn, r)
	if err != nil {
		return turn.Upstream(), afterStart(outcome.As(err), state)
	}
	err = d.attempt(sending.Context(), sending.Upstream(), marked(d.submit(r, ""), sending.Suspect()), a, turn.ResponseStarted)
	sending.End(err == nil)
	return sending.Upstream(), quarantined(sending, err)
}

// check asks where the request may run. Its error is a refusal that speaks of
// this attempt alone. A suspect whose only upstream has no connection has no
// other.
func (d *Dispatcher) check(ctx context.Context, turn *schedule.Reservation, r *caller.Request) (*suspects.Sending, error) {
	print := fingerprint.Of(r.Customer().Name(), r.Call().Body())
	sending, err := d.Suspects.Begin(ctx, print, r.Service().Name(), turn.Upstream())
	if err != nil {
		return nil, err
	}
	if sending.Upstream() == turn.Upstream() {
		return sending, nil
	}
	if l := d.Pool.Link(sending.Upstream()); l == nil || !l.Connected() {
		sending.End(false)
		return nil, outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
	}
	return sending, nil
}

// afterStart makes a refusal of one attempt speak of the whole request.
func afterStart(refusal *outcome.Refusal, state retry.Request) *outcome.Refusal {
	if !state.MayHaveRun() {
		return refusal
	}
	return outcome.Refuse(refusal.Code(), outcome.Unknown, refusal.RetryAfterMs())
}

// quarantined returns the refusal of a request that was quarantined while it
// ran, and otherwise err.
func quarantined(sending *suspects.Sending, err error) error {
	if err == nil || sending == nil || !sending.Quarantined() {
		return err
	}
	return outcome.Refuse(outcome.Quarantined, outcome.Unknown, 0)
}

// marked tells the agent that a request is suspect.
func marked(m *frame.Submit, suspect bool) *frame.Submit {
	if !suspect {
		return m
	}
	return m.WithSuspect()
}

// check asks where a keyed request may run and begins its next sending.
func (c *claimed) check(ctx context.Context) error {
	c.endSending(false)
	c.upstream = c.turn.Upstream()
	if c.Suspects == nil {
		return nil
	}
	sending, err := c.Dispatcher.check(ctx, c.turn, c.request)
	if err != nil {
		return err
	}
	c.sending, c.upstream = sending, sending.Upstream()
	return nil
}

// endSending ends the present sending, if there is one.
func (c *claimed) endSending(completed bool) {
	if c.sending != nil {
		c.sending.End(completed)
		c.sending = nil
	}
}

// sendingContext also ends when the present sending is quarantined.
func (c *claimed) sendingContext(ctx context.Context) context.Context {
	if c.sending == nil {
		return ctx
	}
	return c.sending.Context()
}
