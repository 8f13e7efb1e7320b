package frame

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// failingListener is a listener whose Accept always fails.
type failingListener struct {
	net.Listener
	closed chan struct{}
}

func (f *failingListener) Accept() (net.Conn, error) {
	return nil, errors.New("no file descriptors left")
}
func (f *failingListener) Close() error { close(f.closed); return nil }

// Guards against replies with the ID of another call, and against a connection
// that stays open after an unexpected message.
func TestCallServer(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	unknown := make(chan net.Addr, 1)
	server := CallServer[*RankCall]{
		IdleTimeout: clock.Minute,
		Handle: func(_ context.Context, c *RankCall) Message {
			return &RankReply{Reply: group.Reply{Failure: "term", Outcome: int(c.Call.Term)}}
		},
		OnUnexpected: func(from net.Addr) { unknown <- from },
		OnError:      func(err error) { t.Error(err) },
	}
	go server.Run(ctx, l)
	c, err := net.Dial("tcp4", l.Addr().String())
	check.NoError(t, "Dial", err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for term := range 3 {
		id := NewID(0, uint64(term))
		encodedMessage, err := Append(nil, id, &RankCall{Call: group.Call{Term: int64(term)}})
		check.NoError(t, "Append", err)
		_, err = c.Write(encodedMessage)
		check.NoError(t, "Write", err)
		got, m, err := Read(c)
		check.NoError(t, "Read", err)
		check.Equal(t, "id", got, id)
		check.Equal(t, "reply", m.(*RankReply).Reply.Outcome, term)
	}
	encodedMessage, err := Append(nil, NewID(0, 9), &RankReply{})
	check.NoError(t, "Append", err)
	_, err = c.Write(encodedMessage)
	check.NoError(t, "Write", err)
	<-unknown
	_, _, err = Read(c)
	check.Equal(t, "connection is closed after an unexpected message", err != nil, true)
}

// Guards against a busy loop in Run when Accept fails, as when the process has no
// file descriptors left.
func TestAcceptErrorsAreRetriedAfterDelay(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), (4 * acceptRetryDelay).Duration())
	defer cancel()
	l := &failingListener{closed: make(chan struct{})}
	failures := 0
	server := CallServer[*RankCall]{OnError: func(error) { failures++ }}
	server.Run(ctx, l)
	<-l.closed
	check.AtMost(t, "failed accepts", failures, 5)
}
