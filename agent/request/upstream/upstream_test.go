package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
)

type responseRecorder struct {
	status int
	body   bytes.Buffer
}

func (r *responseRecorder) Head(h *frame.ResponseHead)  { r.status = h.Status() }
func (r *responseRecorder) Write(p []byte) (int, error) { return r.body.Write(p) }

func call(method string, idempotent bool) *frame.Submit {
	c := frame.NewCall(method, "/x", []frame.Field{frame.NewField(idempotencyHeader, "k")}, []byte("body"))
	return frame.NewSubmit("s", "c", c, frame.NewRequestOptions(1000, 0, idempotent, false, ""), frame.NewSize(1, 1), 1)
}

func run(t *testing.T, address string, m *frame.Submit) (*responseRecorder, error) {
	t.Helper()
	var r responseRecorder
	err := New(address).Run(context.Background(), "id", m, &r)
	return &r, err
}

func serve(t *testing.T, h http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func events(lines ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(contentTypeHeader, eventStreamType)
		for _, l := range lines {
			_, _ = io.WriteString(w, l+"\n\n")
		}
	}
}

func TestWholeResponse(t *testing.T) {
	r, err := run(t, serve(t, func(w http.ResponseWriter, q *http.Request) {
		check.Equal(t, "Idempotency-Key", q.Header.Get(idempotencyHeader), "")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "hello")
	}), call("POST", false))
	check.NoError(t, "Run", err)
	check.Equal(t, "status", r.status, http.StatusTeapot)
	check.Equal(t, "body", r.body.String(), "hello")
}

// Guards against a status that no caller can be sent, as an engine in trouble writes it.
func TestMalformedStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			l := check.ServeConns(t, func(c net.Conn) {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 1\r\n\r\nx")
			})
			r, err := run(t, l.Addr().String(), call("POST", false))
			check.Is(t, "Run", err, ErrInterrupted)
			check.Equal(t, "status", r.status, 0)
			check.Equal(t, "body", r.body.String(), "")
		})
	}
}

func TestEventStream(t *testing.T) {
	t.Run("the final event is withheld", func(t *testing.T) {
		r, err := run(t, serve(t, events(`data: {"a":1}`, ": comment", "data: [DONE]")), call("POST", true))
		check.NoError(t, "Run", err)
		check.Equal(t, "body", r.body.String(), "data: {\"a\":1}\n\n: comment\n\n")
	})
	cases := []struct {
		name string
		line string
		want error
	}{
		{"not JSON", "data: {", ErrMalformed},
		{"not a field", "dat: {}", ErrMalformed},
		{"oversized line", "data: \"" + strings.Repeat("x", maxEventBytes) + "\"", ErrMalformed},
		{"no final event", `data: {}`, ErrInterrupted},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := run(t, serve(t, events(c.line)), call("POST", true))
			check.Is(t, "Run", err, c.want)
		})
	}
}

// Guards against an engine that writes a response once more on a kept connection: the next
// call then gets the response of another, or is told that it has not run.
func TestSecondCopyOfResponse(t *testing.T) {
	var calls atomic.Int32
	client := New(check.ServeCopies(t, func() string {
		body := strconv.Itoa(int(calls.Add(1)))
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	for n := range 4 {
		var r responseRecorder
		check.NoError(t, "Run", client.Run(context.Background(), "id", call("GET", true), &r))
		check.Equal(t, "body", r.body.String(), strconv.Itoa(n+1))
		check.Equal(t, "calls", int(calls.Load()), n+1)
	}
}

// Guards against a response assembled from two incarnations of an engine.
func TestResumeOnlyOnTheSameIncarnation(t *testing.T) {
	for _, c := range []struct {
		name   string
		second string
		want   error
	}{{"same", "1", nil}, {"replaced", "2", ErrInterrupted}} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			address := serve(t, func(w http.ResponseWriter, q *http.Request) {
				w.Header().Set(contentTypeHeader, eventStreamType)
				if calls.Add(1) == 1 {
					w.Header().Set(incarnationHeader, "1")
					_, _ = io.WriteString(w, "data: 1\n\n")
					return
				}
				check.Equal(t, "resume offset", q.Header.Get(resumeHeader), "1")
				check.Equal(t, "incarnation that is resumed", q.Header.Get(incarnationHeader), "1")
				w.Header().Set(incarnationHeader, c.second)
				_, _ = io.WriteString(w, "data: 2\n\ndata: [DONE]\n\n")
			})
			r, err := run(t, address, call("POST", true))
			check.Is(t, "Run", err, c.want)
			if c.want == nil {
				check.Equal(t, "body", r.body.String(), "data: 1\n\ndata: 2\n\n")
			}
		})
	}
}

// Guards against http.Transport sending a non-idempotent call twice when a
// kept-alive connection breaks after the upstream has read it.
func TestNonIdempotentCallIsSentOnce(t *testing.T) {
	for _, method := range []string{"GET", "POST", "PUT"} {
		t.Run(method, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			check.NoError(t, "Listen", err)
			var received atomic.Int32
			s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
				_, _ = io.ReadAll(q.Body)
				if received.Add(1) == 1 {
					return
				}
				conn, _, err := http.NewResponseController(w).Hijack()
				check.NoError(t, "Hijack", err)
				_ = conn.Close()
			})}
			go func() { _ = s.Serve(l) }()
			t.Cleanup(func() { _ = s.Close() })
			client := New(l.Addr().String())
			var r responseRecorder
			check.NoError(t, "first Run", client.Run(context.Background(), "1", call(method, false), &r))
			check.Is(t, "second Run", client.Run(context.Background(), "2", call(method, false), &r), ErrInterrupted)
			check.Equal(t, "calls received", received.Load(), 2)
		})
	}
}

func TestRefusedConnectionIsNotStarted(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	address := l.Addr().String()
	_ = l.Close()
	_, err = run(t, address, call("POST", false))
	check.Is(t, "Run", err, ErrNotStarted)
}

// Guards against the circuit breaker of httpc refusing calls after a series of
// 5xx responses.
func TestNoBreakerAfterServerErrors(t *testing.T) {
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	for range 200 {
		r, err := run(t, address, call("POST", false))
		check.NoError(t, "Run", err)
		check.Equal(t, "status", r.status, http.StatusInternalServerError)
	}
}

// Guards against a non-idempotent request that runs a second time because its
// stream is resumed.
func TestNonIdempotentStreamIsNotResumed(t *testing.T) {
	var calls atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.Header().Set(contentTypeHeader, eventStreamType)
		w.Header().Set(incarnationHeader, "1")
		_, _ = io.WriteString(w, "data: 1\n\n")
	})
	_, err := run(t, address, call("POST", false))
	check.Is(t, "Run", err, ErrInterrupted)
	check.Equal(t, "calls", calls.Load(), 1)
}
