package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

var headers = Headers{
	RequestID: "X-Id", Deadline: "X-Deadline", Key: "X-Key", Customer: "X-Customer", Target: "X-Target",
	Signature: "X-Signature", NotRun: "X-Not-Run", LastEventID: "X-Last-Event", Tokens: "X-Tokens", PromptParts: "X-Prompt",
	RateLimit: "X-Rate-Limit", Leaving: "X-Leaving",
}

// testEntry is an entry with upstreams whose responses the test defines.
type testEntry struct {
	server      *Server
	httpServer  *httptest.Server
	viewCurrent bool

	mu       sync.Mutex
	received []*http.Request
}

// responder returns the response of an upstream to one request. An empty response
// closes the connection.
type responder func(q *http.Request) string

// newTestEntry starts an entry. Each request that reaches any upstream uses up the
// next of the responders.
func newTestEntry(t testing.TB, responders ...responder) *testEntry {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	s := &testEntry{viewCurrent: true}
	routes := []config.Route{
		{Name: "once", Host: "h.example", PathPrefix: "/once/", Shares: []config.Share{{Service: "plain", Weight: 1}}, MaxUpstreams: 1, Timeout: 6 * clock.Second},
		{Name: "again", Host: "h.example", PathPrefix: "/again/", Shares: []config.Share{{Service: "plain", Weight: 1}}, Retry: config.Idempotent, MaxUpstreams: 2, Timeout: 5 * clock.Second},
		{Name: "stream", Host: "h.example", PathPrefix: "/stream/", Shares: []config.Share{{Service: "plain", Weight: 1}}, Stream: true, Retry: config.Resumable, MaxUpstreams: 2, Timeout: 5 * clock.Second},
		{Name: "model", Host: "h.example", PathPrefix: "/model/", Shares: []config.Share{{Service: "model", Weight: 1}}, Stream: true, Retry: config.Resumable, MaxUpstreams: 2, Timeout: 5 * clock.Second},
	}
	limits := config.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100, IdleTimeout: clock.Minute, HeaderTimeout: clock.Second}
	customers := []config.Customer{{Name: "one", Keys: []string{"k1"}, Priority: -1}}
	state := fleet.New()
	state.SetConfig(config.New(config.Parts{
		Version: 3, Routes: routes, Services: []config.Service{{Name: "plain"}, {Name: "model", Engine: &config.Engine{}}}, Customers: customers, RequiresKey: true, Limits: limits,
	}))
	address := s.listen(t, responders).Addr().String()
	upstreams := make(map[string]*fleet.Upstream)
	for i := range 3 {
		id := fmt.Sprint("u", i)
		upstreams[id] = &fleet.Upstream{ID: id, Service: "plain", Address: address, Slots: 4}
		upstreams["m"+id] = &fleet.Upstream{ID: "m" + id, Service: "model", Address: address, Slots: 4}
	}
	state.SetUpstreams(upstreams)
	state.SetDrained(nil)
	c := clock.System()
	scheduler := &Scheduler{Clock: c, Balancer: balance.New(c.Now()-clock.Hour, balance.Settings{RetryRatio: 1, RetryAllowance: 10, RetryWindow: 10 * clock.Second})}
	scheduler.SetView(state.View())
	state.OnChange(scheduler.SetView)
	scheduler.Balancer.SetEntries(c.Now()-clock.Hour, 1)
	s.server = &Server{
		Clock: c, Log: log, Headers: headers, State: state, Scheduler: scheduler, Pool: &upstream.Pool{Clock: c},
		Current: func(clock.Millis) bool { return s.viewCurrent }, Quarantine: warmQuarantine(log),
	}
	s.httpServer = httptest.NewServer(s.server)
	t.Cleanup(s.httpServer.Close)
	return s
}

// listen serves upstreams on one address until the listener that it returns is closed.
func (s *testEntry) listen(t testing.TB, responders []responder) net.Listener {
	t.Helper()
	pending := make(chan responder, len(responders))
	for _, f := range responders {
		pending <- f
	}
	return check.ServeConns(t, func(c net.Conn) { s.serve(c, pending) })
}

func (s *testEntry) serve(c net.Conn, pending chan responder) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		s.mu.Lock()
		s.received = append(s.received, q)
		s.mu.Unlock()
		response, closes := strings.CutSuffix((<-pending)(q), closeMark)
		writeWithPauses(c, response)
		if response == "" || closes {
			return
		}
	}
}

