package frame

import (
	"bufio"
	"context"
	"net"
	"time"

	"goldcrestshore/core/process/clock"
)

// acceptPause is the time after a connection that could not be accepted, as when
// the process has no descriptors left.
const acceptPause clock.Millis = 50

// Calls answers messages of type M on each connection in turn. Its fields are set
// before Run.
type Calls[M Message] struct {
	// Idle ends a connection on which no call comes for so long.
	Idle clock.Millis
	// Answer returns the answer to a call.
	Answer func(ctx context.Context, call M) Message
	// Unknown is called with the sender of another message; its connection is
	// closed.
	Unknown func(from net.Addr)
	// Failed is called with errors of accepting and of encoding.
	Failed func(err error)
}

// Run accepts connections until ctx is done, and closes the listener then.
func (s *Calls[M]) Run(ctx context.Context, l net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.Failed(err)
			clock.Sleep(ctx, acceptPause)
		default:
			go s.serve(ctx, c)
		}
	}
}

func (s *Calls[M]) serve(ctx context.Context, c net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetDeadline(time.Now().Add(s.Idle.Duration()))
		id, message, err := Read(reader)
		if err != nil {
			return // the caller has closed the connection or is gone
		}
		call, ok := message.(M)
		if !ok {
			s.Unknown(c.RemoteAddr())
			return
		}
		out, err := Append(nil, id, s.Answer(ctx, call))
		if err != nil {
			s.Failed(err)
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}
