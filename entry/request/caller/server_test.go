package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
)

// sampleConfig configures the customer "c" with the key "k", a model service and
// a plain service.
const sampleConfig = `{
  "dataCentres": [{"name": "a", "region": "r"}],
  "services": [
    {"name": "m", "kind": "model", "coldLimit": 1, "warmLimit": 2},
    {"name": "p", "kind": "plain", "coldLimit": 1, "warmLimit": 2, "routes": [
      {"method": "GET", "path": "/x/*", "idempotent": true}, {"method": "POST", "path": "/x"}]},
  ],
  "customers": [{"name": "c", "keyHashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}],
}`

// dispatchFunc adapts a function to Dispatcher.
type dispatchFunc func(ctx context.Context, r *Request, resp *Response) error

func (d dispatchFunc) Dispatch(ctx context.Context, r *Request, resp *Response) error {
	return d(ctx, r, resp)
}

func sampleSnapshot(t *testing.T) *relay.Snapshot {
	t.Helper()
	parsed, err := configuration.Parse([]byte(sampleConfig))
	check.NoError(t, "Parse", err)
	return relay.NewSnapshot(1, parsed, drainflag.Set{}, nil)
}

func newServer(t *testing.T, d dispatchFunc) *Server {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	snapshot := sampleSnapshot(t)
	return &Server{Clock: clock.System(), Log: log, CurrentSnapshot: func() *relay.Snapshot { return snapshot }, Dispatcher: d,
		Listen: "127.0.0.1:0", MaxConnections: 100, MaxRequests: 100, MaxBodyMemoryBytes: 2 * MaxBodyBytes}
}

// listen runs the server on a free port and returns its URL.
func listen(t *testing.T, s *Server) string {
	t.Helper()
	address := make(chan string, 1)
	s.OnListen = func(a net.Addr) { address <- a.String() }
	go func() { _ = s.Run() }()
	return "http://" + <-address
}

func newRequest(t *testing.T, method, url string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	check.NoError(t, "NewRequest", err)
	req.Header.Set(authorizationHeader, bearerPrefix+"k")
	return req
}

func do(t *testing.T, req *http.Request) (*http.Response, string, error) {
	t.Helper()
	r, err := http.DefaultClient.Do(req)
	check.NoError(t, "Do", err)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	return r, string(body), err
}

func TestLibraryDefaultsAreOff(t *testing.T) {
	big := bytes.Repeat([]byte("x"), 2<<20)
	s := newServer(t, func(_ context.Context, r *Request, resp *Response) error {
		resp.Head(http.StatusOK, []frame.Field{frame.NewField("Content-Type", eventStreamType)})
		if r.Stream() {
			check.NoError(t, "Write", resp.Write([]byte("data: 1\n\n")))
			time.Sleep(3500 * time.Millisecond)
		}
		check.Equal(t, "large body", r.Stream() || len(r.Call().Body()) == len(big), true)
		return resp.Finish()
	})
	url := listen(t, s)
	// Guards against the library's default timeout of 3 s, whose middleware also
	// buffers responses.
	t.Run("a stream longer than three seconds", func(t *testing.T) {
		body := strings.NewReader(`{"model":"m","stream":true,"messages":[]}`)
		start := time.Now()
		r, err := http.DefaultClient.Do(newRequest(t, "POST", url+chatPath, body))
		check.NoError(t, "Do", err)
		defer r.Body.Close()
		first := make([]byte, 9)
		_, err = io.ReadFull(r.Body, first)
		check.NoError(t, "first event", err)
		check.Equal(t, "first event before the end", time.Since(start) < 3*time.Second, true)
		rest, err := io.ReadAll(r.Body)
		check.NoError(t, "ReadAll", err)
		check.Equal(t, "rest", string(rest), streamEnd)
	})
	// Guards against the library's body limit of 1 MiB.
	t.Run("a body larger than one mebibyte", func(t *testing.T) {
		r, _, err := do(t, newRequest(t, "POST", url+"/x", bytes.NewReader(big)))
		check.NoError(t, "body", err)
		check.Equal(t, "status", r.StatusCode, http.StatusOK)
	})
}