const (
	// closeMark at the end of a response closes the connection after it.
	closeMark = "<close>"
	// pauseMark encloses a duration for which the upstream pauses within a response.
	pauseMark = "<pause>"
)

// writeWithPauses writes a response and pauses where it says so.
func writeWithPauses(w io.Writer, response string) {
	for i, part := range strings.Split(response, pauseMark) {
		if i%2 == 0 {
			_, _ = io.WriteString(w, part) // the entry reports a broken connection
			continue
		}
		pause, _ := time.ParseDuration(part) // written by the test itself
		time.Sleep(pause)
	}
}

// requests returns the requests that have reached upstreams.
func (s *testEntry) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

func respondOK(body string) responder {
	return func(q *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: by-%s\r\nContent-Length: %d\r\n\r\n%s", q.Header.Get("X-Id"), q.Header.Get("X-Target"), len(body), body)
	}
}

func status(code int, header string) responder {
	return func(q *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: 0\r\n\r\n", code, q.Header.Get("X-Id"), header)
	}
}

// closeConnection closes the connection without a response.
func closeConnection(*http.Request) string { return "" }

// respondEvents streams events. Unless complete is set, the stream breaks off after
// them.
func respondEvents(complete bool, events ...string) responder {
	return func(q *http.Request) string {
		out := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: by-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.Header.Get("X-Id"), q.Header.Get("X-Target"))
		for _, e := range events {
			out += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
		}
		if complete {
			return out + "0\r\n\r\n"
		}
		return out + "zz\r\n" // invalid chunk size: the response breaks off here
	}
}

// callResult is the response, or the error, that a caller receives.
type callResult struct {
	status int
	header http.Header
	body   string
	err    error
}

func (s *testEntry) call(t testing.TB, path string, edit func(*http.Request)) callResult {
	t.Helper()
	q, err := http.NewRequestWithContext(context.Background(), http.MethodPost, s.httpServer.URL+path, strings.NewReader("in"))
	check.NoError(t, "NewRequest", err)
	q.Host = "h.example"
	q.Header.Set("X-Id", "r1")
	q.Header.Set("X-Key", "k1")
	q.Header.Set("X-Deadline", "3000")
	if edit != nil {
		edit(q)
	}
	resp, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return callResult{resp.StatusCode, resp.Header, string(body), err}
}

// Guards against requests that run without a valid key or route, and against a
// final refusal by an entry whose configuration may be outdated.
func TestUnknownCallersAreRefused(t *testing.T) {
	for _, tc := range []struct {
		name, path, key string
		viewCurrent     bool
		want            int
	}{
		{"no route", "/none/", "k1", true, http.StatusNotFound},
		{"unknown key", "/once/a", "k2", true, http.StatusUnauthorized},
		{"no key", "/once/a", "", true, http.StatusUnauthorized},
		{"no route, outdated view", "/none/", "k1", false, http.StatusServiceUnavailable},
		{"unknown key, outdated view", "/once/a", "k2", false, http.StatusServiceUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t)
			s.viewCurrent = tc.viewCurrent
			got := s.call(t, tc.path, func(q *http.Request) { q.Header.Set("X-Key", tc.key) })
			check.Equal(t, "status", got.status, tc.want)
			check.Equal(t, "requests at upstreams", len(s.requests()), 0)
		})
	}
}

// Guards against routes that are open to everybody once the last customer has gone.
func TestNobodyHasAKeyOnceTheLastCustomerHasGone(t *testing.T) {
	s := newTestEntry(t)
	service, shares := []config.Service{{Name: "plain"}}, []config.Share{{Service: "plain", Weight: 1}}
	s.server.State.SetConfig(config.New(config.Parts{
		Version: 4, Services: service, RequiresKey: true, Limits: config.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100},
		Routes: []config.Route{{Name: "once", Host: "h.example", PathPrefix: "/once/", Shares: shares, MaxUpstreams: 1}},
	}))
	for _, key := range []string{"k1", "never-held", ""} {
		got := s.call(t, "/once/a", func(q *http.Request) { q.Header.Set("X-Key", key) })
		check.Equal(t, "status with key "+key, got.status, http.StatusUnauthorized)
	}
	check.Equal(t, "requests at upstreams", len(s.requests()), 0)
}

