package frame

import (
	"bufio"
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/reserve"
)

// acceptRetryDelay is the delay after a failed accept, such as when the process
// has no file descriptors left.
const acceptRetryDelay clock.Millis = 50

// maxCallConns bounds the connections to a CallServer. A process calls a few others at a time, on one
// connection each.
const maxCallConns = 64

// Memory of the calls and replies of a CallServer.
const (
	// maxCallMemoryBytes bounds the memory of all calls and replies together.
	maxCallMemoryBytes = 24 << 20
	// decodedRatio is the memory of a decoded call, as a multiple of its encoding: an empty list
	// has one byte there and a slice header here.
	decodedRatio = 25
)

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

// Run accepts connections until ctx is done, then closes the listener. When too many connections are
// open, the one that has done nothing for longest is closed; when calls and replies take too much
// memory, the one with most of it.
func (s *CallServer[M]) Run(ctx context.Context, l net.Listener) {
	conns := &connlimit.Set{Clock: clock.System(), Max: maxCallConns}
	limited, memory := &connlimit.Listener{Listener: l, Set: conns}, &reserve.Memory{}
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	for {
		c, err := limited.Accept()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			s.OnError(err)
			clock.Sleep(ctx, acceptRetryDelay)
		default:
			go s.serve(ctx, c.(*connlimit.Conn), memory)
		}
	}
}

func (s *CallServer[M]) serve(ctx context.Context, c *connlimit.Conn, memory *reserve.Memory) {
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	defer c.Close()
	reader := bufio.NewReader(c)
	for s.serveCall(ctx, c, reader, memory) {
		c.SetState(connlimit.Idle, 0)
	}
}

// serveCall serves the next call of a connection. It reports whether the connection may be used again.
func (s *CallServer[M]) serveCall(ctx context.Context, c *connlimit.Conn, reader *bufio.Reader, memory *reserve.Memory) bool {
	_ = c.SetDeadline(time.Now().Add(s.IdleTimeout.Duration())) // a closed connection fails the read
	if _, err := reader.Peek(1); err != nil {
		return false // the connection was closed or timed out
	}
	c.SetState(connlimit.Waiting, 0)
	share := memory.NewShare(maxCallMemoryBytes, func() { _ = c.Close() }) // the caller sees a closed connection
	share.Begin()
	defer share.Release()
	id, message, err := read(reader, func(length int) error { return grow(share, length*decodedRatio) })
	if err != nil {
		return false // the connection was closed, timed out, sent an invalid frame or had to give way
	}
	call, ok := message.(M)
	if !ok {
		s.OnUnexpected(c.RemoteAddr())
		return false
	}
	reply, err := Append(nil, id, s.Handle(ctx, call))
	if err != nil {
		s.OnError(err)
		return false
	}
	if grow(share, len(reply)) != nil {
		return false
	}
	_, err = c.Write(reply)
	return err == nil
}

// grow counts bytes of a call. The error is ErrTooLarge.
func grow(share *reserve.Share, bytes int) error {
	if !share.Grow(int64(bytes)) {
		return errors.Wrap(ErrTooLarge, "memory of calls")
	}
	return nil
}
