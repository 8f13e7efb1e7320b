package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// scriptedServer serves each connection with a list of scripted replies, one for
// each request; an empty reply closes the connection.
type scriptedServer struct {
	listener net.Listener
	accepted chan int
}

func serve(t *testing.T, connections ...[]string) *scriptedServer {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	p := &scriptedServer{l, make(chan int, len(connections)+1)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i, replies := range connections {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted <- i
			go serveConnection(c, replies)
		}
	}()
	return p
}

func serveConnection(c net.Conn, replies []string) {
	r := bufio.NewReader(c)
	for _, reply := range replies {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if reply == "" {
			break
		}
		_, _ = io.WriteString(c, reply)
	}
	_ = c.Close()
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

func request(id string) *Request {
	return &Request{Method: http.MethodPost, Target: "/a?b=c", Host: "h.example", Header: http.Header{}, IDHeader: "Request-Id", ID: id, MaxIdleTime: clock.Minute, HeadTimeout: 5 * clock.Second}
}

func exchange(p *Pool, address, id string) (string, error) {
	a, err := p.Exchange(context.Background(), address, request(id))
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(a)
	a.Close()
	return string(body), err
}

// Guards against responses that are delivered to another request, and against
// truncated ones that count as complete.
func TestResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
	for _, tc := range []struct {
		name, reply, body string
		err               error
	}{
		{"complete", reply("r1", "yes"), "yes", nil},
		{"late response to an earlier request first", reply("r0", "old") + reply("r1", "new"), "new", nil},
		{"only a response to another request", reply("r0", "old"), "", ErrBroken},
		{"ends early", head + "Content-Length: 9\r\n\r\nshort", "", ErrBroken},
		{"chunk ends early", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "", ErrBroken},
		{"no length, ends with the connection", head + "\r\nall", "all", nil},
		{"not an HTTP response", "\x00\x01 garbage\r\n\r\n", "", ErrMalformed},
		{"closed without a response", "", "", ErrBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := serve(t, []string{tc.reply})
			got, err := exchange(&Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1")
			if tc.err == nil {
				check.NoError(t, "exchange", err)
				check.Equal(t, "body", got, tc.body)
				return
			}
			check.Is(t, "exchange", err, tc.err)
		})
	}
}

// Guards against sending a request again that an upstream may have run, and
// against a refused connection that counts as a sent request.
func TestNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	address := l.Addr().String()
	check.NoError(t, "Close", l.Close())
	_, err = exchange(&Pool{Clock: clock.System()}, address, "r1")
	check.Is(t, "refused connection", err, ErrNotSent)
	check.Equal(t, "refused connection counts as sent", errors.Is(err, ErrBroken), false)
}

// Guards against a new connection for each request, and against the reuse of one
// that the peer has closed or that has unsolicited bytes to read.
func TestConnectionReuse(t *testing.T) {
	for _, tc := range []struct {
		name   string
		first  []string
		second []string
		dialed int64
	}{
		{"reused", []string{reply("r1", "a"), reply("r2", "b")}, nil, 1},
		{"closed by the peer", []string{reply("r1", "a")}, []string{reply("r2", "b")}, 2},
		{"unsolicited response after the first", []string{reply("r1", "a") + reply("r1", "a"), ""}, []string{reply("r2", "b")}, 2},
		{"Connection: close", []string{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", ""}, []string{reply("r2", "b")}, 2},
		{"idle timeout of 0", []string{"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nKeep-Alive: timeout=0\r\nContent-Length: 1\r\n\r\na", ""}, []string{reply("r2", "b")}, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := serve(t, tc.first, tc.second)
			now := clock.NewManual(0)
			pool := &Pool{Clock: now}
			address := p.listener.Addr().String()
			got, err := exchange(pool, address, "r1")
			check.NoError(t, "first", err)
			check.Equal(t, "first body", got, "a")
			waitClosed(pool, address, tc.name == "closed by the peer")
			now.Advance(1)
			got, err = exchange(pool, address, "r2")
			check.NoError(t, "second", err)
			check.Equal(t, "second body", got, "b")
			check.Equal(t, "connections", pool.Dialed(), tc.dialed)
		})
	}
}

// waitClosed waits, if closes is set, until the idle connection shows that the
// peer has closed it.
func waitClosed(p *Pool, address string, closes bool) {
	for closes {
		p.mu.Lock()
		reusable := p.idle[address][0].reusable()
		p.mu.Unlock()
		if !reusable {
			return
		}
	}
}

// Guards against a request that is sent although its caller has disconnected.
func TestNothingIsSentAfterCallerCancels(t *testing.T) {
	p := serve(t, []string{reply("r1", "a"), reply("r2", "b")})
	pool := &Pool{Clock: clock.System()}
	address := p.listener.Addr().String()
	_, err := exchange(pool, address, "r1")
	check.NoError(t, "first", err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = pool.Exchange(ctx, address, request("r2"))
	check.Is(t, "after cancellation", err, ErrNotSent)
	got, err := exchange(pool, address, "r2")
	check.NoError(t, "next request on the idle connection", err)
	check.Equal(t, "body of the next response", got, "b")
}

// Guards against an abandoned exchange that ends with an ordinary close: an
// upstream may take it for a half-close and run the request although nobody
// receives the response.
func TestAbandonedExchangeResetsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		_, _ = (&Pool{Clock: clock.System()}).Exchange(ctx, listener.Addr().String(), request("1")) // the test checks the upstream's side
	}()
	c, err := listener.Accept()
	check.NoError(t, "Accept", err)
	defer c.Close()
	r := bufio.NewReader(c)
	_, err = http.ReadRequest(r)
	check.NoError(t, "request", err)
	cancel()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err = io.Copy(io.Discard, r)
	check.Is(t, "end of the connection", err, syscall.ECONNRESET)
}

// Guards against a request that keeps waiting for a stalled upstream, and against
// a response that is lost because a stall check interrupted the wait.
func TestStalled(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	defer listener.Close()
	go func() {
		for c, err := listener.Accept(); err == nil; c, err = listener.Accept() {
			time.Sleep(3 * stallCheckInterval.Duration())
			_, _ = io.WriteString(c, reply("1", "late")) // the client reports a failed write
		}
	}()
	send := func(failOver bool) (*ResponseReader, error) {
		r := request("1")
		r.HeadTimeout = 5 * clock.Second
		r.ShouldFailOver = func() bool { return failOver }
		return (&Pool{Clock: clock.System()}).Exchange(context.Background(), listener.Addr().String(), r)
	}
	t.Run("stalled", func(t *testing.T) {
		_, err := send(true)
		check.Is(t, "exchange", err, ErrStalled)
		check.Is(t, "request may have been read", err, ErrBroken)
	})
	t.Run("slow", func(t *testing.T) {
		a, err := send(false)
		check.NoError(t, "exchange", err)
		body, err := io.ReadAll(a)
		check.NoError(t, "body", err)
		check.Equal(t, "body", string(body), "late")
	})
}

// Guards against hop-by-hop headers that are forwarded.
func TestEndToEnd(t *testing.T) {
	h := http.Header{"Connection": {"close, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"timeout=5"}, "X-End": {"2"}}
	got := EndToEnd(h)
	check.Equal(t, "headers", len(got), 1)
	check.Equal(t, "X-End", got.Get("X-End"), "2")
}
