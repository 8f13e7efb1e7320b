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

// failing is a listener that cannot accept.
type failing struct {
	net.Listener
	closed chan struct{}
}

func (f *failing) Accept() (net.Conn, error) { return nil, errors.New("no descriptors left") }
func (f *failing) Close() error              { close(f.closed); return nil }

// Guards against answers to the wrong call and against a peer of another kind that
// keeps its connection.
func TestCalls(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	unknown := make(chan net.Addr, 1)
	calls := Calls[*RankCall]{
		Idle: clock.Minute,
		Answer: func(_ context.Context, c *RankCall) Message {
			return &RankReply{Reply: group.Reply{Failure: "term", Outcome: int(c.Call.Term)}}
		},
		Unknown: func(from net.Addr) { unknown <- from },
		Failed:  func(err error) { t.Error(err) },
	}
	go calls.Run(ctx, l)
	c, err := net.Dial("tcp4", l.Addr().String())
	check.NoError(t, "Dial", err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	for term := range 3 {
		id := NewID(0, uint64(term))
		out, err := Append(nil, id, &RankCall{Call: group.Call{Term: int64(term)}})
		check.NoError(t, "Append", err)
		_, err = c.Write(out)
		check.NoError(t, "Write", err)
		got, m, err := Read(c)
		check.NoError(t, "Read", err)
		check.Equal(t, "id", got, id)
		check.Equal(t, "answer", m.(*RankReply).Reply.Outcome, term)
	}
	out, err := Append(nil, NewID(0, 9), &RankReply{})
	check.NoError(t, "Append", err)
	_, err = c.Write(out)
	check.NoError(t, "Write", err)
	<-unknown
	_, _, err = Read(c)
	check.Equal(t, "connection of an unknown peer is closed", err != nil, true)
}

// Guards against a process that spends a core on accepting when it has no
// descriptors left.
func TestAFailingListenerIsNotAskedWithoutPause(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), (4 * acceptPause).Duration())
	defer cancel()
	l := &failing{closed: make(chan struct{})}
	failed := 0
	calls := Calls[*RankCall]{Failed: func(error) { failed++ }}
	calls.Run(ctx, l)
	<-l.closed
	check.AtMost(t, "tries", failed, 5)
}
