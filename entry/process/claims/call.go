package claims

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
)

// resolveTimeout is how long a request waits for its claim. It covers the loss of a
// silent connection and the take-over of a shard; without it a request in flight
// at an agent that was killed had no answer until its caller's deadline.
const resolveTimeout = 10 * clock.Second

// Step tells what to do next with a keyed request.
type Step interface{ step() }

// Submit permits one submit with the grant as its claimKey, to the upstream
// named in Ask.
type Submit struct{ grant string }

// Grant returns the claim in text form.
func (s Submit) Grant() string { return s.grant }

// Stored carries the answer of an earlier sending.
type Stored struct{ response stored.Answer }

// Answer returns the stored answer.
func (s Stored) Answer() stored.Answer { return s.response }

// Refused ends the request.
type Refused struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the caller.
func (r Refused) Refusal() *outcome.Refusal { return r.refusal }

func (Submit) step()  {}
func (Stored) step()  {}
func (Refused) step() {}

// Call is one sending of a keyed request. It is for use by one goroutine.
type Call struct {
	service  *Service
	request  uint64
	key      claim.Key
	body     uint64
	deadline clock.Millis
	steps    chan Step
}

// Open starts a keyed request; Close must follow.
func (s *Service) Open(customer, key, method, path string, body []byte, deadline clock.Millis) *Call {
	s.lazyInit()
	return &Call{
		service:  s,
		request:  s.sequence.Add(1),
		key:      claim.KeyOf(customer, key),
		body:     claim.HashRequest(method, path, body),
		deadline: deadline,
		steps:    make(chan Step, 4),
	}
}

// Acquire claims the key for an upstream and waits for the next step.
func (c *Call) Acquire(ctx context.Context, upstream string, incarnation uint64) (Step, error) {
	c.put(claim.NewBegin(c.request, c.key, c.body, claim.NewUpstream(upstream, incarnation), c.deadline))
	return c.next(ctx)
}

// AgentRefused tells that the agent refused the submit as not run.
func (c *Call) AgentRefused() { c.put(claim.NewAgentRefused(c.request, false)) }

// Superseded tells that the agent refused the submit because the owner had
// asked it about the claim, and waits for the next step.
func (c *Call) Superseded(ctx context.Context) (Step, error) {
	c.put(claim.NewAgentRefused(c.request, true))
	return c.next(ctx)
}

// OutcomeUnknown tells that the submit may have run, and waits for the next step.
func (c *Call) OutcomeUnknown(ctx context.Context) (Step, error) {
	c.put(claim.NewOutcomeUnknown(c.request))
	return c.next(ctx)
}

// Abandoned tells that the request is not tried again, and waits for the refusal
// that is true for the key.
func (c *Call) Abandoned(ctx context.Context, r *outcome.Refusal) (Step, error) {
	c.put(claim.NewAbandoned(c.request, c.key, r))
	return c.next(ctx)
}

// Finished tells that the whole answer has arrived.
func (c *Call) Finished(a stored.Answer) { c.put(claim.NewFinished(c.request, a)) }

// Close ends the call; a claim that is still open is resolved when the key is
// sent again.
func (c *Call) Close() { c.service.put(callClosed{c.request}) }

func (c *Call) put(e claim.ClientEvent) { c.service.put(clientEvent{e, c}) }

// next waits for the next step. A claim whose agent is gone may stay unsettled
// until the agent returns, so the wait has a bound; the key can be sent again.
func (c *Call) next(ctx context.Context) (Step, error) {
	timer := time.NewTimer(resolveTimeout.Duration())
	defer timer.Stop()
	select {
	case step := <-c.steps:
		return step, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the claim")
	case <-c.service.done:
		return nil, outcome.Refuse(outcome.Stopping, outcome.Unknown, 0)
	case <-timer.C:
		return nil, outcome.Refuse(outcome.ClaimUnsettled, outcome.Unknown, int64(resolveTimeout))
	}
}
