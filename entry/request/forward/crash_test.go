package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/entry/process/quarantines"
	"goldcrestshore/entry/version/fleet"
)

// warmQuarantine returns the quarantine of an entry that has served requests for a minute.
// Its clock stands still.
func warmQuarantine(log *event.Log) *quarantines.Service {
	c := clock.NewManual(clock.Hour)
	service := &quarantines.Service{Clock: c, Log: log}
	service.Arrived([]fingerprint.Fingerprint{1})
	service.Succeeded([]fingerprint.Fingerprint{1})
	c.Advance(clock.Minute)
	return service
}

// crashPart is the part of a prompt that crashes the upstreams of crashableUpstreams.
const crashPart = "c0"

// crashableUpstream is an upstream that crashes when it begins to respond to a request with
// crashPart in its prompt: it closes its connections and its listener.
type crashableUpstream struct {
	t       *testing.T
	address string

	mu       sync.Mutex
	listener net.Listener
	conns    []net.Conn
	crashes  int
}

// newCrashableUpstream starts an upstream on an address of its own.
func newCrashableUpstream(t *testing.T) *crashableUpstream {
	u := &crashableUpstream{t: t, address: "127.0.0.1:0"}
	u.start()
	t.Cleanup(u.stop)
	return u
}

// start makes the upstream listen, again on the same address after a crash.
func (u *crashableUpstream) start() {
	u.t.Helper()
	l, err := net.Listen("tcp4", u.address)
	check.NoError(u.t, "Listen", err)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.listener, u.address = l, l.Addr().String()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			u.mu.Lock()
			u.conns = append(u.conns, c)
			u.mu.Unlock()
			go u.serve(c)
		}
	}()
}

func (u *crashableUpstream) stop() {
	u.mu.Lock()
	defer u.mu.Unlock()
	_ = u.listener.Close()
	for _, c := range u.conns {
		_ = c.Close()
	}
	u.conns = nil
}

func (u *crashableUpstream) crashCount() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashes
}

func (u *crashableUpstream) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if strings.Contains(q.Header.Get("X-Prompt"), crashPart+":") {
			head, _, _ := strings.Cut(respondEvents(true)(q), "0\r\n")
			_, _ = io.WriteString(c, head)
			u.mu.Lock()
			u.crashes++
			u.mu.Unlock()
			u.stop()
			return
		}
		_, _ = io.WriteString(c, respondEvents(true, eventOne, eventTwo, eventThree)(q))
	}
}

// crashableUpstreams replaces the upstreams of an entry by n crashable ones.
func crashableUpstreams(t *testing.T, s *testEntry, n int) []*crashableUpstream {
	t.Helper()
	var all []*crashableUpstream
	registered := make(map[string]*fleet.Upstream)
	for i := range n {
		u := newCrashableUpstream(t)
		id := fmt.Sprint("u", i)
		registered[id] = &fleet.Upstream{ID: id, Service: "plain", Address: u.address, Slots: 4}
		all = append(all, u)
	}
	s.server.State.SetUpstreams(registered)
	s.server.Scheduler.SetView(s.server.State.View())
	return all
}

// callWithPrompt calls the route of streams with the parts of a prompt.
func callWithPrompt(t *testing.T, s *testEntry, id string, parts ...string) callResult {
	t.Helper()
	return s.call(t, "/stream/", func(q *http.Request) {
		q.Header.Set("X-Id", id)
		q.Header.Set("X-Prompt", strings.Join(parts, ":40,")+":40")
	})
}

// Guards against a crashed upstream whose log does not tell which requests it was running
// and what they share with others.
func TestCrashIsLogged(t *testing.T) {
	s := newTestEntry(t)
	crashableUpstreams(t, s, 1)
	var lines bytes.Buffer
	log, err := event.NewLog(&lines, "warning", "entry", "e")
	check.NoError(t, "NewLog", err)
	s.server.Log = log
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
	const upstreams, maxCrashes = 6, 2
	s := newTestEntry(t)
	all := crashableUpstreams(t, s, upstreams)
	for i := range 2 {
		check.Equal(t, "status of a sound request before", callWithPrompt(t, s, fmt.Sprint("before", i), "a0", fmt.Sprint("b", i)).status, http.StatusOK)
	}
	for i := range upstreams {
		callWithPrompt(t, s, fmt.Sprint("crash", i), "a0", crashPart, fmt.Sprint("c", i))
	}
	crashes := 0
	for _, u := range all {
		crashes += u.crashCount()
	}
	check.Equal(t, "crashed upstreams", crashes, maxCrashes)
	refused := callWithPrompt(t, s, "refused", "a0", crashPart, "d")
	check.Equal(t, "status of a request with the part", refused.status, http.StatusServiceUnavailable)
	check.Equal(t, "Retry-After is set", refused.header.Get("Retry-After") != "", true)
	sound := callWithPrompt(t, s, "after", "a0", "e")
	check.NoError(t, "sound request", sound.err)
	check.Equal(t, "body of a sound request", sound.body, eventOne+eventTwo+eventThree)
}
