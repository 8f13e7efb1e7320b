// Package http1 ends connections of HTTP/1 callers.
package http1

import (
	"net/http"
)

// Abort ends the response to q and closes the caller's connection so that the response
// does not look complete. It does not return.
func Abort(w http.ResponseWriter, q *http.Request) {
	if !q.ProtoAtLeast(1, 1) {
		// HTTP/1.0 has no chunks, whose missing end would show: only a reset differs from
		// the end of the body.
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset takes over the connection of w and resets it. If that fails, the server
// closes the connection.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // if this fails, an ordinary close is all that is left
	}
	_ = c.Close()
}
