package dispatch

import (
	"context"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/retry"
)

// checkedAttempt runs the request once if it may run, on the upstream that the
// check of suspects allows, and returns that upstream's link.
func (d *Dispatcher) checkedAttempt(ctx context.Context, l *agent.Link, r *caller.Request, a *caller.Answer, state retry.Request, tried map[string]bool) (*agent.Link, error) {
	if d.Suspects == nil {
		tried[l.Name] = true
		return l, d.attempt(ctx, l, r, a, false)
	}
	l, sending, err := d.check(ctx, l, r, tried)
	if err != nil {
		return l, afterStart(outcome.As(err), state)
	}
	tried[l.Name] = true
	err = d.attempt(sending.Context(), l, r, a, sending.Suspect())
	sending.End(err == nil)
	return l, quarantined(sending, err)
}

// check asks where the request may run. Its error is a refusal that speaks of
// this attempt alone. The link is never nil.
func (d *Dispatcher) check(ctx context.Context, l *agent.Link, r *caller.Request, tried map[string]bool) (*agent.Link, *suspects.Sending, error) {
	service := r.Service().Name()
	print := fingerprint.Of(r.Customer().Name(), r.Call().Body())
	sending, err := d.Suspects.Begin(ctx, print, service, l.Name)
	if err != nil {
		return l, nil, err
	}
	if sending.Upstream() == l.Name {
		return l, sending, nil
	}
	only := d.Pool.Named(sending.Upstream(), service)
	if only == nil || tried[only.Name] {
		sending.End(false)
		return l, nil, outcome.Refuse(outcome.NoUpstream, outcome.NotRun, int64(clock.Second))
	}
	return only, sending, nil
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
func (c *claimed) check(ctx context.Context, tried map[string]bool) error {
	if c.Suspects == nil {
		return nil
	}
	c.endSending(false)
	var err error
	c.link, c.sending, err = c.Dispatcher.check(ctx, c.link, c.request, tried)
	return err
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
