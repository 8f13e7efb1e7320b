package forward

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/process/quarantines"
	"goldcrestshore/entry/request/balance"
)

// respondRejected responds to a request for which no upstream was granted.
func (c *call) respondRejected(q *http.Request, d balance.Reject) {
	fields := event.Fields{"queued": d.Queued, "usable": d.Usable, "runs": c.possibleRuns, "cause": c.failure}
	if c.possibleRuns > 0 {
		c.refuseOrAbort(q, &refusal{status: http.StatusBadGateway, reason: string(d.Reason), fields: fields})
		return
	}
	c.refuseOrAbort(q, &refusal{status: http.StatusServiceUnavailable, reason: string(d.Reason), retryAfter: d.RetryAfter, fields: fields})
}

// respondStopped responds to a request whose context has ended.
func (c *call) respondStopped(ctx context.Context, q *http.Request) {
	reason := reasonDeadlinePassed
	switch cause := c.server.endCause(ctx); {
	case errors.Is(cause, quarantines.ErrQuarantined):
		reason = reasonQuarantined
	case errors.Is(cause, errStopped):
		reason = reasonStopping
	}
	c.respondFailed(q, reason)
}

// respondFailed responds to a request that is not attempted again.
func (c *call) respondFailed(q *http.Request, reason string) {
	var retryAfter clock.Millis
	switch reason {
	case reasonQuarantined:
		retryAfter = c.server.Quarantine.Remaining(c.request.quarantine)
	case reasonStopping: // other entries are free at once
	default:
		c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { retryAfter = b.RetryAfter(now, c.request.service) })
	}
	f := &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, fields: event.Fields{"upstream": c.upstream, "cause": c.failure, "sends": c.attempts}}
	if c.budgetExhausted {
		c.addBudgetTo(f.fields)
	}
	switch {
	case c.possibleRuns > 0 && reason == reasonDeadlinePassed:
		f.status = http.StatusGatewayTimeout
	case c.possibleRuns > 0:
		f.status = http.StatusBadGateway
	}
	c.refuseOrAbort(q, f)
}

// refuseOrAbort writes a refusal. If the response has already started or the
// caller has disconnected, it aborts the connection instead.
func (c *call) refuseOrAbort(q *http.Request, f *refusal) {
	s, r := c.server, c.request
	if q.Context().Err() != nil {
		s.Metrics.countOutcome("left")
		s.Log.Emit(event.RequestCancelled, event.Fields{"request": r.id, "ms": s.Clock.Now() - r.arrived, "upstream": c.upstream, "events": c.events})
		http1.Abort(c.writer, q)
	}
	if !c.responseStarted {
		s.refuse(c.writer, q, r, f)
		return
	}
	s.Metrics.countOutcome("aborted")
	s.Log.Emit(event.ResponseAborted, event.Fields{"request": r.id, "ms": s.Clock.Now() - r.arrived, "upstream": c.upstream, "events": c.events, "cause": f.reason, "failure": c.failure, "lastEvent": c.lastEventID})
	http1.Abort(c.writer, q)
}

// recordResponse counts and logs a request whose response was forwarded.
func (c *call) recordResponse() {
	s, r := c.server, c.request
	total := s.Clock.Now() - r.arrived
	s.Metrics.countOutcome("answered")
	fields := event.Fields{
		"request": r.id, "route": r.routeName(), "customer": r.customer, "status": c.status, "upstream": c.upstream, "ms": total,
		"waitedMs": c.queueWait, "held": c.inFlight, "limit": c.inFlightLimit, "sends": c.attempts, "events": c.events, "config": r.configVersion,
	}
	c.interruption.addTo(fields)
	s.Log.Emit(event.RequestCompleted, fields)
}
