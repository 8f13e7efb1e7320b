// Package mirror lets an entry that the store does not serve fetch the store's
// objects from entries that it serves. An entry that has started, or for which the store was
// restored from a backup, asks its neighbours for what the store has lost.
package mirror

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

// ErrNoPeer means that no entry that is up to date with the store was reached.
var ErrNoPeer = errors.New("no reachable entry is up to date with the store")

const (
	// pollInterval is the time between two polls while the store is unavailable.
	pollInterval clock.Millis = 400
	queryTimeout clock.Millis = 600
	// maxPolled bounds the entries that one poll tries. While the store serves none of them,
	// all entries poll.
	maxPolled = 4
	// idleTimeout closes the connection of an entry that sends no more requests.
	idleTimeout = 10 * clock.Second
)

// Objects are the objects that an entry has read from the store.
type Objects interface {
	// Positions returns the position of the store that each kind reflects.
	Positions() []snapshot.Position
	// Timeline returns the timeline of the store that the objects reflect, and whether the
	// store may lack what other entries know.
	Timeline() (timeline int64, uncertain bool)
	// Kinds returns by kind what the requesting entry does not have.
	Kinds(request *snapshot.Request) []snapshot.Kind
	// Apply applies the kinds received from another entry.
	Apply([]snapshot.Kind)
}

// Mirror serves requests from other entries and polls them while the store does
// not serve this one. Exported fields must be set before Run.
type Mirror struct {
	Log     *event.Log
	Objects Objects
	// Listen is the address on which to serve other entries, ip:port.
	Listen string
	// StoreAvailable reports whether the store serves this entry.
	StoreAvailable func() bool
	// Peers returns the addresses of other entries.
	Peers func() []string
	// OnApplied is called after objects of another entry, to which the store responds, have
	// been applied.
	OnApplied func()
	// OnSynced is called once the entry knows what its neighbours knew when it started, as far
	// as they respond in time.
	OnSynced func()

	neighbours neighbours
}

// Run serves and polls other entries until ctx is done.
func (m *Mirror) Run(ctx context.Context) error {
	l, err := net.Listen("tcp4", m.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for other entries")
	}
	go clock.Every(ctx, pollInterval, func() { m.pollPeers(ctx) })
	go m.followNeighbours(ctx)
	calls := frame.CallServer[*frame.SnapshotRequest]{
		IdleTimeout: idleTimeout,
		Handle: func(_ context.Context, call *frame.SnapshotRequest) frame.Message {
			return &frame.SnapshotReply{Reply: m.reply(&call.Request)}
		},
		OnUnexpected: func(from net.Addr) { m.Log.Emit(event.PeerUnknownFrameKind, event.Fields{"from": from.String()}) },
		OnError:      func(err error) { m.Log.Error(event.PeerMalformed, err, nil) },
	}
	calls.Run(ctx, l)
	return nil
}

// reply returns what the requesting entry does not have. An entry that the store does not
// serve only tells what it knew before.
func (m *Mirror) reply(request *snapshot.Request) snapshot.Reply {
	current := m.StoreAvailable()
	if !current && !request.WantReplaced {
		return snapshot.Reply{}
	}
	return snapshot.Reply{Current: current, Kinds: m.Objects.Kinds(request)}
}

// pollPeers fetches objects from other entries if the store does not serve this one.
func (m *Mirror) pollPeers(ctx context.Context) {
	if m.StoreAvailable() {
		return
	}
	if err := m.fetch(ctx); err != nil {
		return // the loss of the store is logged elsewhere
	}
	m.setSynced(neighboursReplied)
	m.OnApplied()
}

// fetch applies the objects of the first entry that replies and is up to date.
func (m *Mirror) fetch(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout.Duration())
	defer cancel()
	peers := m.shuffledPeers()
	for _, peer := range peers[:min(len(peers), maxPolled)] {
		reply, err := queryPeer(ctx, peer, &snapshot.Request{Positions: m.Objects.Positions()})
		if err != nil {
			m.Log.Error(event.PeerLost, err, event.Fields{"peer": peer})
			continue
		}
		if !reply.Current {
			continue // the store does not serve this peer either
		}
		m.Objects.Apply(reply.Kinds)
		return nil
	}
	return ErrNoPeer
}

// shuffledPeers returns the other entries in random order, so that not all entries call the same
// ones.
func (m *Mirror) shuffledPeers() []string {
	peers := slices.Clone(m.Peers())
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

func queryPeer(ctx context.Context, address string, request *snapshot.Request) (*snapshot.Reply, error) {
	var dialer net.Dialer
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if deadline, ok := ctx.Deadline(); ok {
		_ = c.SetDeadline(deadline)
	}
	out, err := frame.Append(nil, frame.NewID(0, 1), &frame.SnapshotRequest{Request: *request})
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