// Guards against the library's circuit breaker and load shedding, which refuse
// requests after a series of 5xx responses.
func TestRefusalsDoNotTripCircuitBreaker(t *testing.T) {
	url := listen(t, newServer(t, func(context.Context, *Request, *Response) error {
		return outcome.Refuse(outcome.Overloaded, outcome.NotRun, 1500)
	}))
	for range 300 {
		r, body, err := do(t, newRequest(t, "POST", url+"/x", strings.NewReader("b")))
		check.NoError(t, "body", err)
		check.Equal(t, "status", r.StatusCode, http.StatusServiceUnavailable)
		check.Equal(t, "outcome", r.Header.Get(outcome.Header), string(outcome.NotRun))
		check.Equal(t, "Retry-After", r.Header.Get("Retry-After"), "2")
		var got refusalBody
		check.NoError(t, "Unmarshal", json.Unmarshal([]byte(body), &got))
		check.Equal(t, "code", got.Code, outcome.Overloaded)
	}
}

// Guards against a response that looks complete to the caller although the
// upstream's response broke off.
func TestBrokenResponseIsDetectable(t *testing.T) {
	url := listen(t, newServer(t, func(_ context.Context, _ *Request, resp *Response) error {
		resp.Head(http.StatusOK, nil)
		check.NoError(t, "Write", resp.Write(make([]byte, 2*maxBufferedBytes)))
		return outcome.Refuse(outcome.UpstreamFailed, outcome.Unknown, 0)
	}))
	_, _, err := do(t, newRequest(t, "GET", url+"/x/1", nil))
	check.Is(t, "ReadAll", err, io.ErrUnexpectedEOF)
}

// Guards against forwarding a short response before it is verified, after which
// its request could no longer be retried at another upstream.
func TestShortResponseIsBufferedUntilVerified(t *testing.T) {
	url := listen(t, newServer(t, func(_ context.Context, _ *Request, resp *Response) error {
		resp.Head(http.StatusOK, nil)
		check.NoError(t, "Write", resp.Write([]byte("first")))
		check.Equal(t, "started", resp.Started(), false)
		resp.Head(http.StatusAccepted, nil)
		check.NoError(t, "Write", resp.Write([]byte("second")))
		return resp.Finish()
	}))
	r, body, err := do(t, newRequest(t, "GET", url+"/x/1", nil))
	check.NoError(t, "ReadAll", err)
	check.Equal(t, "status", r.StatusCode, http.StatusAccepted)
	check.Equal(t, "body", body, "second")
}

func TestBadRequests(t *testing.T) {
	url := listen(t, newServer(t, func(context.Context, *Request, *Response) error {
		t.Error("Dispatch was called")
		return nil
	}))
	cases := []struct {
		name, method, path, body string
		header                   [2]string
		want                     outcome.Code
	}{
		{"unknown key", "POST", "/x", "", [2]string{authorizationHeader, "Bearer other"}, outcome.Unauthorized},
		{"no key", "POST", "/x", "", [2]string{authorizationHeader, ""}, outcome.Unauthorized},
		{"unknown path", "POST", "/y", "", [2]string{}, outcome.NoRoute},
		{"unknown method", "DELETE", "/x", "", [2]string{}, outcome.NoRoute},
		{"unknown model", "POST", chatPath, `{"model":"q"}`, [2]string{}, outcome.NoRoute},
		{"plain service as model", "POST", chatPath, `{"model":"p"}`, [2]string{}, outcome.NoRoute},
		{"malformed chat", "POST", chatPath, `{`, [2]string{}, outcome.BadRequest},
		{"token limit of zero", "POST", chatPath, `{"model":"m","max_tokens":0}`, [2]string{}, outcome.BadRequest},
		{"malformed deadline", "POST", "/x", "", [2]string{deadlineHeader, "soon"}, outcome.BadRequest},
		{"oversized key", "POST", "/x", "", [2]string{keyHeader, strings.Repeat("k", maxKeyBytes+1)}, outcome.BadRequest},
		{"oversized body", "POST", "/x", strings.Repeat("x", MaxBodyBytes+1), [2]string{}, outcome.BadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := newRequest(t, c.method, url+c.path, strings.NewReader(c.body))
			if c.header[0] != "" {
				req.Header.Set(c.header[0], c.header[1])
			}
			r, body, err := do(t, req)
			check.NoError(t, "ReadAll", err)
			var got refusalBody
			check.NoError(t, "Unmarshal", json.Unmarshal([]byte(body), &got))
			check.Equal(t, "code", got.Code, c.want)
			check.Equal(t, "outcome", r.Header.Get(outcome.Header), string(outcome.NotRun))
		})
	}
	t.Run("truncated body", func(t *testing.T) {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		check.NoError(t, "Dial", err)
		defer conn.Close()
		_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\nContent-Length: 10\r\n\r\nabc")
		check.NoError(t, "Write", err)
		check.NoError(t, "CloseWrite", conn.(*net.TCPConn).CloseWrite())
		got, err := io.ReadAll(conn)
		check.NoError(t, "ReadAll", err)
		check.Equal(t, "refused as bad request", strings.Contains(string(got), string(outcome.BadRequest)), true)
	})
}

