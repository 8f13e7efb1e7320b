package forward

import (
	"net/http"
	"slices"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/fleet"
)

// target is the upstream that a request is meant for.
func target(q *http.Request) string { return q.Header.Get(headers.Target) }

// drainingUpstreams returns the IDs of the plain upstreams that are draining.
func (s *testEntry) drainingUpstreams() []string {
	var out []string
	for id, u := range s.server.State.View().Upstreams() {
		if u.Draining {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

const leavingHeader = "X-Leaving: 1"

// Guards against new requests for an upstream that has said in an answer that it leaves, whatever the
// answer is, and against a statement that counts although it is not that of the upstream.
func TestLeavingIsLearnedFromAnswers(t *testing.T) {
	foreign := func(q *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Id: another\r\nX-Signature: s\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n" + respondOK("a")(q)
	}
	behind := func(q *http.Request) string {
		return respondOK("a")(q) + "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
	}
	noResponse := func(*http.Request) string { return "X-Leaving: 1\r\n\r\n" + closeMark }
	for _, tc := range []struct {
		name, path string
		respond    responder
		wantKnown  bool
	}{
		{"success", "/once/", withHeader(leavingHeader, respondOK("a")), true},
		{"failure", "/once/", status(http.StatusInternalServerError, leavingHeader+"\r\n"), true},
		{"failure that is sent again", "/again/", status(http.StatusInternalServerError, leavingHeader+"\r\n"), true},
		{"refusal", "/once/", status(http.StatusServiceUnavailable, "X-Not-Run: 1\r\n"+leavingHeader+"\r\n"), true},
		{"stream", "/stream/", withHeader(leavingHeader, respondEvents(true, eventOne, eventTwo)), true},
		{"answer without signature", "/once/", func(q *http.Request) string {
			return strings.Replace(withHeader(leavingHeader, respondOK("a"))(q), headers.Signature, "X-None", 1)
		}, true},
		{"answer to another request", "/once/", foreign, false},
		{"second answer behind the first", "/once/", behind, false},
		{"bytes that are no answer", "/once/", noResponse, false},
		{"answer of another upstream", "/once/", status(http.StatusMisdirectedRequest, leavingHeader+"\r\n"), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestEntry(t, append([]responder{tc.respond}, slices.Repeat([]responder{respondOK("later")}, 20)...)...)
			s.setStartTimes()
			s.call(t, tc.path, nil)
			first := target(s.requests()[0])
			want := ""
			if tc.wantKnown {
				want = first
			}
			check.Equal(t, "draining", strings.Join(s.drainingUpstreams(), " "), want)
			before := len(s.requests())
			for range 9 {
				check.Equal(t, "status of a later request", s.call(t, "/once/", nil).status, http.StatusOK)
			}
			for _, q := range s.requests()[before:] {
				if tc.wantKnown {
					check.Equal(t, "later request reaches the upstream that leaves", target(q) == first, false)
				}
			}
		})
	}
}

// setStartTimes registers when the upstreams have started.
func (s *testEntry) setStartTimes() {
	registered := make(map[string]*fleet.Upstream)
	for id, u := range s.server.State.View().Upstreams() {
		moved := *u
		moved.StartTime = 7
		registered[id] = &moved
	}
	s.server.State.SetUpstreams(registered)
}

// Guards against work that is cut off because its upstream says that it leaves.
func TestStreamOfLeavingUpstreamGoesOn(t *testing.T) {
	paused := withHeader(leavingHeader, respondEvents(true, eventOne, eventTwo, eventThree))
	s := newTestEntry(t, func(q *http.Request) string {
		return strings.Replace(paused(q), eventTwo, pauseMark+"300ms"+pauseMark+eventTwo, 1)
	})
	got := s.call(t, "/stream/", nil)
	check.NoError(t, "call", got.err)
	check.Equal(t, "events", got.body, eventOne+eventTwo+eventThree)
	check.Equal(t, "requests that reached upstreams", len(s.requests()), 1)
}
