package forward

import (
	"context"
	"hash/fnv"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/body"
	"goldcrestshore/entry/request/quarantine"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// Reasons for which the entry itself refuses a request.
const (
	reasonConfigUnknown  = "configurationUnknown"
	reasonConfigOutdated = "configurationOutdated"
	reasonNoRoute        = "noRoute"
	reasonUnknownKey     = "unknownKey"
	reasonHeadTooLarge   = "headTooLarge"
	reasonBodyTooLarge   = "bodyTooLarge"
	reasonBodyIncomplete = "bodyIncomplete"
	reasonBodyLate       = "bodyLate"
	reasonBodiesFull     = "bodiesFull"
	reasonDeadlinePassed = "deadlinePassed"
	reasonRetryBudget    = "retryBudget"
	reasonUpstreamFailed = "upstreamFailed"
	reasonQuarantined    = "quarantined"
	reasonStopping       = "stopping"
)

// bodyMemoryRetryAfter is the Retry-After of a request refused because the bodies
// of all requests exceed their memory limit.
const bodyMemoryRetryAfter = clock.Second

// defaultRetryAfter is the Retry-After of refusals with another cause that passes
// soon, such as an entry that has just started and has no configuration yet.
const defaultRetryAfter clock.Millis = 500

// defaultTimeout applies to a request without a deadline on a route without a
// timeout.
const defaultTimeout = 30 * clock.Second

// request is a request received from a caller. A caller that retries sends a
// new one.
type request struct {
	id            string
	arrived       clock.Millis
	deadline      clock.Millis
	configVersion int64
	route         *config.Route
	service       string
	priority      int
	// customer is the name of the customer, empty for a request without a key.
	customer string
	// hasPrecondition is set if the caller states what it expects of the upstream.
	hasPrecondition bool
	promptTokens    int
	// quarantine identifies the request and what other requests may share with it.
	quarantine quarantine.Request
	// lastEventID is the id of the last event that the caller received.
	lastEventID string
	// upstreamRequest is the request that upstreams receive, without the headers
	// that each attempt sets.
	upstreamRequest upstream.Request
	// body holds the body. It is nil until the body is read.
	body *body.Buffer
}

// releaseBody releases the memory of the body.
func (r *request) releaseBody() {
	if r.body != nil {
		r.body.Release()
	}
}

func (r *request) routeName() string {
	if r.route == nil {
		return ""
	}
	return r.route.Name
}

// retryable reports whether more than one upstream may run the request.
func (r *request) retryable() bool { return r.route.Retry != config.AtMostOnce }

// accept checks a request against the current configuration and reads its body.
// It returns the request in any case, with a refusal if it is not accepted.
func (s *Server) accept(w http.ResponseWriter, q *http.Request) (*request, *refusal) {
	r := &request{id: q.Header.Get(s.Headers.RequestID), arrived: s.Clock.Now()}
	view := s.syncedView(q.Context())
	cfg := view.Config()
	if !view.Complete() {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: reasonConfigUnknown, retryAfter: defaultRetryAfter}
	}
	r.configVersion = cfg.Version()
	target := q.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = q.URL.RequestURI()
	}
	path, _, _ := strings.Cut(target, "?")
	r.route = cfg.Match(q.Host, path)
	if r.route == nil {
		refused := s.unknownRefusal(http.StatusNotFound, reasonNoRoute)
		refused.fields = event.Fields{"host": q.Host, "path": path}
		return r, refused
	}
	customer := cfg.Customer(q.Header.Get(s.Headers.Key))
	if customer == nil && cfg.RequiresKey() && !r.route.Anonymous {
		return r, s.unknownRefusal(http.StatusUnauthorized, reasonUnknownKey)
	}
	if headSize(q) > cfg.Limits().MaxHeaderBytes {
		return r, &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: reasonHeadTooLarge}
	}
	r.deadline = r.arrived + deadline(q.Header.Get(s.Headers.Deadline), r.route.Timeout)
	if refused := s.readBody(w, q, r, cfg.Limits().MaxBodyBytes); refused != nil {
		return r, refused
	}
	if s.mayBeCut(r) {
		return r, &refusal{status: http.StatusServiceUnavailable, reason: reasonStopping} // other entries are free at once
	}
	s.prepareUpstreamRequest(r, q, cfg, customer, target)
	if s.Quarantine != nil {
		if remaining, blocked := s.Quarantine.Arrived(r.quarantine); blocked {
			return r, &refusal{status: http.StatusServiceUnavailable, reason: reasonQuarantined, retryAfter: remaining}
		}
	}
	return r, nil
}

