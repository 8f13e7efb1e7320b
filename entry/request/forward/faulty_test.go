package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

const notRunLine = "X-Not-Run: 1\r\n"

// refusalOf returns a refusal of the request with the given ID.
func refusalOf(id string, code int) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: 7\r\n\r\nnot run", code, id, notRunLine)
}

// Guards against an upstream that writes an earlier refusal once more on a connection that is
// in use again: the next caller is told that its request has not run, or its request is sent
// to a second upstream, although the first one runs it.
func TestSecondCopyOfRefusal(t *testing.T) {
	for _, code := range []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest} {
		refuse := func(q *http.Request) string { return refusalOf(q.Header.Get("X-Id"), code) }
		second := func(then responder) responder {
			return func(q *http.Request) string { return refusalOf("r1", code) + then(q) }
		}
		for _, tc := range []struct {
			name, path string
			then       []responder
			status     int
			attempts   int
		}{
			{"once, then its response", "/once/", []responder{second(respondOK("y"))}, http.StatusOK, 1},
			{"once, then nothing", "/once/", []responder{second(func(*http.Request) string { return closeMark })}, http.StatusBadGateway, 1},
			{"again, then its response", "/again/", []responder{second(respondOK("y"))}, http.StatusOK, 1},
			{"stream, then its response", "/stream/", []responder{second(respondEvents(true, eventOne))}, http.StatusOK, 1},
		} {
			t.Run(fmt.Sprintf("%d, %s", code, tc.name), func(t *testing.T) {
				s := newTestEntry(t, append([]responder{refuse, refuse}, tc.then...)...)
				first := s.call(t, "/once/", nil)
				check.Equal(t, "status of the refused request", first.status, http.StatusServiceUnavailable)
				got := s.call(t, tc.path, func(q *http.Request) { q.Header.Set("X-Id", "r2") })
				check.Equal(t, "status", got.status, tc.status)
				check.Equal(t, "requests at upstreams", len(s.requests()), 2+tc.attempts)
			})
		}
	}
}

// Guards against a refusal that promises that a request has not run where its upstream does
// not say so: its caller would send a request again that may have run.
func TestRefusalWithoutPromise(t *testing.T) {
	for _, code := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint(code), func(t *testing.T) {
			s := newTestEntry(t, status(code, "X-Signature: s\r\n"))
			got := s.call(t, "/once/", nil)
			check.Equal(t, "status", got.status, http.StatusBadGateway)
			check.Equal(t, "signature", got.header.Get("X-Signature"), "")
			check.Equal(t, "requests at upstreams", len(s.requests()), 1)
		})
	}
}

// Guards against the text or the head of an error in the middle of a stream, and against a
// stream that looks complete, when the upstream that is to resume a broken stream answers
// with an error.
func TestErrorInsteadOfResumedStream(t *testing.T) {
	text := func(code int, header, body string) responder {
		return func(q *http.Request) string {
			return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", code, q.Header.Get("X-Id"), header, len(body), body)
		}
	}
	const signed = "X-Signature: s\r\n"
	errors := map[string][]responder{
		"failed":                    {text(500, signed, "out of memory\n\n")},
		"failed without signature":  {text(500, "", "out of memory\n\n")},
		"refused twice":             {text(503, notRunLine, "full\n\n"), text(503, notRunLine, "full\n\n")},
		"unavailable, no promise":   {text(503, signed, "full\n\n")},
		"unknown":                   {text(404, signed, "not found\n\n")},
		"redirected":                {text(302, signed+"Location: /\r\n", "moved\n\n")},
		"error as a success":        {text(200, signed+"Content-Type: text/plain\r\n", "error\n\n")},
		"error without a type":      {text(200, signed, "error: out of memory\n\n")},
		"unsigned success":          {text(200, "Content-Type: text/event-stream\r\n", eventTwo)},
		"no response":               {closeConnection},
		"half of a head":            {func(*http.Request) string { return "HTTP/1.1 500 X\r\nContent-Ty" + closeMark }},
		"stream ends with an error": {respondUntilClose(refusalOf("r0", 503))},
	}
	for name, responders := range errors {
		t.Run(name, func(t *testing.T) {
			s := newTestEntry(t, closing(append([]responder{respondEvents(false, eventOne)}, responders...))...)
			got := s.call(t, "/stream/", nil)
			check.Equal(t, "status", got.status, http.StatusOK)
			check.Equal(t, "body", got.body, eventOne)
			check.Equal(t, "response looks complete", got.err == nil, false)
		})
	}
	t.Run("refused once", func(t *testing.T) {
		s := newTestEntry(t, closing([]responder{respondEvents(false, eventOne), text(503, notRunLine, "full\n\n"), respondEvents(true, eventTwo)})...)
		got := s.call(t, "/stream/", nil)
		check.NoError(t, "call", got.err)
		check.Equal(t, "body", got.body, eventOne+eventTwo)
	})
}

// Guards against a stream into which its upstream, which ends it with the connection, has
// written another response.
func TestResponseWithinStream(t *testing.T) {
	s := newTestEntry(t, closing([]responder{respondUntilClose(eventOne + refusalOf("r0", 503) + "\n\n"), respondEvents(true, eventTwo)})...)
	got := s.call(t, "/stream/", nil)
	check.NoError(t, "call", got.err)
	check.Equal(t, "body", got.body, eventOne+eventTwo)
}

// Guards against a success with an empty or short body that an entry frames as whole because
// the upstream stopped within the head of its response.
func TestHalfOfAHead(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 0\r\n"
	for n := 1; n < len(whole); n += 3 {
		stop := func(*http.Request) string { return whole[:n] + closeMark }
		for _, tc := range []struct {
			path  string
			then  []responder
			want  int
			wants string
		}{
			{"/once/", nil, http.StatusBadGateway, "upstream"},
			{"/again/", []responder{respondOK("y")}, http.StatusOK, "y"},
			{"/stream/", []responder{respondEvents(true, eventOne)}, http.StatusOK, eventOne},
		} {
			t.Run(fmt.Sprintf("%d bytes, %s", n, tc.path), func(t *testing.T) {
				s := newTestEntry(t, append([]responder{stop}, tc.then...)...)
				got := s.call(t, tc.path, nil)
				check.NoError(t, "call", got.err)
				check.Equal(t, "status", got.status, tc.want)
				check.Equal(t, "body has "+tc.wants, strings.Contains(got.body, tc.wants) || tc.want != http.StatusOK, true)
			})
		}
	}
}
