package suspect

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

var upstreams = []string{"a", "b", "c", "d", "e", "f"}

// testCluster is a set of entries that share upstreams. Tests call crash for each
// upstream that runs a crashing request.
type testCluster struct {
	t            *testing.T
	entries      []*Tracker
	now          clock.Millis
	incarnations map[string]uint64
	crashes      int
	lastRequest  uint64
}

func newTestCluster(t *testing.T, entries int) *testCluster {
	c := &testCluster{t: t, incarnations: map[string]uint64{}}
	for range entries {
		c.entries = append(c.entries, New())
	}
	return c
}

func (c *testCluster) place(entry int, fp Fingerprint) (string, Action) {
	a := c.entries[entry].Handle(c.now, NewArrived(fp, upstreams))[0]
	switch a := a.(type) {
	case Allow:
		return upstreams[int(c.lastRequest)%len(upstreams)], a
	case Isolate:
		return a.Upstream(), a
	}
	return "", a
}

func (c *testCluster) send(entry int, fp Fingerprint, upstream string) uint64 {
	c.lastRequest++
	c.entries[entry].Handle(c.now, NewSent(c.lastRequest, fp, upstream))
	return c.lastRequest
}

// crash reports a crash of upstream to every entry, which then exchange verdicts.
func (c *testCluster) crash(upstream string) {
	c.crashes++
	c.incarnations[upstream]++
	for _, e := range c.entries {
		e.Handle(c.now, NewCrashed(upstream, c.incarnations[upstream], e.InFlight(upstream)))
	}
	c.exchange()
}

func (c *testCluster) exchange() {
	for _, from := range c.entries {
		for _, to := range c.entries {
			to.Handle(c.now, NewVerdictsReceived(from.Verdicts(c.now)))
		}
	}
}

func quarantined(a Action) bool {
	r, ok := a.(Refuse)
	return ok && r.Refusal().Code() == outcome.Quarantined
}

// Guards against a crashing request crashing a third upstream when its caller
// retries it through every entry in turn.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	c := newTestCluster(t, 3)
	const crashing = Fingerprint(7)
	for i := range 9 {
		upstream, a := c.place(i%3, crashing)
		if upstream == "" {
			check.Equal(t, "quarantined", quarantined(a), true)
			check.Equal(t, "outcome", a.(Refuse).Refusal().Outcome(), outcome.NotRun)
			continue
		}
		id := c.send(i%3, crashing, upstream)
		c.crash(upstream)
		c.entries[i%3].Handle(c.now, NewEnded(id))
	}
	check.Equal(t, "crashed upstreams", c.crashes, 2)
}

// Guards against the quarantine of requests that were only in flight on the same
// upstream as the crashing request, at either of its two crashes.
func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	c := newTestCluster(t, 2)
	const crashing = Fingerprint(1)
	unrelated := []Fingerprint{10, 11, 12}
	var ids []uint64
	for _, b := range unrelated {
		ids = append(ids, c.send(0, b, "a"))
	}
	ids = append(ids, c.send(0, crashing, "a"))
	c.crash("a")
	for _, id := range ids {
		c.entries[0].Handle(c.now, NewEnded(id))
	}
	upstream, _ := c.place(1, crashing)
	c.send(1, crashing, upstream)
	c.send(1, 20, upstream)
	c.crash(upstream)
	for _, e := range []int{0, 1} {
		_, a := c.place(e, crashing)
		check.Equal(t, "crashing request quarantined", quarantined(a), true)
		for _, b := range append(unrelated, 20) {
			_, a := c.place(e, b)
			check.Equal(t, fmt.Sprintf("unrelated request %d allowed", b), a, Action(Allow{}))
		}
	}
}

// Guards against a suspect that stays restricted after a completed run, here at
// another entry.
func TestCompletedRunClearsSuspect(t *testing.T) {
	c := newTestCluster(t, 2)
	c.entries[0].Handle(c.now, NewEnded(c.send(0, 5, "a")))
	c.send(0, 5, "a")
	c.crash("a")
	upstream, _ := c.place(1, 5)
	c.entries[1].Handle(c.now, NewCompleted(c.send(1, 5, upstream)))
	c.exchange()
	for e := range c.entries {
		_, a := c.place(e, 5)
		check.Equal(t, "after completion", a, Action(Allow{}))
	}
}

