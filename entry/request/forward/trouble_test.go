package forward

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/version/config"
)

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
)

// respondUntilClose returns a stream without a length or chunks that ends with its
// connection.
func respondUntilClose(body string) responder {
	return func(q *http.Request) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: by-%s\r\nConnection: close\r\n\r\n%s", q.Header.Get("X-Id"), q.Header.Get("X-Target"), body)
	}
}

// Guards against a response that broke off halfway and reaches the caller as a complete
// success, for each way in which a body can end.
func TestEndsOfStreams(t *testing.T) {
	withLength := func(length int, body string) responder {
		return func(q *http.Request) string {
			return strings.Replace(respondUntilClose(body)(q), "Connection: close", fmt.Sprint("Content-Length: ", length), 1)
		}
	}
	all := eventOne + eventTwo + eventThree
	for _, tc := range []struct {
		name       string
		responders []responder
		upstreams  int
	}{
		{"length, whole", []responder{withLength(len(all), all)}, 1},
		{"length, cut between events", []responder{withLength(len(all), eventOne), respondEvents(true, eventTwo, eventThree)}, 2},
		{"length, cut in an event", []responder{withLength(len(all), eventOne+"id: 2"), respondEvents(true, eventTwo, eventThree)}, 2},
		{"chunks, cut in the last event", []responder{respondEvents(false, eventOne, eventTwo, "id: 3\nda"), respondEvents(true, eventThree)}, 2},
		{"length, whole, ends in an event", []responder{withLength(len(eventOne)+8, eventOne+"id: 2\nda"), respondEvents(true, eventTwo, eventThree)}, 2},
		{"chunks, whole, end in an event", []responder{respondEvents(true, eventOne, "id: 2\nda"), respondEvents(true, eventTwo, eventThree)}, 2},
		{"connection, whole", []responder{respondUntilClose(all)}, 1},
		{"connection, cut in an event", []responder{respondUntilClose(eventOne + "id: 2\nda"), respondEvents(true, eventTwo, eventThree)}, 2},
		{"connection, cut before the first event", []responder{respondUntilClose(""), respondEvents(true, eventOne, eventTwo, eventThree)}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, closing(tc.responders)...)
			got := s.call(t, "/stream/", nil)
			check.NoError(t, "call", got.err)
			check.Equal(t, "body", got.body, all)
			check.Equal(t, "requests at upstreams", len(s.requests()), tc.upstreams)
		})
	}
	t.Run("connection, whole, one more line end", func(t *testing.T) {
		s := newTestEntry(t, closing([]responder{respondUntilClose(all + pauseMark + "20ms" + pauseMark + "\n")})...)
		got := s.call(t, "/stream/", nil)
		check.NoError(t, "call", got.err)
		check.Equal(t, "body", got.body, all+"\n")
	})
	t.Run("connection, cut in an event of a stream that may not be resumed", func(t *testing.T) {
		s := newTestEntry(t, closing([]responder{respondUntilClose(eventOne + "id: 2\nda")})...)
		setRetry(s, "stream", config.AtMostOnce)
		got := s.call(t, "/stream/", nil)
		check.Equal(t, "response looks complete", got.err == nil, false)
		check.Equal(t, "body", got.body, eventOne)
	})
}

// Guards against a stream that looks complete to its caller because its first part had
// events, although the upstream that resumed it closed the connection without one.
func TestResumedPartWithoutEvents(t *testing.T) {
	s := newTestEntry(t, closing([]responder{respondEvents(false, eventOne, eventTwo), respondUntilClose("")})...)
	got := s.call(t, "/stream/", nil)
	check.Equal(t, "response looks complete", got.err == nil, false)
	check.Equal(t, "body", got.body, eventOne+eventTwo)
	check.Equal(t, "requests at upstreams", len(s.requests()), 2)
}

// Guards against events that come twice because a stream whose events have no id is begun
// anew at another upstream.
func TestEventsWithoutIDAreNotResumed(t *testing.T) {
	const withoutID = "data: a\n\n"
	for name, before := range map[string]string{"from the start": "", "after an event with an id": eventOne} {
		t.Run(name, func(t *testing.T) {
			s := newTestEntry(t, respondEvents(false, before+withoutID), respondEvents(true, before+withoutID, eventTwo))
			got := s.call(t, "/stream/", nil)
			check.Equal(t, "response looks complete", got.err == nil, false)
			check.Equal(t, "body", got.body, before+withoutID)
			check.Equal(t, "requests at upstreams", len(s.requests()), 1)
		})
	}
}

// Guards against a sound answer on a route of streams that is no event stream, and is
// taken for a broken one because it has no events.
func TestOtherAnswersOnStreamRoutes(t *testing.T) {
	const body = `{"result":"none"}`
	for name, framing := range map[string]string{
		"length":     fmt.Sprint("Content-Length: ", len(body)),
		"connection": "Connection: close",
	} {
		t.Run(name, func(t *testing.T) {
			respond := func(q *http.Request) string {
				return strings.Replace(respondUntilClose(body)(q), "Connection: close", "Content-Type: application/json\r\n"+framing, 1)
			}
			s := newTestEntry(t, closing([]responder{respond})...)
			got := s.call(t, "/stream/", nil)
			check.NoError(t, "call", got.err)
			check.Equal(t, "status", got.status, http.StatusOK)
			check.Equal(t, "body", got.body, body)
		})
	}
}

