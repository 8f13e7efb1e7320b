package engine

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/standin/process/server"
)

// relistenInterval is the interval between attempts to listen on the address again.
const relistenInterval = 20 * time.Millisecond

// Observer is notified of crashes and restarts.
type Observer interface {
	// Crashed is called when the engine has crashed and refuses connections.
	Crashed(c Counts)
	// Restarted is called when the engine listens again after a crash.
	Restarted()
}

// Run serves on listener until ctx is cancelled, then waits for the in-flight
// requests. After a crash it refuses connections for RestartMs and listens again.
func (e *Engine) Run(ctx context.Context, listener net.Listener, o Observer) error {
	address := listener.Addr().String()
	for {
		failed, err := e.serveIncarnation(ctx, listener)
		if !failed {
			return err
		}
		o.Crashed(e.Counts())
		if !sleep(ctx, e.options.RestartMs.Duration()) {
			return nil
		}
		if listener, err = relisten(ctx, address); err != nil {
			return err
		}
		e.restart()
		o.Restarted()
	}
}

// serveIncarnation serves one incarnation and reports whether it crashed.
func (e *Engine) serveIncarnation(ctx context.Context, listener net.Listener) (failed bool, err error) {
	httpServer := &http.Server{Handler: e, ConnContext: e.limitSendBuffer}
	ended := make(chan error, 1)
	go func() { ended <- httpServer.Serve(listener) }()
	select {
	case err := <-ended:
		return false, errors.Wrap(err, "serve")
	case <-e.currentLifetime().ctx.Done():
		return true, httpServer.Close()
	case <-ctx.Done():
		return false, server.Shutdown(httpServer)
	}
}

// limitSendBuffer sets the size of a connection's send buffer.
func (e *Engine) limitSendBuffer(ctx context.Context, c net.Conn) context.Context {
	if tcp, ok := c.(*net.TCPConn); ok && e.options.SendBufferBytes > 0 {
		_ = tcp.SetWriteBuffer(e.options.SendBufferBytes)
	}
	return ctx
}

// relisten listens on the address of the crashed incarnation, retrying until it
// succeeds or ctx is cancelled.
func relisten(ctx context.Context, address string) (net.Listener, error) {
	for {
		listener, err := net.Listen("tcp", address)
		if err == nil {
			return listener, nil
		}
		if !sleep(ctx, relistenInterval) {
			return nil, errors.Wrap(err, "listen again after a crash")
		}
	}
}
