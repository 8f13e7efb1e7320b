package forward

import (
	"context"
	"maps"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/config"
)

// Timeouts of one attempt.
const (
	// nonRetryableMaxIdle bounds how long a connection may have been idle before
	// it is reused for a request that must not be sent twice.
	nonRetryableMaxIdle clock.Millis = 400
	// defaultMaxIdle is long enough that the idle timeout which the upstream announces
	// decides whether a connection is reused.
	defaultMaxIdle = clock.Minute
	// headTimeoutFraction is the fraction of the remaining time after which a
	// retryable request without a response is sent to another upstream.
	headTimeoutFraction = 0.45
)

// attempt sends the request to the granted upstream. It reports whether the
// caller was sent a complete response.
func (c *call) attempt(ctx context.Context) bool {
	s := c.server
	id, address := c.ticket.Upstream()
	c.upstream = id
	c.interruption = interruption{}
	c.attemptEvents = 0
	if c.attempts == 0 {
		s.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) { b.RecordFirstSend(now, c.ticket) })
	}
	c.attempts++
	out := c.upstreamRequest(id)
	resp, err := s.Pool.Exchange(ctx, address, out)
	var outcome balance.Outcome
	done := false
	if err != nil {
		outcome = c.failExchange(err)
	} else {
		c.recordStatements(resp)
		outcome, done = c.handleResponse(resp)
		resp.Close()
	}
	if ctx.Err() != nil {
		outcome = balance.Abandoned
	}
	if outcome.IsFailure() {
		c.logFailure(err)
	}
	s.Scheduler.release(c.ticket, outcome) // has no effect if the response was complete before it was sent on
	if outcome.IsFailure() {
		c.detectCrash(ctx, address, err)
	}
	return done
}

// failExchange records why an attempt got no response.
func (c *call) failExchange(err error) balance.Outcome {
	if !errors.Is(err, upstream.ErrNotSent) {
		c.possibleRuns++
	}
	return c.fail(verdictOfError(err))
}

// fail records why an attempt has failed.
func (c *call) fail(v verdict) balance.Outcome {
	c.failure = v.cause
	return v.outcome
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
// slow upstream to another one. If so, it reserves the retry in the retry budget.
// possibleRuns includes the current attempt.
func (c *call) shouldFailOver(possibleRuns int) bool {
	r := c.request
	if !r.retryable() || possibleRuns >= r.route.MaxUpstreams || (c.responseStarted && !c.resumable()) {
		return false
	}
	failOver := false
	c.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) {
		failOver = b.ShouldFailOver(now, c.ticket) && b.Retry(now, c.ticket)
	})
	return failOver
}

// resumable reports whether another upstream may continue the stream: that is the case if
// the route allows it and the last event forwarded has an id to continue after.
func (c *call) resumable() bool {
	return c.request.route.Retry == config.Resumable && (c.events == 0 || c.lastEventID != "")
}

// handleResponse reads the response of an upstream and forwards it unless the
// request should be retried at another upstream. It reports whether the caller was
// sent a complete response.
func (c *call) handleResponse(resp *upstream.ResponseReader) (balance.Outcome, bool) {
	v := c.verdictOfHead(resp)
	switch v.outcome {
	case balance.Misdirected, balance.Unmet, balance.Refused:
		c.refusals++
		drainResponse(resp)
		return c.fail(v), false
	}
	c.possibleRuns++
	if v.outcome != balance.Succeeded {
		return c.fail(v), false
	}
	if c.request.route.Stream && resp.Status == http.StatusOK && mayBeEventStream(resp.Header) {
		return c.forwardStream(resp)
	}
	return c.forwardBuffered(resp)
}
