package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

// Guards against a pause that is read wrong, and against one that is ignored because another value
// beside it can't be read.
func TestParseRetryAfter(t *testing.T) {
	const date = "Sat, 05 Dec 2026 12:00:00 GMT"
	for _, tc := range []struct {
		values []string
		want   clock.Millis
		wantOK bool
	}{
		{nil, 0, true},
		{[]string{"0"}, 0, true},
		{[]string{"4"}, 4000, true},
		{[]string{" 0.25 "}, 250, true},
		{[]string{"0.0001"}, 1, true},
		{[]string{""}, 0, false},
		{[]string{"-3"}, 0, false},
		{[]string{"NaN"}, 0, false},
		{[]string{"soon"}, 0, false},
		{[]string{"1e300"}, maxPause, true},
		{[]string{"Inf"}, maxPause, true},
		{[]string{"Sat, 05 Dec 2026 12:00:07 GMT"}, 7000, true},
		{[]string{"Sat, 05 Dec 2026 11:59:00 GMT"}, 0, true},
		{[]string{"2", "5", "3"}, 5000, true},
		{[]string{"2, 5"}, 5000, true},
		{[]string{"soon", "2"}, 2000, false},
	} {
		pause, ok := parseRetryAfter(tc.values, date)
		check.Equal(t, fmt.Sprintf("pause of %q", tc.values), pause, tc.want)
		check.Equal(t, fmt.Sprintf("%q can be read", tc.values), ok, tc.wantOK)
	}
}

// Guards against requests for an upstream that has turned one away and asked for a pause, and against
// a pause that is taken from an answer which does not ask for one.
func TestPauseIsLearnedFromAnswers(t *testing.T) {
	const notRun, pause = "X-Not-Run: 1\r\n", "Retry-After: 30\r\n"
	for _, tc := range []struct {
		name       string
		respond    responder
		wantPaused bool
	}{
		{"refusal", status(http.StatusServiceUnavailable, notRun+pause), true},
		{"too many requests", status(http.StatusTooManyRequests, notRun+pause), true},
		{"failure that may have run", status(http.StatusServiceUnavailable, pause), true},
		{"refusal without a pause", status(http.StatusServiceUnavailable, notRun), false},
		{"another failure", status(http.StatusInternalServerError, pause), false},
		{"success", withHeader("Retry-After: 30", respondOK("a")), false},
		{"answer of another upstream", status(http.StatusMisdirectedRequest, pause), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, append([]responder{tc.respond}, slices.Repeat([]responder{respondOK("later")}, 30)...)...)
			s.call(t, "/again/", nil)
			first := target(s.requests()[0])
			check.Equal(t, "paused upstreams", s.upstreamsInState(balance.Paused), map[bool]int{true: 1}[tc.wantPaused])
			for range 12 {
				check.Equal(t, "status of a later request", s.call(t, "/again/", nil).status, http.StatusOK)
			}
			if tc.wantPaused {
				for _, q := range s.requests()[1:] {
					check.Equal(t, "request reaches the paused upstream", target(q) == first, false)
				}
			}
		})
	}
}

// Guards against a line for each request of an upstream that asks for pauses that can't be read.
func TestUnreadablePauseIsLoggedOnce(t *testing.T) {
	refusal := status(http.StatusServiceUnavailable, "X-Not-Run: 1\r\nRetry-After: soon\r\n")
	s := newTestEntry(t, slices.Repeat([]responder{refusal}, 30)...)
	lines := captureLog(t, s, "info")
	for range 8 {
		s.call(t, "/again/", nil)
	}
	check.AtMost(t, "lines", strings.Count(lines.String(), `"unreadable":"soon"`), 3)
}

// Guards against callers that are told to return before any upstream takes requests again.
func TestCallersReturnAfterPause(t *testing.T) {
	refusal := status(http.StatusServiceUnavailable, "X-Not-Run: 1\r\nRetry-After: 20\r\n")
	s := newTestEntry(t, slices.Repeat([]responder{refusal}, 3)...)
	var last callResult
	for range 3 {
		last = s.call(t, "/once/", nil)
	}
	check.Equal(t, "status", last.status, http.StatusServiceUnavailable)
	last = s.call(t, "/once/", nil)
	check.Equal(t, "status of a later request", last.status, http.StatusServiceUnavailable)
	check.Equal(t, "requests that reached upstreams", len(s.requests()), 3)
	seconds, _ := parseRetryAfter(last.header.Values("Retry-After"), "")
	check.Equal(t, fmt.Sprint("Retry-After of ", seconds, " ms is after the pause"), seconds > 19*clock.Second, true)
}
