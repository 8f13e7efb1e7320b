package forward

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/http1"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/process/quarantines"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/config"
)

// Timeouts and limits of one request.
const (
	// responseMargin is the part of the deadline reserved for sending the
	// response.
	responseMargin clock.Millis = 40
	// maxQueueWait bounds the time in the queue. Callers of streams disconnect
	// when they receive nothing for two seconds.
	maxQueueWait clock.Millis = 1500
	// nonRetryableMaxIdle bounds how long a connection may have been idle before
	// it is reused for a request that must not be sent twice.
	nonRetryableMaxIdle clock.Millis = 400
	// minStreamPatience, patienceObjectives and patienceGaps give how long callers wait
	// for the next event of a stream: the longest of a fixed time and multiples of the
	// route's objectives for the first event and for the gap between events.
	minStreamPatience  = 2 * clock.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// patienceMargin is the part of that time in which another upstream may resume the
	// stream.
	patienceMargin clock.Millis = 300
	// headTimeoutFraction is the fraction of the remaining time after which a
	// retryable request without a response is sent to another upstream.
	headTimeoutFraction = 0.45
	// maxRefusals is the number of refusals by upstreams after which a request is
	// still retried. When two upstreams refuse, others are likely to refuse as
	// well.
	maxRefusals = 1
)

// streamIdleTimeout returns how long an upstream may take to send the head of a stream
// or the next event of it.
func streamIdleTimeout(r *config.Route) clock.Millis {
	return max(minStreamPatience, patienceObjectives*r.Objective, patienceGaps*r.EventGapObjective) - patienceMargin
}

// forwardRequest sends a request to one upstream after another until one has
// responded or no further attempt is allowed.
func (s *Server) forwardRequest(ctx context.Context, w http.ResponseWriter, q *http.Request, r *request) {
	t := s.ticket(r)
	c := &call{server: s, request: r, writer: w, ticket: t, lastEventID: r.lastEventID}
	for {
		d := s.Scheduler.acquire(ctx, t)
		grantedAt := s.Clock.Now()
		switch d := d.(type) {
		case balance.Grant:
			c.queueWait = grantedAt - r.arrived
			c.inFlight, c.inFlightLimit = d.InFlight, d.Limit
			s.Metrics.recordQueueWait(r.priority, c.queueWait)
			if ctx.Err() != nil { // the context ended as the upstream was granted
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
			c.respondFailed(q, c.failure)
			return
		}
	}
}

func (s *Server) ticket(r *request) *balance.Ticket {
	due := r.arrived + r.route.Objective
	return &balance.Ticket{
		Service: r.service, Priority: r.priority, PromptTokens: r.promptTokens,
		Due: due, WaitDeadline: min(r.arrived+maxQueueWait, r.deadline-responseMargin),
	}
}

// call is the state of a request across its attempts.
type call struct {
	server  *Server
	request *request
	writer  http.ResponseWriter
	ticket  *balance.Ticket

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
	// retryCounted is set when the next retry is already counted against the
	// retry budget.
	retryCounted  bool
	queueWait     clock.Millis
	inFlight      int
	inFlightLimit int

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
// counts the retry against the retry budget and sets a new queue timeout.
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
	allowed := c.retryCounted
	c.retryCounted = false
	if !allowed {
		c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { allowed = b.Retry(now, r.service) })
	}
	if !allowed {
		c.failure = reasonRetryBudget
		return false
	}
	eventKind := event.RequestResent
	if c.responseStarted {
		eventKind = event.StreamFailedOver
	}
	c.server.Metrics.countRetry(c.failure)
	c.server.Log.Emit(eventKind, event.Fields{"request": r.id, "from": c.upstream, "cause": c.failure, "runs": c.possibleRuns, "refusals": c.refusals, "lastEvent": c.lastEventID})
	c.ticket.WaitDeadline = min(c.server.Clock.Now()+maxQueueWait, r.deadline-responseMargin)
	return true
}

// attempt sends the request to the granted upstream. It reports whether the
// caller was sent a complete response.
func (c *call) attempt(ctx context.Context) bool {
	s, r := c.server, c.request
	id, address := c.ticket.Upstream()
	c.upstream = id
	c.interruption = interruption{}
	c.attemptEvents = 0
	if c.attempts == 0 {
		s.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { b.RecordFirstSend(now, r.service) })
	}
	c.attempts++
	out := c.upstreamRequest(id)
	resp, err := s.Pool.Exchange(ctx, address, out)
	outcome, done := balance.Failed, false
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		c.failure = "connect"
	case err != nil:
		c.possibleRuns++
		c.failure = "broken"
		if errors.Is(err, upstream.ErrStalled) {
			c.failure = "stalled"
		}
	default:
		outcome, done = c.handleResponse(resp)
		resp.Close()
	}
	if ctx.Err() != nil {
		outcome = balance.Abandoned
	}
	if outcome == balance.Failed {
		c.logFailure(err)
	}
	s.Scheduler.release(c.ticket, outcome)
	if outcome == balance.Failed {
		c.detectCrash(ctx, address, err)
	}
	return done
}

