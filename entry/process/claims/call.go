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

// resolveTimeout is how long a request waits for its next step. It is long enough
// to detect an unresponsive connection and to move a shard to another entry.
// Without it, a request in flight at an agent that was killed received no
// response until its caller's deadline.
const resolveTimeout = 10 * clock.Second

// Step is the next action for a request with an idempotency key.
type Step interface{ step() }

// Submit permits submitting the request once, with the grant as its claimKey, to
// the upstream that was passed to Acquire.
type Submit struct{ grant string }

// Grant returns the grant in text form.
func (s Submit) Grant() string { return s.grant }

// Stored carries the stored response of an earlier run of the request.
type Stored struct{ response stored.Response }

// Response returns the stored response.
func (s Stored) Response() stored.Response { return s.response }

// Refused ends the request with a refusal.
type Refused struct{ refusal *outcome.Refusal }

// Refusal returns the refusal to send to the caller.
func (r Refused) Refusal() *outcome.Refusal { return r.refusal }

func (Submit) step()  {}
func (Stored) step()  {}
func (Refused) step() {}

// Call is a request with an idempotency key in progress at this entry. It is not
// safe for concurrent use.
type Call struct {
	service  *Service
	request  uint64
	key      claim.Key
	body     uint64 // hash of the request
	deadline clock.Millis
	steps    chan Step
}

// Open starts a request with an idempotency key. The caller of Open must call
// Close.
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

// Acquire claims the key for a run on an upstream, whose agent has the given
// incarnation, and waits for the next step.
func (c *Call) Acquire(ctx context.Context, upstream string, incarnation uint64) (Step, error) {
	c.put(claim.NewBegin(c.request, c.key, c.body, claim.NewUpstream(upstream, incarnation), c.deadline))
	return c.next(ctx)
}

// AgentRefused reports that the agent refused the request without running it.
// Acquire, Abandoned or Close follows.
func (c *Call) AgentRefused() { c.put(claim.NewAgentRefused(c.request, false)) }

// Superseded reports that the agent refused the request because the shard's
// owner had queried the grant before, and waits for the next step.
func (c *Call) Superseded(ctx context.Context) (Step, error) {
	c.put(claim.NewAgentRefused(c.request, true))
	return c.next(ctx)
}

// OutcomeUnknown reports that the submitted request may have run, and waits for
// the next step.
func (c *Call) OutcomeUnknown(ctx context.Context) (Step, error) {
	c.put(claim.NewOutcomeUnknown(c.request))
	return c.next(ctx)
}

// Abandoned reports that the request is not retried, and waits for the refusal
// for the caller. It may differ from r, because another attempt with the key may
// have run.
func (c *Call) Abandoned(ctx context.Context, r *outcome.Refusal) (Step, error) {
	c.put(claim.NewAbandoned(c.request, c.key, r))
	return c.next(ctx)
}

// Finished reports that the whole response was received.
func (c *Call) Finished(resp stored.Response) { c.put(claim.NewFinished(c.request, resp)) }

// Close ends the call. The outcome of an unresolved request is determined by
// querying the agent, at the latest when the key is sent again.
func (c *Call) Close() { c.service.put(callClosed{c.request}) }

func (c *Call) put(e claim.ClientEvent) { c.service.put(clientEvent{e, c}) }

// next waits for the next step, at most for resolveTimeout: the outcome of a
// request whose agent terminated may remain unresolved until the agent restarts.
// The caller can send the key again.
func (c *Call) next(ctx context.Context) (Step, error) {
	timer := time.NewTimer(resolveTimeout.Duration())
	defer timer.Stop()
	select {
	case step := <-c.steps:
		return step, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for the owner of the idempotency key")
	case <-c.service.done:
		return nil, outcome.Refuse(outcome.Stopping, outcome.Unknown, 0)
	case <-timer.C:
		return nil, outcome.Refuse(outcome.ClaimUnresolved, outcome.Unknown, int64(resolveTimeout))
	}
}