// closing marks the responses of responders so that the connection closes after each.
func closing(responders []responder) []responder {
	out := make([]responder, len(responders))
	for i, f := range responders {
		out[i] = func(q *http.Request) string { return f(q) + closeMark }
	}
	return out
}

// setRetry changes the retry policy of a route.
func setRetry(s *testEntry, route string, retry config.Retry) {
	s.server.State.View().Config().Match("h.example", "/"+route+"/").Retry = retry
}

// slowly returns a stream that sends each part after an interval and then stays open.
func slowly(interval time.Duration, complete bool, parts ...string) responder {
	return func(q *http.Request) string {
		head, _, _ := strings.Cut(respondEvents(true)(q), "0\r\n\r\n")
		out := head
		for _, p := range parts {
			out += pauseMark + interval.String() + pauseMark + fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		if complete {
			out += "0\r\n\r\n"
		}
		return out
	}
}

// Guards against slow but sound streams that are cut, and against stalled ones that
// send a byte or a comment now and then and never end.
func TestProgressOfStreams(t *testing.T) {
	const interval = 700 * time.Millisecond
	t.Run("slow but sound", func(t *testing.T) {
		s := newTestEntry(t, slowly(interval, true, eventOne, eventTwo, eventThree))
		got := s.call(t, "/stream/", nil)
		check.NoError(t, "call", got.err)
		check.Equal(t, "body", got.body, eventOne+eventTwo+eventThree)
		check.Equal(t, "requests at upstreams", len(s.requests()), 1)
	})
	for name, part := range map[string]string{"a byte now and then": "i", "a comment now and then": ": wait\n\n"} {
		t.Run(name, func(t *testing.T) {
			s := newTestEntry(t, slowly(interval, false, eventOne, part, part, part, part, part), respondEvents(true, eventTwo, eventThree))
			start := time.Now()
			got := s.call(t, "/stream/", func(q *http.Request) { q.Header.Set("X-Deadline", "8000") })
			check.NoError(t, "call", got.err)
			check.Equal(t, "events", strings.ReplaceAll(got.body, ": wait\n\n", ""), eventOne+eventTwo+eventThree)
			check.AtMost(t, "ms until the end", time.Since(start).Milliseconds(), int64(interval.Milliseconds())+int64(minStreamPatience))
		})
	}
	t.Run("timeout follows the route", func(t *testing.T) {
		check.Equal(t, "short objectives", streamIdleTimeout(&config.Route{Objective: 400, EventGapObjective: 120}), minStreamPatience-patienceMargin)
		check.Equal(t, "long gaps", streamIdleTimeout(&config.Route{Objective: 400, EventGapObjective: 500}), 4000-patienceMargin)
	})
}

// Guards against responses in trouble that fill the memory of an entry, and against a
// refusal that claims that such a request has not run.
func TestEndlessBodies(t *testing.T) {
	endless := func(head string) responder {
		return func(q *http.Request) string {
			out := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n%s\r\n", q.Header.Get("X-Id"), head)
			return out + strings.Repeat(strings.Repeat("a", 1<<20), 9)
		}
	}
	t.Run("plain response", func(t *testing.T) {
		s := newTestEntry(t, closing([]responder{endless("")})...)
		got := s.call(t, "/once/", nil)
		check.Equal(t, "status", got.status, http.StatusBadGateway)
		check.Equal(t, "body bytes in use at the end", s.server.bodyMemory.InUse(), 0)
	})
	t.Run("beyond the memory of all bodies", func(t *testing.T) {
		s := newTestEntry(t, respondOK(strings.Repeat("a", 200)))
		s.server.MaxTotalBodyBytes = 50
		got := s.call(t, "/once/", nil)
		check.Equal(t, "status", got.status, http.StatusBadGateway)
		check.Equal(t, "body bytes in use at the end", s.server.bodyMemory.InUse(), 0)
	})
	t.Run("event without end", func(t *testing.T) {
		s := newTestEntry(t, closing([]responder{endless(""), respondEvents(true, eventOne)})...)
		got := s.call(t, "/stream/", nil)
		check.NoError(t, "call", got.err)
		check.Equal(t, "body", got.body, eventOne)
	})
}

// captureLog returns the lines of a level that an entry logs from now on.
func captureLog(t *testing.T, s *testEntry, level string) *bytes.Buffer {
	t.Helper()
	var lines bytes.Buffer
	log, err := event.NewLog(&lines, level, "entry", "e")
	check.NoError(t, "NewLog", err)
	s.server.Log = log
	return &lines
}

// Guards against log lines that do not tell how a stream broke off.
func TestBrokenStreamIsDescribed(t *testing.T) {
	for _, tc := range []struct {
		name   string
		broken responder
		want   string
	}{
		{"connection closed within an event", respondUntilClose(eventOne + "id: 2"), `"framing":"close"`},
		{"chunks break off", respondEvents(false, eventOne, "id: 2"), `"framing":"chunks"`},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, closing([]responder{tc.broken, respondEvents(true, eventTwo, eventThree)})...)
			lines := captureLog(t, s, "warning")
			check.NoError(t, "call", s.call(t, "/stream/", nil).err)
			for _, want := range []string{tc.want, `"unfinishedBytes":5`, `"events":1`} {
				check.Equal(t, "line has "+want, strings.Contains(lines.String(), want), true)
			}
		})
	}
}
