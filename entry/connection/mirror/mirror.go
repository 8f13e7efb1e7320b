// Package mirror lets an entry that the store turns away learn the store's
// objects from entries that it serves.
package mirror

import (
	"bufio"
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// ErrNoPeer means that no entry could tell what the store holds.
var ErrNoPeer = errors.New("no entry in step with the store was reached")

const (
	// askInterval is the time between two questions while the store is away.
	askInterval clock.Millis = 400
	askTimeout  clock.Millis = 600
	// idle ends the connection of an entry that asks no more.
	idle = 10 * clock.Second
)

// Objects are what an entry has read of the store.
type Objects interface {
	// Revisions returns the store's revision that each kind reflects.
	Revisions() []int64
	// Kinds returns all objects by kind.
	Kinds() []snapshot.Kind
	// Apply takes over the kinds that another entry has told.
	Apply([]snapshot.Kind)
}

// Mirror answers other entries, and asks them while the store does not serve
// this one. Exported fields are set before Run.
type Mirror struct {
	Log     *event.Log
	Objects Objects
	// Listen is the address for other entries, ip:port.
	Listen string
	// Served tells whether the store serves this entry.
	Served func() bool
	// Peers returns addresses of entries that the store serves.
	Peers func() []string
	// OnApplied is called after the objects of another entry were applied.
	OnApplied func()
}

// Run answers and asks until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", m.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for other entries")
	}
	go clock.Every(ctx, askInterval, func() { m.tend(ctx) })
	calls := frame.Calls[*frame.SnapshotAsk]{
		Idle: idle,
		Answer: func(_ context.Context, call *frame.SnapshotAsk) frame.Message {
			return &frame.SnapshotReply{Reply: m.reply(&call.Request)}
		},
		Unknown: func(from net.Addr) { m.Log.Emit(event.PeerUnknownFrameKind, event.Fields{"from": from.String()}) },
		Failed:  func(err error) { m.Log.Error(event.PeerMalformed, err, nil) },
	}
	calls.Run(ctx, l)
	return nil
}

// reply leaves out the kinds that the asking entry has.
func (m *Mirror) reply(a *snapshot.Request) snapshot.Reply {
	if !m.Served() {
		return snapshot.Reply{}
	}
	out := snapshot.Reply{Current: true, Kinds: m.Objects.Kinds()}
	for i := range out.Kinds {
		k := &out.Kinds[i]
		if i < len(a.Revisions) && a.Revisions[i] >= k.Revision {
			k.Unchanged, k.Objects = true, nil
		}
	}
	return out
}

// tend asks other entries while the store does not serve this one.
func (m *Mirror) tend(ctx context.Context) {
	if m.Served() {
		return
	}
	if err := m.ask(ctx); err != nil {
		return // the loss of the store has its own line in the log
	}
	m.OnApplied()
}

// ask takes over what the first entry that answers knows.
func (m *Mirror) ask(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
	defer cancel()
	for _, peer := range m.Peers() {
		reply, err := exchange(ctx, peer, m.Objects.Revisions())
		if err != nil {
			m.Log.Error(event.PeerLost, err, event.Fields{"peer": peer})
			continue
		}
		if !reply.Current {
			continue // the store serves it no longer either
		}
		m.Objects.Apply(reply.Kinds)
		return nil
	}
	return ErrNoPeer
}

func exchange(ctx context.Context, address string, versions []int64) (*snapshot.Reply, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if end, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(end)
	}
	out, err := frame.Append(nil, frame.NewID(0, 1), &frame.SnapshotAsk{Request: snapshot.Request{Revisions: versions}})
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(out); err != nil {
		return nil, err
	}
	_, message, err := frame.Read(bufio.NewReader(c))
	if err != nil {
		return nil, err
	}
	reply, ok := message.(*frame.SnapshotReply)
	if !ok {
		return nil, frame.ErrMalformed
	}
	return &reply.Reply, nil
}