// syncedView returns the view to serve a request by. Once the view is complete it waits until it
// has what other entries know: the store may be older.
func (s *Server) syncedView(ctx context.Context) *fleet.View {
	if view := s.State.View(); s.Synced == nil || !view.Complete() {
		return view
	}
	select {
	case <-s.Synced:
	case <-ctx.Done():
	}
	return s.State.View()
}

// unknownRefusal returns the refusal of a request that the current configuration
// does not allow. If the configuration may be outdated, it returns a temporary
// refusal instead, since a newer configuration may allow the request.
func (s *Server) unknownRefusal(status int, reason string) *refusal {
	if !s.Current(s.Clock.Now()) {
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonConfigOutdated, retryAfter: defaultRetryAfter}
	}
	return &refusal{status: status, reason: reason}
}

// headSize returns the size of a request head in bytes. It is at most what the caller has sent: spaces
// around values are not part of them, and need not have been there.
func headSize(q *http.Request) int {
	n := len(q.Method) + len(q.RequestURI) + len(q.Host)
	for name, values := range q.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}

// readBody reads the body of a request, at most until its deadline.
func (s *Server) readBody(w http.ResponseWriter, q *http.Request, r *request, limit int64) *refusal {
	if q.ContentLength > limit {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add((r.deadline - s.Clock.Now()).Duration())) // only response writers of tests have no deadlines
	r.body = s.bodyMemory.NewBuffer(s.maxTotalBodyBytes(), func() { _ = control.SetReadDeadline(time.Now()) })
	err := r.body.Fill(http.MaxBytesReader(w, q.Body, limit), q.ContentLength, limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, body.ErrMemoryFull):
		return &refusal{status: http.StatusServiceUnavailable, reason: reasonBodiesFull, retryAfter: bodyMemoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: reasonBodyLate}
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge}
	case err != nil:
		return &refusal{status: http.StatusBadRequest, reason: reasonBodyIncomplete}
	}
	_ = control.SetReadDeadline(time.Time{}) // after a failure it stays, so that the server does not wait for the rest
	q.Trailer = nil                          // is not forwarded, and its fields take memory
	http1.Received(q.Context())
	return nil
}

// prepareUpstreamRequest chooses the service, evaluates the caller's headers and
// builds the request that upstreams receive.
func (s *Server) prepareUpstreamRequest(r *request, q *http.Request, cfg *config.Config, customer *config.Customer, target string) {
	h := s.Headers
	r.service = r.route.Pick(hashFraction(r.id))
	r.priority = r.route.Priority
	r.lastEventID = q.Header.Get(h.LastEventID)
	r.promptTokens = parsePromptTokens(q.Header.Get(h.Tokens))
	header := upstream.EndToEnd(q.Header)
	for _, name := range []string{h.Key, h.Customer, h.Target, h.Deadline, "Host", "Expect"} {
		delete(header, http.CanonicalHeaderKey(name))
	}
	r.hasPrecondition = header.Get(h.Precondition) != ""
	if customer != nil {
		r.customer = customer.Name
		header.Set(h.Customer, customer.Name)
		if customer.Priority != config.NoPriority {
			r.priority = customer.Priority
		}
	}
	r.upstreamRequest = upstream.Request{
		Method: q.Method, Target: target, Host: q.Host, Header: header, Body: r.body.Parts(),
		IDHeader: h.RequestID, ID: r.id,
	}
	r.quarantine = quarantineRequest(r.service, customer, &r.upstreamRequest, header.Get(h.PromptParts))
}

// hashFraction maps a request id to [0,1), so that requests with the same id go
// to the same service.
func hashFraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // hash.Hash never returns an error
	return float64(h.Sum64()>>11) / (1 << 53)
}

// parsePromptTokens returns the first of two comma-separated numbers, or 0 if it
// is missing or invalid.
func parsePromptTokens(usage string) int {
	first, _, _ := strings.Cut(usage, ",")
	n, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil || n < 0 {
		return 0
	}
	return n
}

// deadline returns how long a request may take: the time in the deadline
// header, but at most the route's timeout.
func deadline(header string, routeTimeout clock.Millis) clock.Millis {
	timeout := defaultTimeout
	if routeTimeout > 0 {
		timeout = routeTimeout
	}
	if n, err := strconv.ParseInt(header, 10, 64); err == nil && n > 0 {
		timeout = min(timeout, clock.Millis(n))
	}
	return timeout
}
