package frame

import (
	"bufio"
	"context"
	"net"
	"time"

	"goldcrestshore/core/process/clock"
)

// acceptRetryDelay is the delay after a failed accept, such as when the process
// has no file descriptors left.
const acceptRetryDelay clock.Millis = 50

// CallServer replies to calls, which are messages of type M. The calls of one
// connection are handled one at a time. Its fields must be set before Run.
type CallServer[M Message] struct {
	// IdleTimeout is the time after which a connection without a call is closed.
	IdleTimeout clock.Millis
	// Handle returns the reply to a call.
	Handle func(ctx context.Context, call M) Message
	// OnUnexpected is called with the sender of a message of another type. Its
	// connection is closed.
	OnUnexpected func(from net.Addr)
	// OnError is called with errors from accepting connections and from encoding
	// replies.
	OnError func(err error)
}

// Run accepts connections until ctx is done, then closes the listener.
func (s *CallServer[M]) Run(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.OnError(err)
			clock.Sleep(ctx, acceptRetryDelay)
		default:
			go s.serve(ctx, c)
		}
	}
}

func (s *CallServer[M]) serve(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetDeadline(time.Now().Add(s.IdleTimeout.Duration()))
		id, message, err := Read(reader)
		if err != nil {
			return // the connection was closed, timed out or sent an invalid frame
		}
		call, ok := message.(M)
		if !ok {
			s.OnUnexpected(c.RemoteAddr())
			return
		}
		reply, err := Append(nil, id, s.Handle(ctx, call))
		if err != nil {
			s.OnError(err)
			return
		}
		if _, err := c.Write(reply); err != nil {
			return
		}
	}
}
