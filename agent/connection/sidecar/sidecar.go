// Package sidecar serves entries from beside a rank: heartbeats by datagrams,
// the calls of an owner of expert maps by TCP frames.
package sidecar

import (
	"context"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/process/orders"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

const (
	// heldTime is how long what an entry holds is believed after its last
	// heartbeat.
	heldTime clock.Millis = 1500
	// maxPeers bounds the addresses of other entries in an answer.
	maxPeers = 3
	// callIdle ends the connection of an owner that calls no more.
	callIdle = 20 * clock.Second
)

// Server answers entries. Exported fields are set before Run.
type Server struct {
	Clock  *clock.Clock
	Log    *event.Log
	Orders *orders.Orders
	// Listen is the address for datagrams and connections, ip:port.
	Listen string

	mu   sync.Mutex
	held map[string]holding
}

// holding is what one entry has said it holds.
type holding struct {
	held int
	at   clock.Millis
	// peer is the entry's address while the store serves it.
	peer string
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	s.held = make(map[string]holding)
	packets, err := net.ListenPacket("udp4", s.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for heartbeats")
	}
	listener, err := net.Listen("tcp4", s.Listen)
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "listen for owners"), packets.Close())
	}
	stop := context.AfterFunc(ctx, func() { _ = packets.Close() })
	defer stop()
	var running sync.WaitGroup
	running.Go(func() { s.heartbeats(ctx, packets) })
	running.Go(func() { s.owners(ctx, listener) })
	running.Wait()
	return nil
}

func (s *Server) heartbeats(ctx context.Context, c net.PacketConn) {
	frame.ServeDatagrams(ctx, c, s.malformed, func(id frame.ID, from net.Addr, holding *frame.EntryHeartbeat) {
		reply := s.load(&holding.EntryHeartbeat)
		out, err := frame.Append(nil, id, &frame.GroupLoad{Load: *reply})
		if err != nil {
			s.Log.Error(event.PeerMalformed, err, nil)
			return
		}
		_, _ = c.WriteTo(out, from) // a lost datagram is followed by another one
	})
}

func (s *Server) malformed(from net.Addr) {
	s.Log.Emit(event.PeerMalformed, event.Fields{"from": from.String()})
}

// load notes a heartbeat and sums up what others hold.
func (s *Server) load(h *group.EntryHeartbeat) *group.Load {
	term, age := s.Orders.RecordTerm(h.Term)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held[h.Entry] = holding{h.InFlight, now, h.Peer}
	out := &group.Load{Term: term, OwnerAge: int64(age), Slowdown: s.Orders.Slowdown()}
	for entry, held := range s.held {
		if now-held.at > heldTime {
			delete(s.held, entry)
			continue
		}
		out.Entries++
		if entry == h.Entry {
			continue
		}
		out.OthersInFlight += held.held
		if held.peer != "" && len(out.Peers) < maxPeers {
			out.Peers = append(out.Peers, held.peer)
		}
	}
	return out
}

// owners answers the calls of owners of maps.
func (s *Server) owners(ctx context.Context, l net.Listener) {
	calls := frame.CallServer[*frame.RankCall]{
		IdleTimeout: callIdle,
		Handle: func(ctx context.Context, call *frame.RankCall) frame.Message {
			return &frame.RankReply{Reply: *s.Orders.Serve(ctx, &call.Call)}
		},
		OnUnexpected: func(from net.Addr) { s.Log.Emit(event.PeerUnknownFrameKind, event.Fields{"from": from.String()}) },
		OnError:      func(err error) { s.Log.Error(event.PeerMalformed, err, nil) },
	}
	calls.Run(ctx, l)
}