// Guards against accepting new requests while the process is shutting down.
func TestStoppingRefusesNewRequests(t *testing.T) {
	s := newServer(t, func(context.Context, *Request, *Response) error {
		t.Error("Dispatch was called")
		return nil
	})
	url := listen(t, s)
	s.Stop()
	r, body, err := do(t, newRequest(t, "POST", url+"/x", nil))
	check.NoError(t, "ReadAll", err)
	check.Equal(t, "code", strings.Contains(body, string(outcome.Stopping)), true)
	check.Equal(t, "connection is closed", r.Close, true)
}

// Guards against a panic instead of an error when the port is in use.
func TestRunReportsPortInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	defer l.Close()
	s := newServer(t, nil)
	s.Listen = l.Addr().String()
	if err := s.Run(); err == nil {
		t.Error("Run: got no error, want one")
	}
}

// Guards against the default deadline cutting off the response to a slow reader
// that set no deadline.
func TestDeadlines(t *testing.T) {
	cases := []struct {
		name, header string
		started      bool
		want         clock.Millis // when the context of the dispatcher is cancelled
	}{
		{"default, no response", "", false, defaultDeadline},
		{"default, response has started", "", true, maxResponseDuration},
		{"set by the caller, no response", "5000", false, 5 * clock.Second},
		{"set by the caller, response has started", "5000", true, 5 * clock.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var got clock.Millis
				s := newServer(t, func(ctx context.Context, _ *Request, resp *Response) error {
					resp.Head(http.StatusOK, nil)
					if c.started {
						check.NoError(t, "Write", resp.Write(make([]byte, maxBufferedBytes+1)))
					}
					<-ctx.Done()
					got = clock.FromDuration(time.Since(start))
					return ctx.Err()
				})
				req := httptest.NewRequestWithContext(t.Context(), "GET", "/x/1", nil)
				req.Header.Set(authorizationHeader, bearerPrefix+"k")
				if c.header != "" {
					req.Header.Set(deadlineHeader, c.header)
				}
				func() {
					defer func() { _ = recover() }()
					s.ServeHTTP(httptest.NewRecorder(), req)
				}()
				check.Equal(t, "cancelled after", got, c.want)
			})
		})
	}
}

// Guards against many slow or large request bodies exhausting the memory of the
// process.
func TestBodyMemoryIsBounded(t *testing.T) {
	b := newBodyBudget(MaxBodyBytes)
	read := func(length int64, body string) (func(), error) {
		req := httptest.NewRequest("POST", "/x", strings.NewReader(body))
		req.ContentLength = length
		_, release, err := b.read(httptest.NewRecorder(), req)
		return release, err
	}
	releaseFirst, err := read(-1, "abc")
	check.NoError(t, "body of unknown length", err)
	_, err = read(-1, "abc")
	check.Equal(t, "second while the first is in memory", outcome.As(err).Code(), outcome.Overloaded)
	releaseShort, err := read(3, "abc")
	check.NoError(t, "short body beside the first", err)
	releaseFirst()
	releaseShort()
	releaseLast, err := read(-1, "abc")
	check.NoError(t, "after both were released", err)
	releaseLast()
	_, err = read(MaxBodyBytes+1, "abc")
	check.Equal(t, "oversized", outcome.As(err).Code(), outcome.BadRequest)
	if !b.free.TryAcquire(MaxBodyBytes) {
		t.Error("body memory: got some still reserved, want none")
	}
}
