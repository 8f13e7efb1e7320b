package forward

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/balance"
)

const unreadBytes = 4 << 20

// serveCallers serves an entry by its own server and returns the address for callers.
func serveCallers(t *testing.T, s *testEntry) string {
	t.Helper()
	s.server.limitCallers()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	served := make(chan error, 1)
	go func() { served <- s.server.callers.Serve(l) }()
	t.Cleanup(func() {
		check.NoError(t, "Close", s.server.callers.Close())
		check.Is(t, "Serve", <-served, http.ErrServerClosed)
	})
	return l.Addr().String()
}

// serveUnread serves an entry by its own server, sends a request whose response of unreadBytes nobody
// reads, and waits until the entry holds it. It returns the address for callers and the connection.
func serveUnread(t *testing.T, s *testEntry) (string, net.Conn) {
	t.Helper()
	address := serveCallers(t, s)
	c, err := net.Dial("tcp4", address)
	check.NoError(t, "Dial", err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
	_, err = io.WriteString(c, "GET /once/ HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Key: k1\r\n\r\n")
	check.NoError(t, "write", err)
	check.Await(t, "response held", awaitTimeout, func() bool { return s.server.bodyMemory.InUse() >= unreadBytes })
	return address, c
}

// Guards against callers that do not read their responses and keep the memory of all bodies, so that the
// responses of other callers are discarded and their upstreams count as failed.
func TestUnreadResponseGivesWay(t *testing.T) {
	const readBytes = 1 << 20
	s := newTestEntry(t, respondOK(strings.Repeat("a", unreadBytes)), respondOK(strings.Repeat("b", readBytes)))
	s.server.MaxTotalBodyBytes = unreadBytes + readBytes/2
	address, stuck := serveUnread(t, s)
	q, err := http.NewRequest("GET", "http://"+address+"/once/", nil)
	check.NoError(t, "NewRequest", err)
	q.Host = "h.example"
	q.Header = http.Header{"X-Id": {"r2"}, "X-Key": {"k1"}}
	resp, err := http.DefaultClient.Do(q)
	check.NoError(t, "Do", err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	check.NoError(t, "body", err)
	check.Equal(t, "status", resp.StatusCode, http.StatusOK)
	check.Equal(t, "body bytes", len(body), readBytes)
	_ = stuck.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := io.Copy(io.Discard, stuck)
	check.Equal(t, "unread response looks complete", err == nil && n >= unreadBytes, false)
}

// Guards against a caller that does not read its response and keeps a place at the upstream, which has
// sent all of it.
func TestUnreadResponseFreesUpstream(t *testing.T) {
	s := newTestEntry(t, respondOK(strings.Repeat("a", unreadBytes)))
	serveUnread(t, s)
	check.Await(t, "upstream is free", awaitTimeout, func() bool {
		var inFlight int
		s.server.Scheduler.WithBalancer(func(_ clock.Millis, b *balance.Balancer) { inFlight = len(b.InFlight()) })
		return inFlight == 0
	})
	check.Equal(t, "response is still being sent", s.server.bodyMemory.InUse() >= unreadBytes, true)
}