// Guards against an entry that serves by the store alone before it has what other entries know.
func TestRequestsWaitUntilEntryIsSynced(t *testing.T) {
	s := newTestEntry(t, respondOK("yes"))
	synced := make(chan struct{})
	s.server.Synced = synced
	responses := make(chan callResult, 1)
	go func() { responses <- s.call(t, "/added/", nil) }()
	time.Sleep(50 * time.Millisecond)
	check.Equal(t, "responses before it is synced", len(responses), 0)
	routes := []config.Route{{Name: "added", Host: "h.example", PathPrefix: "/added/", Shares: []config.Share{{Service: "plain", Weight: 1}}, MaxUpstreams: 1, Timeout: 6 * clock.Second, Anonymous: true}}
	s.server.State.SetConfig(config.New(config.Parts{
		Version: 4, Routes: routes, Services: []config.Service{{Name: "plain"}}, Limits: config.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 100},
	}))
	s.server.Scheduler.SetView(s.server.State.View())
	close(synced)
	check.Equal(t, "status by what other entries know", (<-responses).status, http.StatusOK)
}

// Guards against a request that reaches its upstream modified, with the customer's
// key, or with a longer deadline than remains.
func TestRequestsAreForwardedUnchanged(t *testing.T) {
	s := newTestEntry(t, respondOK("yes"))
	got := s.call(t, "/once/a%20b?c=d", func(q *http.Request) {
		q.Header.Set("X-Customer", "forged")
		q.Header.Set("X-Other", "kept")
		q.Header.Set("Connection", "X-Hop")
		q.Header.Set("X-Hop", "1")
	})
	check.Equal(t, "body", got.body, "yes")
	q := s.requests()[0]
	check.Equal(t, "target", q.RequestURI, "/once/a%20b?c=d")
	check.Equal(t, "host", q.Host, "h.example")
	check.Equal(t, "key", q.Header.Get("X-Key"), "")
	check.Equal(t, "customer", q.Header.Get("X-Customer"), "one")
	check.Equal(t, "other header", q.Header.Get("X-Other"), "kept")
	check.Equal(t, "hop-by-hop header", q.Header.Get("X-Hop"), "")
	check.Equal(t, "signature is that of the target upstream", got.header.Get("X-Signature"), "by-"+q.Header.Get("X-Target"))
	var left int
	_, err := fmt.Sscan(q.Header.Get("X-Deadline"), &left)
	check.NoError(t, "deadline", err)
	check.AtMost(t, "forwarded deadline", left, 3000)
}

// Guards against retries of a request that must not run twice, against missing
// retries of one that may, and against a refusal that claims "not run" for a request
// that may have run.
func TestFailedAttemptsAreRetriedWhenAllowed(t *testing.T) {
	notRun := "X-Not-Run: 1\r\n"
	unsigned := func(q *http.Request) string { return strings.Replace(respondOK("x")(q), "X-Signature", "X-Nothing", 1) }
	encoded := func(q *http.Request) string {
		return strings.Replace(respondOK("x")(q), "\r\n", "\r\nContent-Encoding: gzip\r\n", 1)
	}
	for _, tc := range []struct {
		name, path string
		responders []responder
		status     int
		attempts   int
	}{
		{"once, connection closed", "/once/", []responder{closeConnection}, http.StatusBadGateway, 1},
		{"once, refused and run at another upstream", "/once/", []responder{status(503, notRun), respondOK("y")}, http.StatusOK, 2},
		{"once, wrong instance", "/once/", []responder{status(421, ""), respondOK("y")}, http.StatusOK, 2},
		{"once, failed by the upstream", "/once/", []responder{status(500, "X-Signature: s\r\n")}, http.StatusInternalServerError, 1},
		{"once, unsigned success", "/once/", []responder{unsigned}, http.StatusBadGateway, 1},
		{"again, connection closed", "/again/", []responder{closeConnection, respondOK("y")}, http.StatusOK, 2},
		{"again, failed by the upstream", "/again/", []responder{status(500, "X-Signature: s\r\n"), respondOK("y")}, http.StatusOK, 2},
		{"again, connection closed twice", "/again/", []responder{closeConnection, closeConnection}, http.StatusBadGateway, 2},
		{"again, encoded body", "/again/", []responder{encoded, respondOK("y")}, http.StatusOK, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, tc.responders...)
			got := s.call(t, tc.path, nil)
			check.NoError(t, "call", got.err)
			check.Equal(t, "status", got.status, tc.status)
			check.Equal(t, "requests at upstreams", len(s.requests()), tc.attempts)
		})
	}
}

