package forward

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/process/quarantines"
	"goldcrestshore/entry/request/quarantine"
	"goldcrestshore/entry/version/fleet"
)

// warmQuarantine returns the quarantine of an entry that has served requests for a minute.
// Its clock stands still.
func warmQuarantine(log *event.Log) *quarantines.Service {
	c := clock.NewManual(clock.Hour)
	service := &quarantines.Service{Clock: c, Log: log}
	sound := quarantine.NewRequest([]quarantine.Fingerprint{1})
	service.Arrived(sound)
	service.Succeeded(sound)
	c.Advance(clock.Minute)
	return service
}

// crashPart is the part of a prompt that crashes the upstreams of crashableUpstreams.
const crashPart = "c0"

// crashableUpstreams replaces the upstreams of an entry by n others. Each crashes when it
// begins to respond to a request with crashPart in its prompt: it closes its connection and
// its listener. A request with the id "failing" it only fails. It returns the number of
// crashes.
func crashableUpstreams(t *testing.T, s *testEntry, n int) *atomic.Int64 {
	t.Helper()
	var crashes atomic.Int64
	registered := make(map[string]*fleet.Upstream)
	for i := range n {
		var listener net.Listener
		respond := func(q *http.Request) string {
			if q.Header.Get("X-Other") == "failing" {
				return status(http.StatusInternalServerError, "X-Signature: s\r\n")(q)
			}
			if !strings.Contains(q.Header.Get("X-Prompt"), crashPart+":") {
				return respondEvents(true, eventOne, eventTwo, eventThree)(q)
			}
			crashes.Add(1)
			_ = listener.Close()
			head, _, _ := strings.Cut(respondEvents(true)(q), "0\r\n")
			return head + closeMark
		}
		listener = s.listen(t, slices.Repeat([]responder{respond}, 10))
		id := fmt.Sprint("u", i)
		registered[id] = &fleet.Upstream{ID: id, Service: "plain", Address: listener.Addr().String(), Slots: 4}
	}
	s.server.State.SetUpstreams(registered)
	s.server.Scheduler.SetView(s.server.State.View())
	return &crashes
}

// streamPath is the path of the route of streams.
const streamPath = "/stream/"

// callWithPrompt calls the route of streams with the parts of a prompt. The id is also the
// value of another header that reaches the upstream.
func callWithPrompt(t *testing.T, s *testEntry, id string, parts ...string) callResult {
	t.Helper()
	return callTargetWithPrompt(t, s, streamPath, id, parts...)
}

// callTargetWithPrompt is callWithPrompt with another path or a query.
func callTargetWithPrompt(t *testing.T, s *testEntry, target, id string, parts ...string) callResult {
	t.Helper()
	return s.call(t, target, func(q *http.Request) {
		q.Header.Set("X-Id", id)
		q.Header.Set("X-Other", id)
		q.Header.Set("X-Prompt", strings.Join(parts, ":40,")+":40")
	})
}

// Guards against a crashed upstream whose log does not tell which requests it was running
// and what they share with others.
func TestCrashIsLogged(t *testing.T) {
	s := newTestEntry(t)
	crashableUpstreams(t, s, 1)
	lines := captureLog(t, s, "warning")
	callWithPrompt(t, s, "r1", "a0", crashPart, "b1")
	_, line, found := strings.Cut(lines.String(), "request was in flight when its upstream crashed")
	check.Equal(t, "line of the crash", found, true)
	line, _, _ = strings.Cut(line, "\n")
	for _, want := range []string{`"request":"r1"`, `"upstream":"u0"`, `"fingerprints":["`} {
		check.Equal(t, "line has "+want, strings.Contains(line, want), true)
	}
}

// Guards against requests that share one part of their prompts and crash one upstream after
// the other, although no two of them are alike, and against sound requests of the same
// customer that are refused with them.
func TestPartThatCrashesUpstreams(t *testing.T) {
	testCrashes(t, func(i int) (string, []string) { return streamPath, []string{"a0", crashPart, fmt.Sprint("c", i)} })
}

// Guards against one request that crashes an upstream each time it comes again.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	testCrashes(t, func(int) (string, []string) { return streamPath, []string{"a0", crashPart} })
}

// Guards against a request that crashes an upstream each time it comes again, with another query
// beside the same path, customer and body.
func TestRequestWithOtherQueryThatCrashesUpstreams(t *testing.T) {
	testCrashes(t, func(i int) (string, []string) {
		return fmt.Sprint(streamPath, "?attempt=", i), []string{"a0", crashPart}
	})
}

// testCrashes sends requests with the targets and prompts, all of which crash upstreams, between sound
// ones that share their first part. An upstream that fails one for another reason is no sign
// that it is sound.
func testCrashes(t *testing.T, request func(i int) (target string, prompt []string)) {
	const upstreams, maxCrashes = 6, 2
	s := newTestEntry(t)
	crashes := crashableUpstreams(t, s, upstreams)
	for i := range 2 {
		check.Equal(t, "status of a sound request before", callWithPrompt(t, s, fmt.Sprint("before", i), "a0", fmt.Sprint("b", i)).status, http.StatusOK)
	}
	call := func(id string, i int) callResult {
		target, prompt := request(i)
		return callTargetWithPrompt(t, s, target, id, prompt...)
	}
	check.Equal(t, "status of a request that an upstream fails", call("failing", 0).status, http.StatusInternalServerError)
	for i := range upstreams {
		call(fmt.Sprint("crash", i), i)
	}
	check.Equal(t, "crashed upstreams", crashes.Load(), maxCrashes)
	refused := call("refused", upstreams)
	check.Equal(t, "status of a request with the part", refused.status, http.StatusServiceUnavailable)
	check.Equal(t, "Retry-After is set", refused.header.Get("Retry-After") != "", true)
	sound := callWithPrompt(t, s, "after", "a0", "e")
	check.NoError(t, "sound request", sound.err)
	check.Equal(t, "body of a sound request", sound.body, eventOne+eventTwo+eventThree)
}
