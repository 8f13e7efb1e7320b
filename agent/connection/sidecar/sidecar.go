// Package sidecar serves entries in the agent of a rank: heartbeats arrive as UDP
// datagrams, and calls of the owner of expert maps as frames over TCP.
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
	// heartbeatMaxAge is how long the in-flight count of an entry is used after
	// its last heartbeat.
	heartbeatMaxAge clock.Millis = 1500
	// maxEntries bounds the entries whose heartbeats are kept: anybody can send a datagram.
	maxEntries = 1024
	// maxPeers limits the addresses of other entries in a reply.
	maxPeers = 3
	// callIdleTimeout closes the connection of an owner that has stopped calling.
	callIdleTimeout = 20 * clock.Second
)

// Server replies to entries. Exported fields are set before Run.
type Server struct {
	Clock    *clock.Clock
	Log      *event.Log
	Executor *orders.Executor
	// Listen is the address for both UDP and TCP, ip:port.
	Listen string

	mu sync.Mutex
	// inFlight holds the last heartbeat of each entry, by the entry's ID.
	inFlight map[string]entryState
	limits   rateLimits
	// departures are those of which entries are told.
	departures group.RecentDepartures
}

// entryState is the content of the last heartbeat of an entry.
type entryState struct {
	inFlight      int
	lastHeartbeat clock.Millis
	// peerAddress is the entry's address for other entries, empty if it has none.
	peerAddress string
}

// Run serves until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	s.inFlight, s.limits = make(map[string]entryState), make(rateLimits)
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
	running.Go(func() { s.serveHeartbeats(ctx, packets) })
	running.Go(func() { s.serveOwners(ctx, listener) })
	running.Wait()
	return nil
}

func (s *Server) serveHeartbeats(ctx context.Context, c net.PacketConn) {
	frame.ServeDatagrams(ctx, c, s.logMalformed, func(id frame.ID, from net.Addr, m frame.Message) {
		switch m := m.(type) {
		case *frame.EntryHeartbeat:
			s.send(c, from, id, &frame.GroupLoad{Load: *s.handleHeartbeat(&m.EntryHeartbeat)})
			if limits := s.limitsFor(m.Entry); len(limits.Limits) > 0 {
				s.send(c, from, id, &frame.RateLimits{RateLimits: limits})
			}
			if departures := s.recentDepartures(); len(departures) > 0 {
				s.send(c, from, id, &frame.Departures{Departures: group.Departures{Departures: departures}})
			}
		case *frame.RateLimits:
			s.recordLimits(m.Limits)
		case *frame.Departures:
			s.recordDepartures(m.Departures.Departures)
		default:
			s.logMalformed(from)
		}
	})
}

// send replies to an entry's datagram. A lost reply is superseded by the next one.
func (s *Server) send(c net.PacketConn, to net.Addr, id frame.ID, m frame.Message) {
	datagram, err := frame.Append(nil, id, m)
	if err != nil {
		s.Log.Error(event.PeerMalformed, err, nil)
		return
	}
	_, _ = c.WriteTo(datagram, to)
}

func (s *Server) recordLimits(limits []group.RateLimit) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits.record(s.Clock.Now(), limits)
}

// recordDepartures records which upstreams have told an entry that they leave.
func (s *Server) recordDepartures(departures []group.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range departures {
		s.departures.Add(s.Clock.Now(), d)
	}
}

// recentDepartures returns what entries are told of upstreams that leave.
func (s *Server) recentDepartures() []group.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.departures.List(s.Clock.Now())
}

// limitsFor returns what an entry is told about the limits of upstreams.
func (s *Server) limitsFor(entry string) group.RateLimits {
	s.mu.Lock()
	defer s.mu.Unlock()
	position := 0
	for other := range s.inFlight {
		if other < entry {
			position++
		}
	}
	return group.RateLimits{Limits: s.limits.recent(s.Clock.Now()), Position: position}
}

func (s *Server) logMalformed(from net.Addr) {
	s.Log.Emit(event.PeerMalformed, event.Fields{"from": from.String()})
}

// handleHeartbeat records a heartbeat and returns the requests that the other
// entries have in flight.
func (s *Server) handleHeartbeat(h *group.EntryHeartbeat) *group.Load {
	term, age := s.Executor.RecordTerm(h.Term)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.inFlight[h.Entry]; known || len(s.inFlight) < maxEntries {
		s.inFlight[h.Entry] = entryState{h.InFlight, now, h.Peer}
	}
	load := &group.Load{Term: term, OwnerAge: int64(age), Slowdown: s.Executor.Slowdown(), State: int(s.Executor.GroupState())}
	for entry, inFlight := range s.inFlight {
		if now-inFlight.lastHeartbeat > heartbeatMaxAge {
			delete(s.inFlight, entry)
			continue
		}
		load.Entries++
		if entry == h.Entry {
			continue
		}
		load.OthersInFlight += inFlight.inFlight
		if inFlight.peerAddress != "" && len(load.Peers) < maxPeers {
			load.Peers = append(load.Peers, inFlight.peerAddress)
		}
	}
	return load
}

// serveOwners serves the calls of owners of expert maps.
func (s *Server) serveOwners(ctx context.Context, l net.Listener) {
	calls := frame.CallServer[*frame.RankCall]{
		IdleTimeout: callIdleTimeout,
		Handle: func(ctx context.Context, call *frame.RankCall) frame.Message {
			return &frame.RankReply{Reply: *s.Executor.Serve(ctx, &call.Call)}
		},
		OnUnexpected: func(from net.Addr) { s.Log.Emit(event.PeerUnknownFrameKind, event.Fields{"from": from.String()}) },
		OnError:      func(err error) { s.Log.Error(event.PeerMalformed, err, nil) },
	}
	calls.Run(ctx, l)
}