// Guards against streams with a missing or duplicate event, and against a broken
// stream that looks complete to the caller.
func TestStreamsResumeAtAnotherUpstream(t *testing.T) {
	one, two, three := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n"
	for _, tc := range []struct {
		name        string
		responders  []responder
		body        string
		resumeAfter string
		complete    bool
	}{
		{"complete", []responder{respondEvents(true, one, two, three)}, one + two + three, "", true},
		{"cut between events", []responder{respondEvents(false, one, two), respondEvents(true, three)}, one + two + three, "2", true},
		{"cut within an event", []responder{respondEvents(false, one, "id: 2\nda"), respondEvents(true, two, three)}, one + two + three, "1", true},
		{"cut before the first event", []responder{respondEvents(false), respondEvents(true, one, two, three)}, one + two + three, "", true},
		{"cut twice", []responder{respondEvents(false, one), respondEvents(false, two)}, one + two, "1", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, tc.responders...)
			got := s.call(t, "/stream/", nil)
			check.Equal(t, "status", got.status, http.StatusOK)
			check.Equal(t, "body", got.body, tc.body)
			check.Equal(t, "complete", got.err == nil, tc.complete)
			seen := s.requests()
			check.Equal(t, "requests at upstreams", len(seen), len(tc.responders))
			check.Equal(t, "last event id at the last upstream", seen[len(seen)-1].Header.Get("X-Last-Event"), tc.resumeAfter)
			check.Equal(t, "response is signed", got.header.Get("X-Signature") != "", true)
		})
	}
}

// Guards against a stream that stays at a rank that has become slow, so that the
// whole group waits for it in each pass.
func TestStreamFailsOverFromSlowRank(t *testing.T) {
	one, two := "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	var s *testEntry
	slow := func(q *http.Request) string {
		slowdowns := map[string]float64{q.Header.Get("X-Target"): 12}
		s.server.Scheduler.WithBalancer(func(_ clock.Millis, b *balance.Balancer) { b.SetSlowdowns(slowdowns) })
		partial, _, _ := strings.Cut(respondEvents(false, one)(q), "zz")
		return partial // the stream is still open for the entry
	}
	s = newTestEntry(t, slow, respondEvents(true, two))
	start := time.Now()
	got := s.call(t, "/model/", nil)
	check.NoError(t, "call", got.err)
	check.Equal(t, "body", got.body, one+two)
	check.AtMost(t, "ms until the end", time.Since(start).Milliseconds(), int64(minStreamPatience-patienceMargin)/2)
	seen := s.requests()
	check.Equal(t, "requests at upstreams", len(seen), 2)
	check.Equal(t, "last event id at the second upstream", seen[1].Header.Get("X-Last-Event"), "1")
}

// Guards against a limit of heads in the configuration that a lower one of the server overrides.
func TestConfiguredHeadLimitIsInForce(t *testing.T) {
	for _, tc := range []struct{ limit, head, want int }{
		{4 << 10, 5_000, http.StatusRequestHeaderFieldsTooLarge},
		{128 << 10, 100_000, http.StatusOK},
		{128 << 10, 200_000, http.StatusRequestHeaderFieldsTooLarge},
		{config.Unlimited, 200_000, http.StatusOK},
	} {
		t.Run(fmt.Sprint(tc.head, " of ", tc.limit), func(t *testing.T) {
			s := newTestEntry(t, respondOK("yes"))
			s.server.State.SetConfig(config.New(config.Parts{
				Version: 4, Services: []config.Service{{Name: "plain"}}, Limits: config.Limits{MaxHeaderBytes: tc.limit, MaxBodyBytes: 100},
				Routes: []config.Route{{Name: "once", Host: "h.example", PathPrefix: "/once/", Shares: []config.Share{{Service: "plain", Weight: 1}}, MaxUpstreams: 1}},
			}))
			s.server.Scheduler.SetView(s.server.State.View())
			q, err := http.NewRequest("GET", "http://"+serveCallers(t, s)+"/once/", nil)
			check.NoError(t, "NewRequest", err)
			q.Host = "h.example"
			q.Header.Set("X-Large", strings.Repeat("a", tc.head))
			resp, err := http.DefaultTransport.RoundTrip(q)
			check.NoError(t, "RoundTrip", err)
			check.NoError(t, "Close", resp.Body.Close())
			check.Equal(t, "status", resp.StatusCode, tc.want)
		})
	}
}

