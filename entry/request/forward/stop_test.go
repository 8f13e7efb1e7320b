package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
)

// Guards against requests that a stopping entry takes although their responses can't be complete
// when the process is killed, and against refusals of those that will be.
func TestMayBeCut(t *testing.T) {
	const (
		grace   = 8 * clock.Second
		usual   = 2 * clock.Second
		timeout = 6 * clock.Second
	)
	for _, tc := range []struct {
		name string
		// at is the time since the stop signal.
		at       clock.Millis
		deadline clock.Millis
		route    string
		want     bool
	}{
		{"deadline passes in time", 0, timeout, "known", false},
		{"recent requests ended in time", 2 * clock.Second, timeout, "known", false},
		{"after the load balancer has left", 3 * clock.Second, timeout, "known", true},
		{"after the load balancer has left, deadline passes in time", 3 * clock.Second, 4 * clock.Second, "known", false},
		{"deadline passes too late", 6 * clock.Second, clock.Second + 1, "known", true},
		{"no recent request", 2 * clock.Second, timeout, "other", true},
		{"recent requests took too long", 2 * clock.Second, timeout, "slow", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := clock.NewManual(clock.Hour)
			s := &Server{Clock: c, GracePeriod: grace}
			r := &request{route: &config.Route{Name: tc.route}}
			s.durations.record(c.Now(), "known", usual)
			s.durations.record(c.Now(), "slow", 3*usual)
			r.deadline = c.Now() + 100*grace
			check.Equal(t, "before the stop signal", s.mayBeCut(r), false)
			s.beginStop()
			c.Advance(tc.at)
			r.deadline = c.Now() + tc.deadline
			check.Equal(t, "after it", s.mayBeCut(r), tc.want)
		})
	}
}

// Guards against durations that hold for ever, so that a stopping entry refuses requests because
// of a slow one long ago.
func TestDurationsExpire(t *testing.T) {
	var d durations
	now := clock.Hour
	d.record(now, "r", 5)
	d.record(now, "r", 3)
	longest, known := d.longest(now+durationAge, "r")
	check.Equal(t, "longest", longest, 5)
	check.Equal(t, "known", known, true)
	d.record(now+durationAge, "r", 4)
	longest, _ = d.longest(now+2*durationAge, "r")
	check.Equal(t, "longest after the first has expired", longest, 4)
	_, known = d.longest(now+5*durationAge, "r")
	check.Equal(t, "known after all have expired", known, false)
}

// Guards against a request that may run once at most, that comes on a kept connection after the
// stop signal, and that is passed on and then cut without an answer although requests like it
// have taken longer than the time that is left.
func TestLateRequestOfPlannedStopIsRefused(t *testing.T) {
	s := newTestEntry(t, respondOK("done"), respondOK("done"), respondOK("done"), respondOK("done"))
	stop := s.run(t, 8*clock.Second)
	early, late := dialCaller(t, s.server.Listen), dialCaller(t, s.server.Listen)
	for _, c := range []caller{early, late} {
		check.Equal(t, "before the stop signal", c.request(t, "r1"), "200 done")
	}
	stopped := stop()
	time.Sleep((3 * clock.Second / 2).Duration())
	check.Equal(t, "after it, in time", early.request(t, "r2"), "200 done")
	s.server.durations.record(s.server.Clock.Now(), "once", s.server.gracefulTime())
	check.Equal(t, "after it, too late", late.request(t, "r3"), "503 "+reasonStopping+"\n")
	check.Equal(t, "requests at upstreams", len(s.requests()), 3)
	check.NoError(t, "Run", <-stopped)
}

// Guards against callers that get no response because the entry that serves them is killed: one
// whose request may have run must not take it for one that has not, and one whose request waits
// for an upstream is to learn that it has not run.
func TestRequestsAreAnsweredBeforeTheKill(t *testing.T) {
	const slots = 3 * 4
	ended := make(chan struct{})
	hang := func(*http.Request) string {
		<-ended
		return ""
	}
	s := newTestEntry(t, slices.Repeat([]responder{hang}, slots)...)
	t.Cleanup(func() { close(ended) })
	stop := s.run(t, shutdownMargin+3*clock.Second/5) // ends before the request that waits gives up
	got := make(chan string, slots+1)
	for range slots + 1 {
		c := dialCaller(t, s.server.Listen)
		go func() { got <- c.request(t, "r") }()
	}
	check.Await(t, "requests at upstreams and one that waits", awaitTimeout, func() bool { return len(s.requests()) == slots && s.waiting() == 1 })
	stopped := stop()
	responses := make(map[string]int)
	for range slots + 1 {
		responses[<-got]++
	}
	check.Equal(t, "responses to requests at upstreams", responses["502 "+reasonStopping+"\n"], slots)
	check.Equal(t, "responses to the request that waits", responses["503 "+reasonStopping+"\n"], 1)
	check.NoError(t, "Run", <-stopped)
}

// run starts the server of the entry. The function that it returns sends the stop signal and
// returns a channel for the result.
func (s *testEntry) run(t *testing.T, grace clock.Millis) (stop func() <-chan error) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	s.server.Listen, s.server.GracePeriod = l.Addr().String(), grace
	check.NoError(t, "Close", l.Close())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Run(ctx) }()
	return func() <-chan error {
		cancel()
		return stopped
	}
}

// waiting returns the number of requests that wait for an upstream.
func (s *testEntry) waiting() int {
	s.server.Scheduler.mu.Lock()
	defer s.server.Scheduler.mu.Unlock()
	return len(s.server.Scheduler.waiting)
}

// awaitTimeout is how long tests wait for what an entry does in the background.
const awaitTimeout = 10 * time.Second

// caller is a caller with a connection of its own.
type caller struct{ net.Conn }

// dialCaller connects to an entry as soon as it listens.
func dialCaller(t *testing.T, address string) caller {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		c, err := net.Dial("tcp4", address)
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
			return caller{c}
		}
		if time.Now().After(end) {
			t.Fatalf("Dial: got error %v, want none", err)
		}
	}
}

// request sends a request that may run once and returns the status and the body.
func (c caller) request(t *testing.T, id string) string {
	t.Helper()
	_, err := io.WriteString(c, "POST /once/ HTTP/1.1\r\nHost: h.example\r\nX-Key: k1\r\nX-Deadline: 6000\r\nX-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	check.NoError(t, "write", err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	check.NoError(t, "ReadResponse", err)
	var body strings.Builder
	_, err = io.Copy(&body, resp.Body)
	check.NoError(t, "read", err)
	return fmt.Sprint(resp.StatusCode, " ", body.String())
}
