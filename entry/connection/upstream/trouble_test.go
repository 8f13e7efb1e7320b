package upstream

import (
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// maxTroubleBytes bounds the memory that one response in trouble may take; an entry
// has 150 MB for all of them.
const maxTroubleBytes = 2 << 20

// endless serves connections that receive prefix and then chunk again and again, after
// each interval, until the peer closes the connection.
func endless(t *testing.T, prefix, chunk string, interval time.Duration) string {
	t.Helper()
	bytes := []byte(chunk) // converted once, since the test counts allocations
	return check.ServeConns(t, func(c net.Conn) {
		_, err := io.WriteString(c, prefix)
		for err == nil {
			time.Sleep(interval)
			_, err = c.Write(bytes)
		}
	}).Addr().String()
}

// Guards against a back end in trouble whose bytes come without end and fill the memory
// of the process, or occupy a request until its deadline.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: "
	large := strings.Repeat("a", 32<<10)
	for _, tc := range []struct {
		name, prefix, chunk string
		interval            time.Duration
	}{
		{"status line", "HTTP/1.1 200 ", large, 0},
		{"one header line", head + "r1\r\nX-Long: ", large, 0},
		{"header after header", head + "r1\r\n", strings.Repeat("X-More: a\r\n", 1000), 0},
		{"bytes that are no response", "\x00", large, 0},
		{"interim responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 100), 0},
		{"body of another request's response", head + "r0\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + large + "\r\n", 0},
		{"body of another request's response without length", head + "r0\r\n\r\n", large, 0},
		{"header line, byte by byte", head + "r1\r\nX-Slow: ", "a", 50 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address := endless(t, tc.prefix, tc.chunk, tc.interval)
			r := request("r1")
			r.HeadTimeout = 0 // only the context bounds the request
			ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			_, err := (&Pool{Clock: clock.System()}).Exchange(ctx, address, r)
			runtime.ReadMemStats(&after)
			check.Is(t, "exchange", err, ErrBroken)
			check.AtMost(t, "ms until the failure", time.Since(start).Milliseconds(), 3000)
			check.AtMost(t, "bytes allocated", after.TotalAlloc-before.TotalAlloc, maxTroubleBytes)
		})
	}
}

// Guards against a second copy of a response that arrives late, on a connection that is
// in use again, and is delivered to the next caller.
func TestSecondCopyOfResponse(t *testing.T) {
	exchangeTwice := func(t *testing.T, pool *Pool, address, firstID, secondID string) string {
		t.Helper()
		_, err := exchange(pool, address, firstID)
		check.NoError(t, "first", err)
		got, err := exchange(pool, address, secondID)
		check.NoError(t, "second", err)
		return got
	}
	t.Run("before the next response", func(t *testing.T) {
		p := serve(t, []string{reply("r1", "a"), reply("r1", "a") + reply("r2", "b")})
		pool := &Pool{Clock: clock.System()}
		check.Equal(t, "second body", exchangeTwice(t, pool, p.listener.Addr().String(), "r1", "r2"), "b")
		check.Equal(t, "connections", pool.Dialed(), 1)
	})
	t.Run("caller uses an ID again", func(t *testing.T) {
		p := serve(t, []string{reply("r1", "a"), reply("r1", "a")}, []string{reply("r1", "b")})
		check.Equal(t, "second body", exchangeTwice(t, &Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1", "r1"), "b")
	})
	t.Run("caller sends no ID", func(t *testing.T) {
		p := serve(t, []string{reply("r1", "a"), reply("r1", "a")}, []string{reply("", "b")})
		check.Equal(t, "second body", exchangeTwice(t, &Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1", ""), "b")
	})
}
