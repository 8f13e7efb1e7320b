package forward

import (
	"context"
	"net/http"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/request/balance"
)

// Limits of one request.
const (
	// responseMargin is the part of the deadline reserved for sending the
	// response.
	responseMargin clock.Millis = 40
	// maxQueueWait bounds the time in the queue. Callers of streams disconnect
	// when they receive nothing for two seconds.
	maxQueueWait clock.Millis = 1500
	// maxRefusals is the number of refusals by upstreams after which a request is
	// still retried. When two upstreams refuse, others are likely to refuse as
	// well.
	maxRefusals = 1
)

// forwardRequest sends a request to one upstream after another until one has
// responded or no further attempt is allowed.
func (s *Server) forwardRequest(ctx context.Context, w http.ResponseWriter, q *http.Request, r *request) {
	t := s.ticket(r)
	c := &call{server: s, request: r, writer: w, ticket: t, lastEventID: r.lastEventID, closeUnread: func() { http1.CloseUnread(q.Context()) }}
	defer s.Scheduler.finish(t)
	for {
		d := s.Scheduler.acquire(ctx, t)
		grantedAt := s.Clock.Now()
		switch d := d.(type) {
		case balance.Grant:
			c.queueWait = grantedAt - r.arrived
			c.inFlight, c.inFlightLimit = d.InFlight, d.Limit
			s.Metrics.recordQueueWait(r.priority, c.queueWait)
			if s.endCause(ctx) != nil { // the request ended as the upstream was granted
				s.Scheduler.release(t, balance.Abandoned)
				c.respondStopped(ctx, q)
				return
			}
		case balance.Reject:
			c.respondRejected(q, d)
			return
		default:
			c.respondStopped(ctx, q)
			return
		}
		if c.attempt(ctx) {
			return
		}
		if ctx.Err() != nil {
			c.respondStopped(ctx, q)
			return
		}
		if !c.mayRetry() {
			c.respondFailed(q, c.failureReason())
			return
		}
	}
}

func (s *Server) ticket(r *request) *balance.Ticket {
	due := r.arrived + r.route.Objective
	return &balance.Ticket{
		Service: r.service, Customer: r.customer, Priority: r.priority, PromptTokens: r.promptTokens,
		Due: due, WaitDeadline: min(r.arrived+maxQueueWait, r.deadline-responseMargin),
	}
}

// call is the state of a request across its attempts.
type call struct {
	server  *Server
	request *request
	writer  http.ResponseWriter
	ticket  *balance.Ticket
	// closeUnread closes the caller's connection, because it has not read its response in time.
	closeUnread func()

	// attempts is the number of attempts, possibleRuns the number of those that
	// an upstream may have run.
	attempts     int
	possibleRuns int
	// refusals is the number of attempts that an upstream refused.
	refusals int
	// failure is the cause of the last failed attempt.
	failure string
	// interruption describes how the response of the last attempt broke off; its
	// framing is empty if none did.
	interruption interruption
	// budgetExhausted is set when the retry budget did not allow a retry, and
	// retryBudget is the state of the budget at the last decision.
	budgetExhausted bool
	retryBudget     balance.RetryBudget
	queueWait       clock.Millis
	inFlight        int
	inFlightLimit   int

	// responseStarted is set once the head of the response is being written.
	responseStarted bool
	status          int
	upstream        string
	lastEventID     string
	// events is the number of events forwarded, attemptEvents those of the current
	// attempt.
	events        int
	attemptEvents int
	// lastEventAt is when the last event was forwarded.
	lastEventAt clock.Millis
}

// mayRetry reports whether another attempt may follow a failed one. If so, it
// reserves the retry in the retry budget and sets a new queue timeout.
func (c *call) mayRetry() bool {
	r := c.request
	if c.possibleRuns > 0 && !r.retryable() {
		return false
	}
	if c.responseStarted && !c.resumable() {
		return false
	}
	if c.possibleRuns >= max(r.route.MaxUpstreams, 1) || c.refusals > maxRefusals {
		return false
	}
	if !c.reserveRetry() {
		return false
	}
	eventKind := event.RequestResent
	if c.responseStarted {
		eventKind = event.StreamFailedOver
	}
	c.server.Metrics.countRetry(c.failure)
	fields := event.Fields{"request": r.id, "from": c.upstream, "cause": c.failure, "runs": c.possibleRuns, "refusals": c.refusals, "lastEvent": c.lastEventID}
	c.addBudgetTo(fields)
	c.server.Log.Emit(eventKind, fields)
	c.ticket.WaitDeadline = min(c.server.Clock.Now()+maxQueueWait, r.deadline-responseMargin)
	return true
}

// reserveRetry reserves a retry in the retry budget and reports whether the budget allows
// it.
func (c *call) reserveRetry() bool {
	c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) {
		c.budgetExhausted = !b.Retry(now, c.ticket)
		c.retryBudget = b.RetryBudgetFor(now, c.ticket)
	})
	return !c.budgetExhausted
}

// addBudgetTo adds what the last decision on a retry was based on to the fields of a log
// line.
func (c *call) addBudgetTo(fields event.Fields) {
	fields["retries"], fields["retriesAllowed"], fields["entries"] = c.retryBudget.Used, c.retryBudget.Allowed, c.retryBudget.Entries
	fields["customerRetries"], fields["customerRetriesAllowed"] = c.retryBudget.Customer.Used, c.retryBudget.Customer.Allowed
}

// failureReason returns why a request that is not attempted again has failed.
func (c *call) failureReason() string {
	if c.budgetExhausted {
		return reasonRetryBudget
	}
	return c.failure
}
