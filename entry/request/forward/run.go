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

// Times of one request.
const (
	// answerMargin is what is kept of the deadline for the way of an answer.
	answerMargin clock.Millis = 40
	// longestWait bounds the time in the queue; callers of streams leave when
	// they receive nothing for two seconds.
	longestWait clock.Millis = 1500
	// onceMaxIdle is how long a connection may have been idle for a request
	// that must not be sent twice.
	onceMaxIdle clock.Millis = 400
	// silence is how long an upstream may send nothing of a stream.
	silence clock.Millis = 1700
	// headPart is the part of the time left after which an idempotent request
	// without an answer is sent to another upstream.
	headPart = 0.45
	// maxRefusals is how many refusals of upstreams a request is sent again after:
	// when two refuse, others are likely to.
	maxRefusals = 1
)

// run finds upstreams for a request until one has answered it.
func (s *Server) run(ctx context.Context, w http.ResponseWriter, q *http.Request, r *request) {
	t := s.ticket(r)
	c := &call{server: s, request: r, writer: w, ticket: t, lastEvent: r.lastEvent}
	for {
		d := s.Scheduler.acquire(ctx, t)
		granted := s.Clock.Now()
		switch d := d.(type) {
		case balance.Grant:
			c.waited = granted - r.arrived
			c.held, c.limit = d.InFlight, d.Limit
			s.Counters.queued(r.priority, c.waited)
			if ctx.Err() != nil { // the grant came as the caller left
				s.Scheduler.release(t, balance.Abandoned)
				c.ended(q, reasonDeadline)
				return
			}
		case balance.Reject:
			c.rejected(q, d)
			return
		default:
			c.ended(q, reasonDeadline)
			return
		}
		if c.attempt(ctx) {
			return
		}
		if ctx.Err() != nil {
			c.ended(q, reasonDeadline)
			return
		}
		if !c.mayRepeat() {
			c.ended(q, c.failure)
			return
		}
	}
}

func (s *Server) ticket(r *request) *balance.Ticket {
	due := r.arrived + r.route.Objective
	return &balance.Ticket{
		Service: r.service, Priority: r.priority, PromptTokens: r.prompt,
		Due: due, WaitDeadline: min(r.arrived+longestWait, r.deadline-answerMargin),
	}
}

// call is the state of a request over its attempts.
type call struct {
	server  *Server
	request *request
	writer  http.ResponseWriter
	ticket  *balance.Ticket

	// sends counts attempts, runs those that an upstream may have run.
	sends int
	runs  int
	// refusals counts attempts that an upstream refused.
	refusals int
	// failure is the reason of the last failed attempt.
	failure string
	// counted is set when the next repeat has been counted already.
	counted bool
	waited  clock.Millis
	held    int
	limit   int

	// started is set once the head of the answer has been written.
	started   bool
	status    int
	upstream  string
	lastEvent string
	events    int
	// eventAt is when the last event was passed on.
	eventAt clock.Millis
}

// mayRepeat decides whether a failed attempt is followed by another one.
func (c *call) mayRepeat() bool {
	r := c.request
	if c.runs > 0 && !r.repeatable() {
		return false
	}
	if c.started && r.route.Repeat != config.Resumable {
		return false
	}
	if c.runs >= max(r.route.MaxUpstreams, 1) || c.refusals > maxRefusals {
		return false
	}
	allowed := c.counted
	c.counted = false
	if !allowed {
		c.server.Scheduler.With(func(now clock.Millis, b *balance.Balancer) { allowed = b.Repeat(now, r.service) })
	}
	if !allowed {
		c.failure = reasonRetryBudget
		return false
	}
	what := event.RequestResent
	if c.started {
		what = event.RequestResumed
	}
	c.server.Counters.repeated(c.failure)
	c.server.Log.Emit(what, event.Fields{"request": r.id, "from": c.upstream, "cause": c.failure, "runs": c.runs, "refusals": c.refusals, "lastEvent": c.lastEvent})
	c.ticket.WaitDeadline = min(c.server.Clock.Now()+longestWait, r.deadline-answerMargin)
	return true
}

// attempt sends the request to the granted upstream. It reports whether the
// caller has the whole answer.
func (c *call) attempt(ctx context.Context) bool {
	s, r := c.server, c.request
	id, address := c.ticket.Upstream()
	c.upstream = id
	if c.sends == 0 {
		s.Scheduler.With(func(now clock.Millis, b *balance.Balancer) { b.RecordFirstSend(now, r.service) })
	}
	c.sends++
	out := c.outgoing(id)
	a, err := s.Pool.Exchange(ctx, address, out)
	outcome, done := balance.Failed, false
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		c.failure = "connect"
	case err != nil:
		c.runs++
		c.failure = "broken"
		if errors.Is(err, upstream.ErrStalled) {
			c.failure = "stalled"
		}
	default:
		outcome, done = c.take(a)
		a.Close()
	}
	if ctx.Err() != nil {
		outcome = balance.Abandoned
	}
	if outcome == balance.Failed {
		s.Log.Emit(event.UpstreamSkipped, event.Fields{"request": r.id, "upstream": id, "cause": c.failure, "error": text(err)})
	}
	s.Scheduler.release(c.ticket, outcome)
	return done
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// outgoing returns the request as the upstream receives it.
func (c *call) outgoing(id string) *upstream.Request {
	s, r := c.server, c.request
	out := r.outgoing
	out.Header = maps.Clone(r.outgoing.Header)
	left := r.deadline - s.Clock.Now()
	out.Header.Set(s.Headers.Deadline, strconv.FormatInt(max(int64(left), 1), 10))
	out.Header.Set(s.Headers.Target, id)
	if c.started && c.lastEvent != "" {
		out.Header.Set(s.Headers.LastEvent, c.lastEvent)
	}
	out.MaxIdle = defaultMaxIdle
	switch {
	case r.route.Stream:
		out.HeadTimeout = min(left, silence)
		out.Stalled = func() bool { return c.shouldMove(c.runs + 1) }
	case r.repeatable() && c.runs+1 < r.route.MaxUpstreams:
		out.HeadTimeout = clock.Millis(float64(left) * headPart)
	}
	if !r.repeatable() {
		out.MaxIdle = onceMaxIdle
	}
	return &out
}

