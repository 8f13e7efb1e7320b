// Package server runs the HTTP server of a stand-in and shuts it down gracefully.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ShutdownTimeout bounds the wait for in-flight requests after a stop signal.
const ShutdownTimeout = 30 * time.Second

// readHeaderTimeout closes connections that send no complete request header in time.
const readHeaderTimeout = 30 * time.Second

// Server serves one handler on one listener.
type Server struct {
	Handler http.Handler
	// CancelOnStop cancels the contexts of in-flight requests as soon as the server
	// stops. Set it if requests wait for events, as long polls do.
	CancelOnStop bool
}

// Run serves on listener until ctx is cancelled, then shuts down gracefully.
func (s *Server) Run(ctx context.Context, listener net.Listener) error {
	baseContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := &http.Server{
		Handler:           s.Handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return baseContext },
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- h.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	if s.CancelOnStop {
		cancel()
	}
	return Shutdown(h)
}

// Shutdown waits for the in-flight requests of h and closes the connections that
// remain after ShutdownTimeout.
func Shutdown(h *http.Server) error {
	shutdownContext, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	if err := h.Shutdown(shutdownContext); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "shutdown"), h.Close())
	}
	return nil
}