// Guards against a second crash with two suspects on the upstream, which could be
// attributed to either.
func TestOneSuspectPerUpstream(t *testing.T) {
	c := newTestCluster(t, 1)
	for fp := range Fingerprint(40) {
		c.send(0, fp, "a")
	}
	c.crash("a")
	c.entries[0].inFlight = map[uint64]inFlightRequest{}
	running := map[string]int{}
	for fp := range Fingerprint(40) {
		if upstream, _ := c.place(0, fp); upstream != "" {
			c.send(0, fp, upstream)
			running[upstream]++
		}
	}
	for u, n := range running {
		check.Equal(t, "suspects on "+u, n, 1)
	}
}

// Guards against suspecting requests that were sent to the restarted upstream
// while reports of its crash are still repeated.
func TestRepeatedCrashReport(t *testing.T) {
	c := newTestCluster(t, 1)
	c.send(0, 1, "a")
	c.crash("a")
	c.send(0, 2, "a")
	c.entries[0].Handle(c.now, NewCrashed("a", c.incarnations["a"], []Fingerprint{1}))
	_, a := c.place(0, 2)
	check.Equal(t, "later request", a, Action(Allow{}))
}

// Guards against an entry that admits requests by outdated verdicts after it was
// paused and missed messages.
func TestWaitsAfterMissingHeartbeats(t *testing.T) {
	tracker := New()
	tracker.Handle(1000, HeartbeatReceived{})
	check.Equal(t, "in time", tracker.Handle(1000+heartbeatTimeout, NewArrived(1, upstreams))[0], Action(Allow{}))
	check.Equal(t, "stale", tracker.Handle(1001+heartbeatTimeout, NewArrived(1, upstreams))[0], Action(Wait{}))
	tracker.Handle(1002+heartbeatTimeout, HeartbeatReceived{})
	check.Equal(t, "catching up", tracker.Handle(1002+heartbeatTimeout, NewArrived(1, upstreams))[0], Action(Wait{}))
	check.Equal(t, "caught up", tracker.Handle(1002+heartbeatTimeout+catchUpDelay, NewArrived(1, upstreams))[0], Action(Allow{}))
}

// Guards against unbounded memory and against verdicts that two entries keep alive
// by sending them to each other.
func TestRecordsAreBoundedAndExpire(t *testing.T) {
	c := newTestCluster(t, 2)
	for fp := range Fingerprint(3 * maxRecords) {
		c.send(0, fp, "a")
	}
	c.crash("a")
	check.AtMost(t, "records", c.entries[0].Len(), maxRecords)
	for range 70 {
		c.now += 10 * clock.Second
		c.exchange()
	}
	check.Equal(t, "records after expiry", c.entries[0].Len()+c.entries[1].Len(), 0)
}

// Guards against verdicts that depend on the order or duplication of messages.
func TestMergeOrderDoesNotMatter(t *testing.T) {
	verdicts := []Verdict{
		NewVerdict(1, []Crash{1}, nil, false, clock.Minute),
		NewVerdict(1, []Crash{2}, nil, false, clock.Minute),
		NewVerdict(2, []Crash{1}, []Crash{1}, false, clock.Minute),
		NewVerdict(3, []Crash{2}, nil, false, clock.Minute),
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		tracker := New()
		for range 3 {
			rng.Shuffle(len(verdicts), func(i, j int) { verdicts[i], verdicts[j] = verdicts[j], verdicts[i] })
			tracker.Handle(0, NewVerdictsReceived(verdicts))
		}
		check.Equal(t, "1", quarantined(tracker.Handle(0, NewArrived(1, upstreams))[0]), true)
		check.Equal(t, "2", tracker.Handle(0, NewArrived(2, upstreams))[0], Action(Allow{}))
		check.Equal(t, "3", tracker.Handle(0, NewArrived(3, upstreams))[0], Action(Allow{}))
	}
}
