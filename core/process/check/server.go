package check

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// ServeConns calls serve for each connection to a new listener on loopback, which it closes
// when the test ends. A connection is closed when serve returns.
func ServeConns(t testing.TB, serve func(net.Conn)) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	NoError(t, "Listen", err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				serve(c)
			}()
		}
	}()
	return l
}

// ServeCopies answers each HTTP request with the response that next returns, after a copy of
// the response before it on the same connection. It returns its address.
func ServeCopies(t testing.TB, next func() string) string {
	t.Helper()
	return ServeConns(t, func(c net.Conn) {
		r, previous := bufio.NewReader(c), ""
		for q, err := http.ReadRequest(r); err == nil; q, err = http.ReadRequest(r) {
			_, _ = io.Copy(io.Discard, q.Body)
			response := next()
			_, _ = io.WriteString(c, previous+response)
			previous = response
		}
	}).Addr().String()
}
