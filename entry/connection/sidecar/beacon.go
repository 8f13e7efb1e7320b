package sidecar

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

const (
	// heartbeatInterval is the time between two heartbeats to an agent. It bounds
	// how old the received counts of other entries' requests are.
	heartbeatInterval clock.Millis = 120
	// loadTTL is how long an agent's load is used after it was received.
	loadTTL clock.Millis = 700
	// heartbeatTimeout is the time without a reply after which an agent counts as
	// unresponsive; three heartbeats are seldom lost in a row.
	heartbeatTimeout = 3 * heartbeatInterval
)

// Agent is the agent that runs beside an upstream.
type Agent struct {
	Upstream string
	Service  string
	Address  string
}

// Beacon sends heartbeats with this entry's requests in flight to agents and
// receives the load of other entries in their replies. Exported fields must be
// set before Run.
type Beacon struct {
	Clock *clock.Clock
	Log   *event.Log
	// Entry is the name of this entry.
	Entry string
	// Listen is the address on which replies are received, ip:port.
	Listen string
	// Agents returns the agents to which heartbeats are sent.
	Agents func() []Agent
	// InFlight returns the number of this entry's requests in flight by upstream.
	InFlight func() map[string]int
	// Term returns the term of this entry's ownership of a service's maps.
	Term func(service string) int64
	// Peer is the address on which this entry serves other entries, ip:port.
	Peer string
	// Limits returns what upstreams have stated to this entry about how many requests they
	// take.
	Limits func() []group.RateLimit
	// OnLimits receives what upstreams have stated to other entries, from an agent.
	OnLimits func(group.RateLimits)
	// Departures returns the upstreams that have told this entry lately that they leave.
	Departures func() []group.Departure
	// OnDeparture receives an upstream that has told another entry that it leaves, from an agent.
	OnDeparture func(group.Departure)
	// OnLoads receives the current loads by upstream before each round of
	// heartbeats, and the upstreams whose agents have stopped replying.
	OnLoads func(loads map[string]group.Load, unresponsive map[string]bool)

	mu    sync.Mutex
	loads map[string]loadReport
	// pending maps the sequence number of a heartbeat in the current round to its
	// upstream.
	pending  map[uint64]string
	sequence uint64
	// askedSince holds, by upstream, since when heartbeats have been sent to its agent in each
	// round. Nothing is sent while the registration of the upstream has lapsed.
	askedSince map[string]clock.Millis
}

type loadReport struct {
	load       group.Load
	service    string
	receivedAt clock.Millis
}

// Run sends heartbeats until ctx is done.
func (b *Beacon) Run(ctx context.Context) error {
	b.loads, b.pending = make(map[string]loadReport), make(map[uint64]string)
	c, err := net.ListenPacket("udp4", b.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for agents' replies")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go b.receive(ctx, c)
	clock.Every(ctx, heartbeatInterval, func() { b.sendHeartbeats(c) })
	return nil
}

// sendHeartbeats sends a round of heartbeats, and what agents are told of limits and departures.
func (b *Beacon) sendHeartbeats(c net.PacketConn) {
	unresponsive := b.unresponsive()
	b.OnLoads(b.freshLoads(), unresponsive)
	agents, inFlight := b.Agents(), b.InFlight()
	limits := byAgent(agents, unresponsive, b.Limits(), group.MaxRateLimits, func(l group.RateLimit) string { return l.Upstream })
	departures := byAgent(agents, unresponsive, b.Departures(), group.MaxDepartures, func(d group.Departure) string { return d.Upstream })
	firstSequence := b.startRound(agents)
	for i, a := range agents {
		sequence := firstSequence + uint64(i)
		if told := limits[a.Upstream]; len(told) > 0 {
			b.send(c, a, sequence, &frame.RateLimits{RateLimits: group.RateLimits{Limits: told}})
		}
		if told := departures[a.Upstream]; len(told) > 0 {
			b.send(c, a, sequence, &frame.Departures{Departures: group.Departures{Departures: told}})
		}
		heartbeat := group.EntryHeartbeat{Entry: b.Entry, InFlight: inFlight[a.Upstream], Term: b.Term(a.Service), Peer: b.Peer}
		b.send(c, a, sequence, &frame.EntryHeartbeat{EntryHeartbeat: heartbeat})
	}
}

// startRound forgets the heartbeats of the last round and returns the sequence number of the
// first one to agents; those of the others follow it.
func (b *Beacon) startRound(agents []Agent) uint64 {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.pending)
	askedBefore := b.askedSince
	b.askedSince = make(map[string]clock.Millis, len(agents))
	first := b.sequence + 1
	for _, a := range agents {
		b.askedSince[a.Upstream] = now
		if since, found := askedBefore[a.Upstream]; found {
			b.askedSince[a.Upstream] = since
		}
		b.sequence++
		b.pending[b.sequence] = a.Upstream
		known, found := b.loads[a.Upstream]
		if !found {
			known.receivedAt = -loadTTL
		}
		known.service = a.Service
		b.loads[a.Upstream] = known
	}
	b.forgetLoads(now)
	return first
}