// logFailure logs an attempt that the upstream failed. err is the error of the exchange,
// nil if a response has begun.
func (c *call) logFailure(err error) {
	fields := event.Fields{"request": c.request.id, "upstream": c.upstream, "cause": c.failure, "error": errorText(err), "events": c.events}
	c.interruption.addTo(fields)
	c.server.Log.Emit(event.UpstreamSkipped, fields)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// upstreamRequest returns the request for the upstream with the given id.
func (c *call) upstreamRequest(id string) *upstream.Request {
	s, r := c.server, c.request
	out := r.upstreamRequest
	out.Header = maps.Clone(r.upstreamRequest.Header)
	remaining := r.deadline - s.Clock.Now()
	out.Header.Set(s.Headers.Deadline, strconv.FormatInt(max(int64(remaining), 1), 10))
	out.Header.Set(s.Headers.Target, id)
	if c.responseStarted && c.lastEventID != "" {
		out.Header.Set(s.Headers.LastEventID, c.lastEventID)
	}
	out.MaxIdleTime = defaultMaxIdle
	switch {
	case r.route.Stream:
		out.HeadTimeout = min(remaining, streamIdleTimeout(r.route))
		out.ShouldFailOver = func() bool { return c.shouldFailOver(c.possibleRuns + 1) }
	case r.retryable() && c.possibleRuns+1 < r.route.MaxUpstreams:
		out.HeadTimeout = clock.Millis(float64(remaining) * headTimeoutFraction)
	}
	if !r.retryable() {
		out.MaxIdleTime = nonRetryableMaxIdle
	}
	return &out
}

// shouldFailOver reports whether the request should be moved from a stalled or
// slow upstream to another one. If so, it counts the retry against the retry
// budget. possibleRuns includes the current attempt.
func (c *call) shouldFailOver(possibleRuns int) bool {
	r := c.request
	if !r.retryable() || possibleRuns >= r.route.MaxUpstreams || (c.responseStarted && !c.resumable()) {
		return false
	}
	c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) {
		c.retryCounted = b.ShouldFailOver(now, c.ticket) && b.Retry(now, r.service)
	})
	return c.retryCounted
}

// resumable reports whether another upstream may continue the stream: that is the case if
// the route allows it and the last event forwarded has an id to continue after.
func (c *call) resumable() bool {
	return c.request.route.Retry == config.Resumable && (c.events == 0 || c.lastEventID != "")
}

// defaultMaxIdle is long enough that the idle timeout which the upstream announces
// decides whether a connection is reused.
const defaultMaxIdle = clock.Minute

// handleResponse reads the response of an upstream and forwards it unless the
// request should be retried at another upstream. It reports whether the caller was
// sent a complete response.
func (c *call) handleResponse(resp *upstream.ResponseReader) (balance.Outcome, bool) {
	s, r := c.server, c.request
	signed := resp.Header.Get(s.Headers.Signature) != ""
	switch {
	case resp.Status == http.StatusMisdirectedRequest:
		c.refusals++
		c.failure = "refused421"
		drainResponse(resp)
		return balance.Misdirected, false
	case resp.Header.Get(s.Headers.NotRun) != "":
		c.refusals++
		c.failure = "refused" + strconv.Itoa(resp.Status)
		drainResponse(resp)
		return balance.Refused, false
	case resp.Header.Get("Content-Encoding") != "":
		c.possibleRuns++
		c.failure = "encoded"
		return balance.Failed, false
	case resp.Status >= 200 && resp.Status < 300 && !signed:
		c.possibleRuns++
		c.failure = "unsigned"
		return balance.Failed, false
	}
	c.possibleRuns++
	if r.route.Stream && resp.Status == http.StatusOK && mayBeEventStream(resp.Header) {
		return c.forwardStream(resp)
	}
	return c.forwardBuffered(resp)
}

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
	if errors.Is(context.Cause(ctx), quarantines.ErrQuarantined) {
		reason = reasonQuarantined
	}
	c.respondFailed(q, reason)
}

// respondFailed responds to a request that is not attempted again.
func (c *call) respondFailed(q *http.Request, reason string) {
	var retryAfter clock.Millis
	if reason == reasonQuarantined {
		retryAfter = c.server.Quarantine.Remaining(c.request.fingerprints)
	} else {
		c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { retryAfter = b.RetryAfter(now, c.request.service) })
	}
	f := &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, fields: event.Fields{"upstream": c.upstream, "cause": c.failure, "sends": c.attempts}}
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
		s.refuse(c.writer, r, f)
		return
	}
	s.Metrics.countOutcome("aborted")
	s.Log.Emit(event.ResponseAborted, event.Fields{"request": r.id, "ms": s.Clock.Now() - r.arrived, "upstream": c.upstream, "events": c.events, "cause": f.reason, "failure": c.failure, "lastEvent": c.lastEventID})
	http1.Abort(c.writer, q)
}

// recordResponse counts and logs a request whose response was forwarded.
func (c *call) recordResponse() {
	s, r := c.server, c.request
	c.recordSound()
	total := s.Clock.Now() - r.arrived
	s.Metrics.countOutcome("answered")
	fields := event.Fields{
		"request": r.id, "route": r.routeName(), "status": c.status, "upstream": c.upstream, "ms": total,
		"waitedMs": c.queueWait, "held": c.inFlight, "limit": c.inFlightLimit, "sends": c.attempts, "events": c.events, "config": r.configVersion,
	}
	c.interruption.addTo(fields)
	s.Log.Emit(event.RequestCompleted, fields)
}
