package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// serveHeartbeats replies to heartbeats with each of the loads in turn, all from
// one socket.
func serveHeartbeats(t *testing.T, loads ...group.Load) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	check.NoError(t, "ListenPacket", err)
	t.Cleanup(func() { _ = c.Close() })
	go func() {
		buffer := make([]byte, frame.MaxDatagramBytes)
		for i := 0; ; i++ {
			n, from, err := c.ReadFrom(buffer)
			if err != nil {
				return
			}
			id, _, err := frame.Read(bytes.NewReader(buffer[:n]))
			if err != nil {
				return
			}
			out, err := frame.Append(nil, id, &frame.GroupLoad{Load: loads[i%len(loads)]})
			if err != nil {
				return
			}
			_, _ = c.WriteTo([]byte("no frame"), from) // the beacon must ignore it
			_, _ = c.WriteTo(out, from)
		}
	}()
	return c.LocalAddr().String()
}

// Guards against an owner's term or a load that is attributed to the wrong agent,
// and against replies that are not frames.
func TestBeaconReceivesLoadsAndOwner(t *testing.T) {
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	address := serveHeartbeats(t, group.Load{OthersInFlight: 3, Entries: 2, Term: 7, OwnerAge: 50, Peers: []string{"p"}}, group.Load{OthersInFlight: 1, Entries: 2, Term: 5})
	received := make(chan map[string]group.Load, 100)
	b := &Beacon{
		Clock: clock.System(), Log: log, Entry: "e", Listen: "127.0.0.1:0",
		Agents: func() []Agent {
			return []Agent{{Upstream: "u1", Service: "s", Address: address}, {Upstream: "u2", Service: "s", Address: address}}
		},
		InFlight: func() map[string]int { return nil }, Term: func(string) int64 { return 0 },
		OnLoads: func(l map[string]group.Load, _ map[string]bool) { received <- l },
		Limits:  func() []group.RateLimit { return nil }, OnLimits: func(group.RateLimits) {},
		Departures: func() []group.Departure { return nil }, OnDeparture: func(group.Departure) {},
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	defer func() {
		cancel()
		check.NoError(t, "Run", <-ended)
	}()
	for len(<-received) < 2 {
	}
	term, _, n := b.Owner("s")
	check.Equal(t, "term", term, 7)
	check.Equal(t, "agents", n, 2)
	check.Equal(t, "peers", len(b.Peers()), 1)
	_, _, n = b.Owner("other")
	check.Equal(t, "agents of another service", n, 0)
}

// Guards against an agent that has stopped replying but counts as responsive, and
// against one that has never replied but counts as unresponsive.
func TestUnresponsiveAgents(t *testing.T) {
	b := &Beacon{Clock: clock.System(), loads: map[string]loadReport{
		"never":  {receivedAt: -loadTTL},
		"lately": {receivedAt: clock.System().Now()},
	}, askedSince: map[string]clock.Millis{"never": 0, "lately": 0, "stopped": 0}}
	b.loads["stopped"] = loadReport{receivedAt: b.Clock.Now() - heartbeatTimeout - 1}
	unresponsive := b.unresponsive()
	check.Equal(t, "stopped", unresponsive["stopped"], true)
	check.Equal(t, "lately", unresponsive["lately"], false)
	check.Equal(t, "never", unresponsive["never"], false)
}

// Guards against a call that exceeds its timeout when an agent is stalled, and
// against a late reply to it that is taken for the reply to the next call.
func TestCallTimesOut(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	defer l.Close()
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveCalls(c, i > 0)
		}
	}()
	var client Client
	_, err = client.Call(context.Background(), l.Addr().String(), &group.Call{Term: 1}, 50)
	check.Is(t, "stalled agent", err, ErrNoReply)
	got, err := client.Call(context.Background(), l.Addr().String(), &group.Call{Term: 2}, 20*clock.Second)
	check.NoError(t, "next call", err)
	check.Equal(t, "outcome", got.Outcome, int(group.Accepted))
}

// serveCalls reads calls and replies to them if replies is set.
func serveCalls(c net.Conn, replies bool) {
	defer c.Close()
	for {
		id, _, err := frame.Read(c)
		if err != nil {
			return
		}
		if !replies {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		out, err := frame.Append(nil, id, &frame.RankReply{Reply: group.Reply{Outcome: int(group.Accepted)}})
		if err != nil {
			return
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// Guards against an agent that counts as unresponsive because nothing was sent to it while the
// registration of its upstream had lapsed, so that requests at that upstream fail over, and against
// loads that are kept of upstreams that have gone.
func TestAgentThatWasNotAskedIsNotUnresponsive(t *testing.T) {
	c := clock.NewManual(clock.Hour)
	b := &Beacon{Clock: c, loads: make(map[string]loadReport), pending: make(map[uint64]string)}
	round := func(agents ...Agent) {
		c.Advance(heartbeatInterval)
		b.startRound(agents)
	}
	agent := Agent{Upstream: "u", Service: "s"}
	round(agent)
	b.recordLoad(frame.NewID(0, b.sequence), group.Load{Entries: 1})
	for range 4 {
		round()
		check.Equal(t, "unresponsive while it has lapsed", b.unresponsive()["u"], false)
	}
	round(agent)
	check.Equal(t, "unresponsive at once after the lapse", b.unresponsive()["u"], false)
	for range 4 {
		round(agent)
	}
	check.Equal(t, "unresponsive without replies", b.unresponsive()["u"], true)
	for range 10 {
		round()
	}
	check.Equal(t, "loads that are kept", len(b.loads), 0)
}
