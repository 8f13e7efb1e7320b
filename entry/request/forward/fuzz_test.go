package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/fleet"
)

// fuzzAddresses is the number of addresses of a fuzzed upstream, so that the ports of closed
// connections suffice for some hundred inputs a second.
const fuzzAddresses = 16

// fuzzedEntry is an entry in front of upstreams that answer each request with the same bytes and
// close the connection. Each input gets upstreams and paths of its own, since earlier failures
// keep requests from an upstream.
type fuzzedEntry struct {
	*testEntry
	response  atomic.Pointer[string]
	addresses []string
	inputs    int
}

func newFuzzedEntry(f *testing.F) *fuzzedEntry {
	f.Helper()
	e := &fuzzedEntry{testEntry: newTestEntry(f)}
	for i := range fuzzAddresses {
		l, err := net.Listen("tcp4", fmt.Sprintf("127.0.1.%d:0", i+1))
		check.NoError(f, "Listen", err)
		f.Cleanup(func() { _ = l.Close() })
		e.addresses = append(e.addresses, l.Addr().String())
		go e.serveAll(l)
	}
	return e
}

func (e *fuzzedEntry) serveAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveOne(c)
	}
}

// serveOne answers one request.
func (e *fuzzedEntry) serveOne(c net.Conn) {
	defer c.Close()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, q.Body) // the entry may abort the request
	e.mu.Lock()
	e.received = append(e.received, q)
	e.mu.Unlock()
	_, _ = io.WriteString(c, *e.response.Load())
}

// next makes upstreams answer with a response from now on. It returns a path below a route's.
func (e *fuzzedEntry) next(response, route string) string {
	e.response.Store(&response)
	e.mu.Lock()
	e.received = nil
	e.mu.Unlock()
	e.inputs++
	upstreams := make(map[string]*fleet.Upstream)
	for i := range 3 {
		id := fmt.Sprintf("u%d-%d", e.inputs, i)
		upstreams[id] = &fleet.Upstream{ID: id, Service: "plain", Address: e.addresses[(e.inputs+i)%fuzzAddresses], Slots: 4}
	}
	e.server.State.SetUpstreams(upstreams)
	return fmt.Sprintf("%s%d", route, e.inputs)
}

// FuzzResponse lets an upstream answer with any bytes. A caller gets a response of the protocol:
// that of the upstream, signed, or a failure of the entry, which bears no signature. What looks
// complete is a whole response to the caller's own request, and only a stream may look incomplete.
func FuzzResponse(f *testing.F) {
	const signed = "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signature: s\r\n"
	responses := []string{
		signed + "Content-Length: 3\r\n\r\nown",
		signed + "\r\nown",
		signed + "Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n",
		signed + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + "14\r\nid: 1\ndata: one two\n\n\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n" + signed + "Content-Length: 3\r\n\r\nown",
		"HTTP/1.1 000 X\r\nX-Id: r1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n",
		strings.Replace(signed, "200", "503", 1) + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		strings.Replace(signed, "200", "500", 1) + "Content-Length: 0\r\n\r\n",
		strings.Replace(signed, "r1", "r0", 1) + "Content-Length: 3\r\n\r\nold" + signed + "Content-Length: 3\r\n\r\nown",
		strings.Replace(signed, "200", "204", 1) + "\r\n",
		strings.Replace(signed, "200", "600", 1) + "Content-Length: 0\r\n\r\n",
		strings.Replace(signed, "200", "100", 1) + "Content-Length: 70\r\n\r\n" + signed + "Content-Length: 7\r\n\r\nforeign",
		strings.TrimSuffix(signed, "\r\n") + "\r\n folded\r\nContent-Length: 0\r\n\r\n", // found by fuzzing: the signature goes on in the next line
		"\x00\x01", "",
	}
	var sound [][]byte
	for i, response := range responses {
		f.Add([]byte(response), uint8(0))
		f.Add([]byte(response), uint8(2))
		if i < 5 {
			sound = append(sound, []byte(response))
		}
	}
	for i, m := range check.Mutations(300, sound...) {
		f.Add(m, uint8(i/len(sound)))
	}
	e := newFuzzedEntry(f)
	f.Fuzz(func(t *testing.T, response []byte, route uint8) {
		routes := []string{"/once/", "/again/", "/stream/"}
		path := e.next(string(response), routes[int(route)%len(routes)])
		got := e.call(t, path, func(q *http.Request) { q.Header.Set("X-Deadline", "400") })
		if got.err != nil {
			check.Equal(t, "response that looks incomplete is a stream", routes[int(route)%len(routes)], "/stream/")
			return
		}
		check.Equal(t, "status is one of a final response", got.status >= 200 && got.status < 600, true)
		if got.status < 300 {
			check.Equal(t, "success is signed", got.header.Get("X-Signature") != "", true)
		}
		if got.header.Get("X-Signature") != "" {
			checkIsOwn(t, string(response), got)
		}
	})
}

