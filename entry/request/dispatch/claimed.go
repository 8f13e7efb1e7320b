package dispatch

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/connection/agent"
	"goldcrestshore/entry/process/claims"
	"goldcrestshore/entry/process/suspects"
	"goldcrestshore/entry/request/caller"
	"goldcrestshore/entry/request/claim"
	"goldcrestshore/entry/request/retry"
)

// maxCapturedBytes is the largest answer that the claim log stores.
const maxCapturedBytes = 4 << 10

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
	link    *agent.Link
	sending *suspects.Sending // nil without a check of suspects
	state   retry.Request
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
	defer c.endSending(false)
	tried := map[string]bool{}
	step, err := c.begin(ctx, available, tried)
	for err == nil {
		switch s := step.(type) {
		case claims.Stored:
			return c.deliver(s.Answer())
		case claims.Refused:
			return s.Refusal()
		case claims.Submit:
			tried[c.link.Name] = true
			failed := c.submitOnce(ctx, s.Grant())
			if failed == nil {
				return nil
			}
			step, err = c.recover(ctx, failed, tried)
		}
	}
	if ctx.Err() != nil {
		// Another sending of the key may have run.
		return errors.Wrapf(outcome.Refuse(outcome.DeadlineExceeded, outcome.Unknown, 0), "%v", err)
	}
	return err
}

func (c *claimed) begin(ctx context.Context, available bool, tried map[string]bool) (claims.Step, error) {
	if !available {
		return c.call.GaveUp(ctx, unavailable(c.Pool.View(), c.request.Service().Name()))
	}
	return c.ask(ctx, tried)
}

// ask chooses an upstream and claims the key for it.
func (c *claimed) ask(ctx context.Context, tried map[string]bool) (claims.Step, error) {
	c.link = c.Pool.Choose(c.request.Service().Name(), tried)
	if c.link == nil {
		return c.call.GaveUp(ctx, outcome.Refuse(outcome.NoUpstream, outcome.NotRun, 1000))
	}
	// The owner turns the refusal of this sending into one that is true for the key.
	if err := c.check(ctx, tried); err != nil {
		return c.call.GaveUp(ctx, outcome.As(err))
	}
	return c.call.Ask(ctx, c.link.Name, c.link.Incarnation())
}

// submitOnce submits the request under a grant and reports the answer.
func (c *claimed) submitOnce(ctx context.Context, grant string) error {
	id := frame.NewID(c.Incarnation, c.sequence.Add(1))
	ctx = c.sendingContext(ctx)
	e, err := c.link.Submit(id, marked(c.submit(c.request, grant), c.sending != nil && c.sending.Suspect()))
	if err != nil {
		return &attemptError{retry.LostBeforeSubmit, outcome.NoUpstream, 0}
	}
	defer e.Close()
	captured := &capture{Answer: c.answer}
	if err := copyAnswer(ctx, e, captured); err != nil {
		return quarantined(c.sending, err)
	}
	c.endSending(true)
	c.call.Finished(captured.stored())
	return nil
}

// recover decides what follows an attempt without a whole answer.
func (c *claimed) recover(ctx context.Context, err error, tried map[string]bool) (claims.Step, error) {
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
		return c.call.AgentLost(ctx)
	}
	c.call.AgentRefused()
	switch next := c.decide(failed.event(c.state, c.request.Deadline()-c.Clock.Now())).(type) {
	case retry.Again:
		c.state = next.Request()
		return c.ask(ctx, tried)
	case retry.GiveUp:
		return c.call.GaveUp(ctx, next.Refusal())
	}
	return nil, err
}

// deliver gives the caller the answer of an earlier sending.
func (c *claimed) deliver(a claim.Answer) error {
	var header []frame.Field
	for _, f := range a.Header() {
		header = append(header, frame.NewField(f.Name(), f.Value()))
	}
	c.answer.Head(a.Status(), header)
	if err := c.answer.Write(a.Body()); err != nil {
		return errors.Wrap(err, "write to caller")
	}
	return errors.Wrap(c.answer.Finish(), "write to caller")
}

// capture keeps a small answer while it passes to the caller.
type capture struct {
	*caller.Answer
	status int
	header []frame.Field
	body   []byte
	large  bool
}

// Head keeps the head and passes it on.
func (c *capture) Head(status int, header []frame.Field) {
	c.status, c.header, c.body, c.large = status, header, nil, false
	c.Answer.Head(status, header)
}

// Write keeps p if the answer is small and passes it on.
func (c *capture) Write(p []byte) error {
	c.large = c.large || len(c.body)+len(p) > maxCapturedBytes
	if !c.large {
		c.body = append(c.body, p...)
	}
	return c.Answer.Write(p)
}

// stored returns what was kept; its status is 0 if the answer was too large.
func (c *capture) stored() claim.Answer {
	if c.large {
		return claim.Answer{}
	}
	var header []claim.Field
	for _, f := range c.header {
		header = append(header, claim.NewField(f.Name(), f.Value()))
	}
	return claim.NewAnswer(c.status, header, c.body)
}
