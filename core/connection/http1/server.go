// Package http1 serves callers of HTTP/1 that need not behave: it bounds their connections, the memory
// of the heads of their requests, and the time in which they have to send and to read.
package http1

import (
	"context"
	"net"
	"net/http"

	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/reserve"
)

// timeoutMargin is added to the time limits, so that what a caller sends just in time still arrives.
const timeoutMargin = 2 * clock.Second

// Timeouts are the time limits of callers.
type Timeouts struct {
	// Head is the time for sending the head of a request.
	Head clock.Millis
	// Idle is the time between two requests on a connection.
	Idle clock.Millis
	// Write is the time in which a caller has to read some of what is sent to it.
	Write clock.Millis
}

// Reasons for which a server closes connections, beside those of connlimit.
const (
	// ClosedHeadMemory means that the head of a request took memory that others need.
	ClosedHeadMemory connlimit.Reason = "headMemory"
	// ClosedUnread means that a response that its caller did not read took memory that others need.
	ClosedUnread connlimit.Reason = "unread"
	// ClosedAhead means that a caller had sent requests ahead while others had no connection.
	ClosedAhead connlimit.Reason = "ahead"
)

// Server serves callers. Exported fields must be set before Serve.
type Server struct {
	Clock   *clock.Clock
	Handler http.Handler
	// MaxConns bounds the open connections, 0 for any number.
	MaxConns int
	// MaxHeadBytes bounds the head of one request.
	MaxHeadBytes int
	// MaxHeadMemoryBytes bounds the memory of the heads of all requests together, as far as they
	// are larger than ordinary ones.
	MaxHeadMemoryBytes int64
	// Timeouts returns the time limits in force.
	Timeouts func() Timeouts
	// SendBufferBytes is the size of the send buffer of a connection, 0 for that of the system. The
	// kernel doubles the value for its bookkeeping.
	SendBufferBytes int
	// UserTimeout closes a connection whose peer has accepted no data for this long, 0 for the time
	// of the system.
	UserTimeout clock.Millis
	// OnClose is called for each connection that is closed because of a limit; it may be nil.
	OnClose func(connlimit.Reason)

	conns      connlimit.Set
	headMemory reserve.Memory
	server     http.Server
}

// Conns returns the number of open connections.
func (s *Server) Conns() int { return s.conns.Len() }

// Serve serves the connections that l accepts until Shutdown is called. It always returns an error,
// http.ErrServerClosed after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	s.conns.Clock, s.conns.Max, s.conns.OnClose = s.Clock, s.MaxConns, s.count
	s.server.Handler, s.server.MaxHeaderBytes = s, s.MaxHeadBytes
	s.server.ConnState, s.server.ConnContext = trackState, withConn
	sweeping, stop := context.WithCancel(context.Background())
	defer stop()
	go clock.Every(sweeping, connlimit.SweepInterval, s.conns.CloseOverdue)
	return s.server.Serve(&listener{connlimit.Listener{Listener: l, Set: &s.conns}, s})
}

// Shutdown closes the listener and the idle connections, and waits for requests in flight until ctx
// is done.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// Close closes the listener and all connections at once.
func (s *Server) Close() error { return s.server.Close() }

// listener wraps the connections of callers.
type listener struct {
	connlimit.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := c.(*connlimit.Conn)
	l.server.setSocketLimits(limited.Conn)
	return newConn(l.server, limited), nil
}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// trackState makes connections idle after a response, and frees the memory of their heads.
func trackState(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.(*conn).end()
	case http.StateClosed, http.StateHijacked:
		c.(*conn).head.Release()
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	connOf(q.Context()).begin(q.ContentLength)
	s.Handler.ServeHTTP(w, q)
}

func (s *Server) count(reason connlimit.Reason) {
	if s.OnClose != nil {
		s.OnClose(reason)
	}
}
