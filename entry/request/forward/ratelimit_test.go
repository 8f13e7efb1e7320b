package forward

import (
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

// withHeader adds a header line to a response.
func withHeader(line string, respond responder) responder {
	return func(q *http.Request) string { return strings.Replace(respond(q), "\r\n", "\r\n"+line+"\r\n", 1) }
}

// upstreamsInState returns how many upstreams of the plain service are in a state.
func (s *testEntry) upstreamsInState(state balance.State) int {
	n := 0
	s.server.Scheduler.WithBalancer(func(now clock.Millis, b *balance.Balancer) {
		for _, st := range b.Status(now) {
			if st.Service == "plain" {
				n = st.Upstreams[state]
			}
		}
	})
	return n
}

// Guards against a limit that is missed because the upstream states it in a refusal or a
// failure, or that stays in force after the upstream has stopped stating it.
func TestStatedRateLimitIsRecorded(t *testing.T) {
	limited := func(respond responder) responder { return withHeader("X-Rate-Limit: 2.5", respond) }
	for _, tc := range []struct {
		name       string
		responders []responder
		want       int
	}{
		{"success", []responder{limited(respondOK("y"))}, 1},
		{"refusal", []responder{limited(status(503, "X-Not-Run: 1\r\n")), respondOK("y")}, 1},
		{"failure", []responder{limited(status(500, "X-Signature: s\r\n"))}, 1},
		{"none", []responder{respondOK("y")}, 0},
		{"zero", []responder{withHeader("X-Rate-Limit: 0", respondOK("y"))}, 1},
		{"unreadable", []responder{withHeader("X-Rate-Limit: few", respondOK("y"))}, 0},
		{"negative", []responder{withHeader("X-Rate-Limit: -1", respondOK("y"))}, 0},
		{"not a number", []responder{withHeader("X-Rate-Limit: NaN", respondOK("y"))}, 0},
		{"another upstream's", []responder{limited(status(421, "")), respondOK("y")}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, tc.responders...)
			s.call(t, "/once/", nil)
			check.Equal(t, "upstreams that state a limit", s.upstreamsInState(balance.RateLimited), tc.want)
		})
	}
}

// Guards against a limit that holds at an upstream although its last response states none.
func TestRateLimitEndsWithItsStatement(t *testing.T) {
	const (
		upstreams = 3
		maxCalls  = 200 // bounds the calls until each upstream has got two
	)
	var stating atomic.Bool
	respond := func(q *http.Request) string {
		if stating.Load() {
			return withHeader("X-Rate-Limit: 10000", respondOK("y"))(q)
		}
		return respondOK("y")(q)
	}
	s := newTestEntry(t, slices.Repeat([]responder{respond}, maxCalls)...)
	for _, phase := range []struct {
		name    string
		stating bool
		// limited returns how many upstreams are limited once some have been called.
		limited func(called int) int
	}{
		{"stated", true, func(called int) int { return called }},
		{"no longer stated", false, func(called int) int { return upstreams - called }},
	} {
		stating.Store(phase.stating)
		called := make(map[string]bool)
		for len(called) < upstreams && len(s.requests()) < maxCalls {
			s.call(t, "/once/", nil)
			requests := s.requests()
			called[requests[len(requests)-1].Header.Get(headers.Target)] = true
			check.Equal(t, "limited upstreams, "+phase.name, s.upstreamsInState(balance.RateLimited), phase.limited(len(called)))
		}
		check.Equal(t, "upstreams called, "+phase.name, len(called), upstreams)
	}
}

// Guards against a limit without an end, with which turns are counted as no number from then on,
// also for the limits that follow it.
func TestRateLimitIsFinite(t *testing.T) {
	for _, stated := range []string{"Inf", "+Inf", "1e308", "1e30"} {
		t.Run(stated, func(t *testing.T) {
			perSecond, ok := parseRateLimit(stated)
			check.Equal(t, "is read", ok, true)
			check.AtMost(t, "requests per second", perSecond, 1e6)
		})
	}
}
