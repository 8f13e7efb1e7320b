package sidecar

import (
	"io"
	"testing"

	"goldcrestshore/agent/process/orders"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

func newServer(t *testing.T) (*Server, *clock.Clock) {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "agent", "a")
	check.NoError(t, "NewLog", err)
	c := clock.NewManual(10 * clock.Second)
	return &Server{Clock: c, Log: log, Executor: &orders.Executor{Clock: c, Log: log}, inFlight: make(map[string]entryState), limits: make(rateLimits)}, c
}

// Guards against limits that are divided by the wrong number of entries, and
// against in-flight requests that are counted twice or after their entry has
// become unresponsive.
func TestLoad(t *testing.T) {
	s, c := newServer(t)
	s.handleHeartbeat(&group.EntryHeartbeat{Entry: "e1", InFlight: 3, Peer: "p1", Term: 4})
	s.handleHeartbeat(&group.EntryHeartbeat{Entry: "e2", InFlight: 2})
	got := s.handleHeartbeat(&group.EntryHeartbeat{Entry: "e1", InFlight: 5, Peer: "p1"})
	check.Equal(t, "others of e1", got.OthersInFlight, 2)
	check.Equal(t, "entries", got.Entries, 2)
	check.Equal(t, "peers without the entry itself", len(got.Peers), 0)
	check.Equal(t, "term", got.Term, 4)
	got = s.handleHeartbeat(&group.EntryHeartbeat{Entry: "e2", InFlight: 2})
	check.Equal(t, "others of e2", got.OthersInFlight, 5)
	check.Equal(t, "peer of the other", got.Peers[0], "p1")
	c.Advance(heartbeatMaxAge + 1)
	got = s.handleHeartbeat(&group.EntryHeartbeat{Entry: "e2", InFlight: 2})
	check.Equal(t, "others after e1 became unresponsive", got.OthersInFlight, 0)
	check.Equal(t, "entries after e1 became unresponsive", got.Entries, 1)
	check.Equal(t, "time since a heartbeat of the owner", got.OwnerAgeMillis(), heartbeatMaxAge+1)
}