// forgetLoads removes the loads of upstreams to whose agents nothing is sent any more, once they are
// no longer used. It must be called with mu held.
func (b *Beacon) forgetLoads(now clock.Millis) {
	for upstream, a := range b.loads {
		if _, asked := b.askedSince[upstream]; !asked && now-a.receivedAt > loadTTL {
			delete(b.loads, upstream)
		}
	}
}

func (b *Beacon) send(c net.PacketConn, a Agent, sequence uint64, m frame.Message) {
	out, err := frame.Append(nil, frame.NewID(0, sequence), m)
	if err != nil {
		b.Log.Error(event.PeerMalformed, err, nil)
		return
	}
	to, err := net.ResolveUDPAddr("udp4", a.Address)
	if err != nil {
		b.Log.Error(event.RankUnreachable, err, event.Fields{"upstream": a.Upstream})
		return
	}
	_, _ = c.WriteTo(out, to) // a lost datagram is replaced by the next heartbeat
}

func (b *Beacon) receive(ctx context.Context, c net.PacketConn) {
	frame.ServeDatagrams(ctx, c, b.malformed, func(id frame.ID, from net.Addr, m frame.Message) {
		switch m := m.(type) {
		case *frame.GroupLoad:
			b.recordLoad(id, m.Load)
		case *frame.RateLimits:
			if b.isPending(id) {
				b.OnLimits(m.RateLimits)
			}
		case *frame.Departures:
			for _, d := range m.Departures.Departures {
				b.OnDeparture(d)
			}
		default:
			b.malformed(from)
		}
	})
}

// recordLoad records the load in the reply to a heartbeat of the current round.
func (b *Beacon) recordLoad(id frame.ID, load group.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if upstream, found := b.pending[id.Sequence()]; found {
		b.loads[upstream] = loadReport{load, b.loads[upstream].service, b.Clock.Now()}
	}
}

// isPending reports whether id is that of a heartbeat of the current round. The ages in a
// reply that arrives later are outdated.
func (b *Beacon) isPending(id frame.ID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pending[id.Sequence()] != ""
}

func (b *Beacon) malformed(from net.Addr) {
	b.Log.Emit(event.PeerMalformed, event.Fields{"from": from.String()})
}

// freshLoads returns the loads that are not older than loadTTL.
func (b *Beacon) freshLoads() map[string]group.Load {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]group.Load, len(b.loads))
	for upstream, a := range b.loads {
		if now-a.receivedAt <= loadTTL {
			out[upstream] = a.load
		}
	}
	return out
}

// unresponsive returns the upstreams whose agents have replied before but not
// within heartbeatTimeout, although heartbeats were sent to them.
func (b *Beacon) unresponsive() map[string]bool {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]bool)
	for upstream, since := range b.askedSince {
		a := b.loads[upstream]
		if a.receivedAt >= 0 && now-max(a.receivedAt, since) > heartbeatTimeout {
			out[upstream] = true
		}
	}
	return out
}

// Peers returns the addresses of other entries.
func (b *Beacon) Peers() []string {
	seen := make(map[string]bool)
	for _, load := range b.freshLoads() {
		for _, peer := range load.Peers {
			seen[peer] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Owner returns the highest term of an owner of a service's maps, the time since
// an agent last received a message from that owner, and the number of agents
// with a fresh load.
func (b *Beacon) Owner(service string) (term int64, age clock.Millis, agents int) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.loads {
		if a.service != service || now-a.receivedAt > loadTTL {
			continue
		}
		agents++
		ownerAge := a.load.OwnerAgeMillis() + now - a.receivedAt
		switch {
		case a.load.Term > term:
			term, age = a.load.Term, ownerAge
		case a.load.Term == term && (agents == 1 || ownerAge < age):
			age = ownerAge
		}
	}
	return term, age, agents
}