// Guards against requests beyond the limits of the current configuration.
func TestLimits(t *testing.T) {
	for _, tc := range []struct {
		name string
		edit func(*http.Request)
		want int
	}{
		{"large header", func(q *http.Request) { q.Header.Set("X-Large", strings.Repeat("a", 5000)) }, http.StatusRequestHeaderFieldsTooLarge},
		{"large body", func(q *http.Request) { setBody(q, 200, true) }, http.StatusRequestEntityTooLarge},
		{"large body without a length", func(q *http.Request) { setBody(q, 200, false) }, http.StatusRequestEntityTooLarge},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t)
			check.Equal(t, "status", s.call(t, "/once/", tc.edit).status, tc.want)
		})
	}
}

// Guards against bodies of many callers that together exhaust the memory of an
// entry, and against body memory that is not released.
func TestTotalBodyBytesAreBounded(t *testing.T) {
	s := newTestEntry(t, respondOK("a"))
	s.server.MaxTotalBodyBytes = 50
	large := func(q *http.Request) { setBody(q, 80, false) }
	got := s.call(t, "/once/", large)
	check.Equal(t, "status", got.status, http.StatusServiceUnavailable)
	check.Equal(t, "Retry-After", got.header.Get("Retry-After"), formatSeconds(bodyMemoryRetryAfter))
	check.Equal(t, "body bytes in use after the refusal", s.server.bodyMemory.InUse(), 0)
	got = s.call(t, "/once/", func(q *http.Request) { setBody(q, 40, true) })
	check.Equal(t, "status of a smaller request", got.status, http.StatusOK)
	check.Equal(t, "body bytes in use at the end", s.server.bodyMemory.InUse(), 0)
}

// Guards against callers that occupy a connection and memory with a body that never
// ends.
func TestBodyReadEndsAtDeadline(t *testing.T) {
	s := newTestEntry(t)
	c, err := net.Dial("tcp", s.httpServer.Listener.Addr().String())
	check.NoError(t, "Dial", err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Key: k1\r\nX-Deadline: 200\r\nContent-Length: 20\r\n\r\nhalf")
	check.NoError(t, "write", err)
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check.NoError(t, "read response", err)
	defer resp.Body.Close()
	check.Equal(t, "status", resp.StatusCode, http.StatusRequestTimeout)
}

func setBody(q *http.Request, n int, withLength bool) {
	q.Body = io.NopCloser(strings.NewReader(strings.Repeat("b", n)))
	q.ContentLength = -1
	if withLength {
		q.ContentLength = int64(n)
	}
}

// Guards against streams that are split within an event, and against events that are held
// back because their lines end otherwise.
func TestEventBoundaries(t *testing.T) {
	check.Equal(t, "carriage returns and line feeds", completeEventsLen([]byte("id: 1\r\n\r\nid: 2\r\n")), 9)
	check.Equal(t, "carriage returns", completeEventsLen([]byte("id: 1\r\rid: 2\r")), 7)
	check.Equal(t, "last id before carriage returns", parseEventID(lastEvent([]byte("id: 7\rdata: x\r\r"))), "7")
	check.Equal(t, "comment before carriage returns", hasEvent([]byte(": wait\r\r")), false)
	check.Equal(t, "complete events", completeEventsLen([]byte("id: 1\n\nid: 2\n\nid")), 14)
	check.Equal(t, "no complete event", completeEventsLen([]byte("id: 1\n")), 0)
	check.Equal(t, "last id", parseEventID(lastEvent([]byte("id: 1\ndata: x\n\nid: 22\ndata: id: 9\n\n"))), "22")
	check.Equal(t, "no id", parseEventID(lastEvent([]byte("data: x\n\n"))), "")
	check.Equal(t, "last id before a comment", parseEventID(lastEvent([]byte("id: 3\n\n: wait\n\n"))), "3")
	check.Equal(t, "first event after a comment", string(firstEvent([]byte(": wait\r\n\r\nid: 1\n\nid: 2\n\n"))), "id: 1\n\n")
	check.Equal(t, "no first event", len(firstEvent([]byte(": wait\n\n"))), 0)
	check.Equal(t, "only a comment", len(lastEvent([]byte(": wait\n\n"))), 0)
}
