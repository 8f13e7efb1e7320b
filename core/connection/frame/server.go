package frame

import (
	"bufio"
	"context"
	"net"
	"time"

	"goldcrestshore/core/process/clock"
)

// acceptRetryDelay is the time after a connection that could not be accepted, as when
// the process has no descriptors left.
const acceptRetryDelay clock.Millis = 50

// CallServer answers messages of type M on each connection in turn. Its fields are set
// before Run.
type CallServer[M Message] struct {
	// IdleTimeout ends a connection on which no call comes for so long.
	IdleTimeout clock.Millis
	// Handle returns the answer to a call.
	Handle func(ctx context.Context, call M) Message
	// OnUnexpected is called with the sender of another message; its connection is
	// closed.
	OnUnexpected func(from net.Addr)
	// OnError is called with errors of accepting and of encoding.
	OnError func(err error)
}

// Run accepts connections until ctx is done, and closes the listener then.
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
			return // the caller has closed the connection or is gone
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
