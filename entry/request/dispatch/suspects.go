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

// runCheckedAttempt runs the request once if it may run, on the upstream of its turn
// or, if it is suspect, on the only one that the check allows. It returns the
// name of that upstream.
func (d *Dispatcher) runCheckedAttempt(ctx context.Context, reservation *schedule.Turn, r *caller.Request, w *caller.Answer, state retry.Request) (string, error) {
	if d.Suspects == nil {
		return reservation.Upstream(), d.runAttempt(ctx, reservation.Upstream(), d.newSubmit(r, ""), w, reservation.Answering)
	}
	attempt, err := d.beginAttempt(ctx, reservation, r)
	if err != nil {
		return reservation.Upstream(), requestRefusal(outcome.As(err), state)
	}
	err = d.runAttempt(attempt.Context(), attempt.Upstream(), withSuspectFlag(d.newSubmit(r, ""), attempt.Suspect()), w, reservation.Answering)
	attempt.End(err == nil)
	return attempt.Upstream(), quarantineError(attempt, err)
}

// beginAttempt asks where the request may run. Its error is a refusal that speaks of
// this attempt alone. A suspect whose only upstream has no connection has no
// other.
func (d *Dispatcher) beginAttempt(ctx context.Context, reservation *schedule.Turn, r *caller.Request) (*suspects.Sending, error) {
	fp := fingerprint.Of(r.Customer().Name(), r.Call().Body())
	attempt, err := d.Suspects.Begin(ctx, fp, r.Service().Name(), reservation.Upstream())
	if err != nil {
		return nil, err
	}
	if attempt.Upstream() == reservation.Upstream() {
		return attempt, nil
	}
	if link := d.Pool.Link(attempt.Upstream()); link == nil || !link.Connected() {
		attempt.End(false)
		return nil, outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
	}
	return attempt, nil
}

// requestRefusal makes a refusal of one attempt speak of the whole request.
func requestRefusal(refusal *outcome.Refusal, state retry.Request) *outcome.Refusal {
	if !state.MayHaveRun() {
		return refusal
	}
	return outcome.Refuse(refusal.Code(), outcome.Unknown, refusal.RetryAfterMs())
}

// quarantineError returns the refusal of a request that was quarantineError while it
// ran, and otherwise err.
func quarantineError(attempt *suspects.Sending, err error) error {
	if err == nil || attempt == nil || !attempt.Quarantined() {
		return err
	}
	return outcome.Refuse(outcome.Quarantined, outcome.Unknown, 0)
}

// withSuspectFlag tells the agent that a request is suspect.
func withSuspectFlag(m *frame.Submit, suspect bool) *frame.Submit {
	if !suspect {
		return m
	}
	return m.WithSuspect()
}

// beginNextAttempt asks where a keyed request may run and begins its next sending.
func (c *keyedRequest) beginNextAttempt(ctx context.Context) error {
	c.endAttempt(false)
	c.upstream = c.reservation.Upstream()
	if c.Suspects == nil {
		return nil
	}
	attempt, err := c.Dispatcher.beginAttempt(ctx, c.reservation, c.request)
	if err != nil {
		return err
	}
	c.attempt, c.upstream = attempt, attempt.Upstream()
	return nil
}

// endAttempt ends the present sending, if there is one.
func (c *keyedRequest) endAttempt(completed bool) {
	if c.attempt != nil {
		c.attempt.End(completed)
		c.attempt = nil
	}
}

// attemptContext also ends when the present sending is quarantined.
func (c *keyedRequest) attemptContext(ctx context.Context) context.Context {
	if c.attempt == nil {
		return ctx
	}
	return c.attempt.Context()
}