// checkIsOwn fails the test unless a signed response is part of what the upstream has written. White
// space is left out: lines of a head may be folded.
func checkIsOwn(t *testing.T, written string, got callResult) {
	t.Helper()
	compact := func(s string) string { return strings.Join(strings.Fields(s), "") }
	all := compact(written)
	check.Equal(t, "upstream has written the signature", strings.Contains(all, compact(got.header.Get("X-Signature"))), true)
	check.Equal(t, "upstream has named the request", strings.Contains(strings.ToLower(all), "x-id:r1"), true)
	if strings.Contains(strings.ToLower(written), "chunked") {
		return // sizes of chunks are between the parts of the body
	}
	for part := range strings.SplitSeq(got.body, "\n") {
		check.Equal(t, "upstream has written the body", strings.Contains(all, compact(part)), true)
	}
}

// FuzzCaller lets a caller send any head. The entry answers it with a response of the protocol or
// closes the connection, and goes on; an upstream gets no request that the caller has not sent.
func FuzzCaller(f *testing.F) {
	const head = "POST /once/a HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Key: k1\r\n"
	for _, request := range []string{
		head + "Content-Length: 2\r\n\r\nin",
		head + "X-Deadline: -5\r\nContent-Length: 0\r\n\r\n",
		head + "X-Deadline: 9223372036854775807\r\nContent-Length: 0\r\n\r\n",
		head + "X-Tokens: -1,99999999999\r\nX-Parts: a:1,b:-5,:,zz:9e9\r\nContent-Length: 0\r\n\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nin\r\n0\r\n\r\n",
		head + "Last-Event-Id: \xff\r\nContent-Length: 0\r\n\r\n",
		"GET /%zz HTTP/1.1\r\n\r\n", "\r\n",
	} {
		f.Add([]byte(request))
		for _, m := range check.Mutations(60, []byte(request)) {
			f.Add(m)
		}
	}
	e := newFuzzedEntry(f)
	f.Fuzz(func(t *testing.T, request []byte) {
		next := e.next(respondOK("yes")(&http.Request{Header: http.Header{"X-Id": {"r1"}}}), "/again/")
		c, err := net.Dial("tcp4", e.httpServer.Listener.Addr().String())
		check.NoError(t, "Dial", err)
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		_, _ = c.Write(request) // the entry may close the connection at any byte
		_ = c.(*net.TCPConn).CloseWrite()
		answer, _ := io.ReadAll(c)
		_ = c.Close()
		if len(answer) > 0 {
			check.Equal(t, "answer begins like a response", strings.HasPrefix(string(answer), "HTTP/1."), true)
		}
		for _, q := range e.requests() {
			check.Equal(t, "customer", q.Header.Get("X-Customer"), "one")
			check.Equal(t, "key is not passed on", q.Header.Get("X-Key"), "")
		}
		check.Equal(t, "status of the next request", e.call(t, next, nil).status, http.StatusOK)
	})
}

// FuzzEvents splits any bytes of a stream into events. What is forwarded is what has arrived, and
// no part of an event.
func FuzzEvents(f *testing.F) {
	for _, stream := range []string{eventOne + eventTwo, "id: 1\r\ndata: x\r\n\r\n: comment\n\n", "\n\n\r\r", "id:\n", "data: HTTP/1.1 200 X\n\n"} {
		f.Add([]byte(stream), 3)
		for i, m := range check.Mutations(200, []byte(stream)) {
			f.Add(m, i%40)
		}
	}
	f.Fuzz(func(t *testing.T, stream []byte, cut int) {
		n := completeEventsLen(stream)
		if n < 0 || n > len(stream) {
			t.Fatalf("complete events: got %d of %d bytes", n, len(stream))
		}
		events := stream[:n]
		first, last := firstEvent(events), lastEvent(events)
		check.Equal(t, "has a first event and a last one, or none", first == nil, last == nil)
		check.Equal(t, "an event is more than comments", hasEvent(events), first != nil)
		_ = parseEventID(last)
		if cut >= 0 && cut <= n {
			check.AtMost(t, "complete events of a part", completeEventsLen(stream[:cut]), n)
		}
		check.AtMost(t, "place of another response", anotherResponse(stream, true, "X-Id", "r1"), len(stream))
	})
}
