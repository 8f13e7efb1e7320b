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

// runCheckedAttempt runs the request once unless the check of suspects refuses it:
// on the reserved upstream or, if the request is suspect, on the only one that the
// check allows. It returns the name of that upstream.
func (d *Dispatcher) runCheckedAttempt(ctx context.Context, reservation *schedule.Reservation, r *caller.Request, w *caller.Response, state retry.Request) (string, error) {
	if d.Suspects == nil {
		return reservation.Upstream(), d.runAttempt(ctx, reservation.Upstream(), d.newSubmit(r, ""), w, reservation.ResponseStarted)
	}
	attempt, err := d.beginAttempt(ctx, reservation, r)
	if err != nil {
		return reservation.Upstream(), requestRefusal(outcome.As(err), state)
	}
	err = d.runAttempt(attempt.Context(), attempt.Upstream(), withSuspectFlag(d.newSubmit(r, ""), attempt.Suspect()), w, reservation.ResponseStarted)
	attempt.End(err == nil)
	return attempt.Upstream(), quarantineError(attempt, err)
}

// beginAttempt determines on which upstream the request may run and registers the
// attempt there. Its error is a refusal that covers this attempt only. A suspect
// request is refused if its only upstream has no connection.
func (d *Dispatcher) beginAttempt(ctx context.Context, reservation *schedule.Reservation, r *caller.Request) (*suspects.Attempt, error) {
	print := fingerprint.Of(r.Customer().Name(), r.Call().Body())
	attempt, err := d.Suspects.Begin(ctx, print, r.Service().Name(), reservation.Upstream())
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

// requestRefusal converts the refusal of an attempt into one of the request, whose
// earlier attempts may have run.
func requestRefusal(refusal *outcome.Refusal, state retry.Request) *outcome.Refusal {
	if !state.MayHaveRun() {
		return refusal
	}
	return outcome.Refuse(refusal.Code(), outcome.Unknown, refusal.RetryAfterMs())
}

// quarantineError returns the refusal of a request that was quarantined while it
// ran, and otherwise err.
func quarantineError(attempt *suspects.Attempt, err error) error {
	if err == nil || attempt == nil || !attempt.Quarantined() {
		return err
	}
	return outcome.Refuse(outcome.Quarantined, outcome.Unknown, 0)
}

// withSuspectFlag marks m for the agent if the request is suspect.
func withSuspectFlag(m *frame.Submit, suspect bool) *frame.Submit {
	if !suspect {
		return m
	}
	return m.WithSuspect()
}

// beginAttempt ends the current attempt of a keyed request and begins the next
// one on the upstream where the request may run.
func (k *keyedRequest) beginAttempt(ctx context.Context) error {
	k.endAttempt(false)
	k.upstream = k.reservation.Upstream()
	if k.Suspects == nil {
		return nil
	}
	attempt, err := k.Dispatcher.beginAttempt(ctx, k.reservation, k.request)
	if err != nil {
		return err
	}
	k.attempt, k.upstream = attempt, attempt.Upstream()
	return nil
}

// endAttempt ends the current attempt, if there is one.
func (k *keyedRequest) endAttempt(completed bool) {
	if k.attempt != nil {
		k.attempt.End(completed)
		k.attempt = nil
	}
}

// attemptContext returns a context that is also cancelled when the request of the
// current attempt is quarantined.
func (k *keyedRequest) attemptContext(ctx context.Context) context.Context {
	if k.attempt == nil {
		return ctx
	}
	return k.attempt.Context()
}
