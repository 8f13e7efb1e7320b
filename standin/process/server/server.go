// Package server runs the HTTP server of a stand-in until it is told to stop.
package server

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// ShutdownTimeout bounds the wait for held requests after a stop signal.
const ShutdownTimeout = 30 * time.Second

// readHeaderTimeout closes connections that send no request.
const readHeaderTimeout = 30 * time.Second

// Server serves one handler on one listener.
type Server struct {
	// Handler answers the requests.
	Handler http.Handler
	// CancelOnStop ends the contexts of held requests at once when the server
	// stops. Set it where requests wait for events, as long polls do.
	CancelOnStop bool
}

// Run serves on listener until ctx ends, then finishes the held requests.
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

// Shutdown finishes the held requests of h; those left after StopLimit are broken off.
func Shutdown(h *http.Server) error {
	shutdownContext, cancel := context.WithTimeout(context.Background(), ShutdownTimeout)
	defer cancel()
	if err := h.Shutdown(shutdownContext); err != nil {
		return errors.CombineErrors(errors.Wrap(err, "shutdown"), h.Close())
	}
	return nil
}