// shouldMove tells whether the request is to be taken from its upstream and sent
// to another one, and counts the repeat if so. The number of runs includes the
// present one.
func (c *call) shouldMove(runs int) bool {
	r := c.request
	if !r.repeatable() || runs >= r.route.MaxUpstreams || (c.started && r.route.Repeat != config.Resumable) {
		return false
	}
	c.server.Scheduler.With(func(now clock.Millis, b *balance.Balancer) {
		c.counted = b.ShouldFailOver(now, c.ticket) && b.Repeat(now, r.service)
	})
	return c.counted
}

// defaultMaxIdle is no bound beyond what the upstream announces.
const defaultMaxIdle = clock.Minute

// take reads the answer of an upstream and passes it on unless another
// upstream should try.
func (c *call) take(a *upstream.Answer) (balance.Outcome, bool) {
	s, r := c.server, c.request
	signed := a.Header.Get(s.Headers.Signature) != ""
	switch {
	case a.Status == http.StatusMisdirectedRequest || a.Header.Get(s.Headers.NotRun) != "":
		c.refusals++
		c.failure = "refused" + strconv.Itoa(a.Status)
		drain(a)
		return balance.Refused, false
	case a.Header.Get("Content-Encoding") != "":
		c.runs++
		c.failure = "encoded"
		return balance.Failed, false
	case a.Status >= 200 && a.Status < 300 && !signed:
		c.runs++
		c.failure = "unsigned"
		return balance.Failed, false
	}
	c.runs++
	if r.route.Stream && a.Status == http.StatusOK {
		return c.stream(a)
	}
	return c.whole(a)
}

// rejected answers a request for which no upstream was found.
func (c *call) rejected(q *http.Request, d balance.Reject) {
	fields := event.Fields{"queued": d.Queued, "usable": d.Usable, "runs": c.runs, "cause": c.failure}
	if c.runs > 0 {
		c.finish(q, &refusal{status: http.StatusBadGateway, reason: string(d.Reason), fields: fields})
		return
	}
	c.finish(q, &refusal{status: http.StatusServiceUnavailable, reason: string(d.Reason), retryAfter: d.RetryAfter, fields: fields})
}

// ended answers a request that is not tried any further.
func (c *call) ended(q *http.Request, reason string) {
	f := &refusal{status: http.StatusServiceUnavailable, reason: reason, retryAfter: startRetry, fields: event.Fields{"upstream": c.upstream, "cause": c.failure, "sends": c.sends}}
	switch {
	case c.runs > 0 && reason == reasonDeadline:
		f.status = http.StatusGatewayTimeout
	case c.runs > 0:
		f.status = http.StatusBadGateway
	}
	c.finish(q, f)
}

// finish writes a refusal, or breaks the answer off when it has begun or the
// caller has left.
func (c *call) finish(q *http.Request, f *refusal) {
	s, r := c.server, c.request
	if q.Context().Err() != nil {
		s.Counters.outcome("left")
		s.Log.Emit(event.RequestLeft, event.Fields{"request": r.id, "ms": s.Clock.Now() - r.arrived, "upstream": c.upstream, "events": c.events})
		panic(http.ErrAbortHandler)
	}
	if !c.started {
		s.refuse(c.writer, r, f)
		return
	}
	s.Counters.outcome("aborted")
	s.Log.Emit(event.AnswerAborted, event.Fields{"request": r.id, "ms": s.Clock.Now() - r.arrived, "upstream": c.upstream, "events": c.events, "cause": f.reason, "failure": c.failure, "lastEvent": c.lastEvent})
	// Ends the connection without the terminator of the body, so that the
	// caller sees that the answer is not whole.
	panic(http.ErrAbortHandler)
}

func (c *call) answered() {
	s, r := c.server, c.request
	total := s.Clock.Now() - r.arrived
	s.Counters.outcome("answered")
	s.Log.Emit(event.RequestAnswered, event.Fields{
		"request": r.id, "route": r.routeName(), "status": c.status, "upstream": c.upstream, "ms": total,
		"waitedMs": c.waited, "held": c.held, "limit": c.limit, "sends": c.sends, "events": c.events, "config": r.version,
	})
}
