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
	// beaconInterval is the time between two heartbeats to an agent, and so the
	// age of what is known of other entries' requests.
	beaconInterval clock.Millis = 120
	// loadTime is how long an agent's answer is believed.
	loadTime clock.Millis = 700
	// silentTime is how long an agent may leave heartbeats unanswered: three are
	// seldom lost in a row.
	silentTime = 3 * beaconInterval
)

// Agent is the process beside an upstream.
type Agent struct {
	Upstream string
	Service  string
	Address  string
}

// Beacon tells agents what this entry holds and learns what others hold.
// Exported fields are set before Run.
type Beacon struct {
	Clock *clock.Clock
	Log   *event.Log
	// Entry is the name of this entry.
	Entry string
	// Listen is the address for answers, ip:port.
	Listen string
	// Agents returns the agents to call.
	Agents func() []Agent
	// Held returns this entry's requests by upstream.
	Held func() map[string]int
	// Term returns the term of this entry's ownership of a service's maps.
	Term func(service string) int64
	// Peer returns the address for other entries, empty while the store does not
	// serve this one.
	Peer func() string
	// OnLoads receives the loads by upstream after each round, and the upstreams
	// whose agents have stopped answering.
	OnLoads func(loads map[string]group.Load, silent map[string]bool)

	mu    sync.Mutex
	loads map[string]answer
	// sent maps the sequence of a heartbeat to its upstream.
	sent     map[uint64]string
	sequence uint64
}

type answer struct {
	load    group.Load
	service string
	at      clock.Millis
}

// Run sends heartbeats until ctx is done.
func (b *Beacon) Run(ctx context.Context) error {
	b.loads, b.sent = make(map[string]answer), make(map[uint64]string)
	c, err := net.ListenPacket("udp4", b.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for agents' answers")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	go b.receive(ctx, c)
	clock.Every(ctx, beaconInterval, func() { b.round(c) })
	return nil
}

func (b *Beacon) round(c net.PacketConn) {
	b.OnLoads(b.fresh(), b.silent())
	held := b.Held()
	agents := b.Agents()
	b.mu.Lock()
	clear(b.sent)
	first := b.sequence + 1
	for _, a := range agents {
		b.sequence++
		b.sent[b.sequence] = a.Upstream
		if old, known := b.loads[a.Upstream]; known {
			old.service = a.Service
			b.loads[a.Upstream] = old
		} else {
			b.loads[a.Upstream] = answer{service: a.Service, at: -loadTime}
		}
	}
	b.mu.Unlock()
	for i, a := range agents {
		b.send(c, a, held[a.Upstream], first+uint64(i))
	}
}

func (b *Beacon) send(c net.PacketConn, a Agent, held int, sequence uint64) {
	m := &frame.EntryHeartbeat{EntryHeartbeat: group.EntryHeartbeat{Entry: b.Entry, InFlight: held, Term: b.Term(a.Service), Peer: b.Peer()}}
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
	_, _ = c.WriteTo(out, to) // a lost datagram is followed by another one
}

func (b *Beacon) receive(ctx context.Context, c net.PacketConn) {
	frame.Datagrams(ctx, c, b.malformed, func(id frame.ID, _ net.Addr, load *frame.GroupLoad) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if upstream, known := b.sent[id.Sequence()]; known {
			b.loads[upstream] = answer{load.Load, b.loads[upstream].service, b.Clock.Now()}
		}
	})
}

func (b *Beacon) malformed(from net.Addr) {
	b.Log.Emit(event.PeerMalformed, event.Fields{"from": from.String()})
}

// fresh returns the loads that are recent enough to be believed.
func (b *Beacon) fresh() map[string]group.Load {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]group.Load, len(b.loads))
	for upstream, a := range b.loads {
		if now-a.at <= loadTime {
			out[upstream] = a.load
		}
	}
	return out
}

// silent returns the upstreams whose agents have answered before and not lately.
func (b *Beacon) silent() map[string]bool {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]bool)
	for upstream, a := range b.loads {
		if a.at >= 0 && now-a.at > silentTime {
			out[upstream] = true
		}
	}
	return out
}

// Peers returns addresses of entries that the store serves.
func (b *Beacon) Peers() []string {
	seen := make(map[string]bool)
	for _, load := range b.fresh() {
		for _, peer := range load.Peers {
			seen[peer] = true
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// Owner returns the highest term of an owner of a service's maps, the time
// since any agent heard that owner, and the number of agents that answer.
func (b *Beacon) Owner(service string) (term int64, age clock.Millis, agents int) {
	now := b.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.loads {
		if a.service != service || now-a.at > loadTime {
			continue
		}
		agents++
		heard := a.load.OwnerAgeMillis() + now - a.at
		switch {
		case a.load.Term > term:
			term, age = a.load.Term, heard
		case a.load.Term == term && (agents == 1 || heard < age):
			age = heard
		}
	}
	return term, age, agents
}
