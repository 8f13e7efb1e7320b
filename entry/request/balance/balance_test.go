package balance

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// slots is the number of requests that an upstream runs at once, and limit the
// number that may be in flight there.
const (
	slots = 3
	limit = slots
)

// fixture returns a balancer with a model service and a plain service of n
// upstreams each, one per data centre.
func fixture(n int, edit func(*fleet.Upstream)) (*Balancer, *fleet.State) {
	services := []config.Service{
		{Name: "model", ColdRequestsPerSecond: 10, Engine: &config.Engine{}},
		{Name: "plain"},
	}
	list := make(map[string]*fleet.Upstream)
	for i := range n {
		for _, service := range []string{"model", "plain"} {
			u := &fleet.Upstream{ID: fmt.Sprintf("%s%d", service, i), Service: service, Address: "a", DataCentre: fmt.Sprintf("dc%d", i), Slots: slots}
			if edit != nil {
				edit(u)
			}
			list[u.ID] = u
		}
	}
	state := fleet.New()
	state.SetConfig(config.New(config.Parts{Version: 1, Services: services}))
	state.SetUpstreams(list)
	state.SetDrained(nil)
	b := New(-clock.Hour, Settings{DataCentre: "dc0", RetryRatio: 0.2, RetryAllowance: 10, RetryWindow: 10 * clock.Second})
	b.SetEntries(-entriesSettleTime, 1)
	state.OnChange(func(v *fleet.View) { b.SetView(0, v) })
	b.SetView(0, state.View())
	return b, state
}

func ticket(now clock.Millis) *Ticket {
	return &Ticket{Service: "model", Due: now + 500, WaitDeadline: now + 1500}
}

func granted(t *testing.T, d Decision) *Ticket {
	t.Helper()
	g, ok := d.(Grant)
	if !ok {
		t.Fatalf("decision: got %T, want Grant", d)
	}
	return g.Ticket
}

// Guards against requests that gather on some upstreams while others are idle.
func TestWorkIsSpreadEvenly(t *testing.T) {
	b, _ := fixture(3, nil)
	for range 3 * 2 {
		granted(t, b.Acquire(0, ticket(0)))
	}
	for id, inFlight := range b.InFlight() {
		check.Equal(t, "in flight at "+id, inFlight, 2)
	}
}

// Guards against an upstream that gets more requests than it has slots because
// those of other entries are not counted.
func TestOthersCountTowardTheLimit(t *testing.T) {
	b, _ := fixture(1, nil)
	b.SetOthersInFlight(map[string]int{"model0": limit - 1})
	granted(t, b.Acquire(0, ticket(0)))
	_, waits := b.Acquire(0, ticket(0)).(Wait)
	check.Equal(t, "second request waits", waits, true)
}

// Guards against grants in a drained data centre, both to new requests and to those
// already waiting.
func TestNoRequestsToDrainedDataCentre(t *testing.T) {
	b, state := fixture(2, nil)
	state.MarkDrained("dc1", true)
	for range limit {
		granted(t, b.Acquire(0, ticket(0)))
	}
	check.Equal(t, "in flight at model1", b.InFlight()["model1"], 0)
	b.Acquire(0, ticket(0))
	check.Equal(t, "decisions while full", len(b.Tick(20)), 0)
	state.MarkDrained("dc1", false)
	check.Equal(t, "grants after the data centre returns", len(b.Tick(40)), 1)
}

// Guards against more requests to a cold upstream than this entry's share.
func TestColdLimitIsShared(t *testing.T) {
	b, _ := fixture(1, func(u *fleet.Upstream) { u.ColdRemaining = 60 * clock.Second })
	b.SetEntries(0, 5)
	for range 2 {
		granted(t, b.Acquire(0, ticket(0)))
	}
	_, waits := b.Acquire(0, ticket(0)).(Wait)
	check.Equal(t, "third in a second waits", waits, true)
	check.Equal(t, "grants within the second", len(b.Tick(999)), 0)
	check.Equal(t, "grants in the next second", len(b.Tick(1000)), 1)
}

// Guards against entries that together exceed the limits of an upstream because they
// outnumber what it can take.
func TestMoreEntriesThanTheLimit(t *testing.T) {
	t.Run("cold requests", func(t *testing.T) {
		b, _ := fixture(1, func(u *fleet.Upstream) { u.ColdRemaining = 60 * clock.Second })
		b.SetEntries(0, 20) // two entries for each of the 10 requests per second
		var sent []clock.Millis
		for now := clock.Millis(0); now < 20*clock.Second; now += 20 {
			if g, ok := b.Acquire(now, &Ticket{Service: "model", WaitDeadline: now}).(Grant); ok {
				sent = append(sent, now)
				b.Release(now, g.Ticket, Succeeded)
			}
			b.Tick(now)
		}
		check.Equal(t, "requests in 2 s", maxInWindow(sent, 2*clock.Second), 1)
		check.Equal(t, "requests in 20 s", len(sent), 10)
	})
	t.Run("first requests to a cold upstream", func(t *testing.T) {
		const coldLimit, entries = 10, 40
		var sent []clock.Millis
		running := make([]*Balancer, entries)
		for i := range running {
			running[i], _ = fixture(1, func(u *fleet.Upstream) { u.ColdRemaining = 60 * clock.Second })
			running[i].settings.Entry = fmt.Sprint("entry", i)
			running[i].SetEntries(0, entries)
		}
		for now := clock.Millis(0); now < 20*clock.Second; now += 20 {
			for _, b := range running {
				if g, ok := b.Acquire(now, &Ticket{Service: "model", WaitDeadline: now}).(Grant); ok {
					sent = append(sent, now)
					b.Release(now, g.Ticket, Succeeded)
				}
				b.Tick(now)
			}
		}
		check.AtMost(t, "requests in a second", maxInWindow(sent, clock.Second), coldLimit*3/2+5)
		check.AtMost(t, "requests in 20 s, less a tenth", 20*coldLimit*9/10, len(sent))
	})
	t.Run("connections", func(t *testing.T) {
		b, _ := fixture(1, nil)
		b.SetEntries(0, 5)
		b.service("model").spec.MaxConnections = 2
		b.SetOthersInFlight(map[string]int{"model0": 2})
		waiting(t, b.Acquire(0, ticket(0)))
	})
}

// Guards, for a service whose only upstreams are in a drained data centre, against
// callers that are told to return at once and are rejected again.
func TestServiceWithoutUpstream(t *testing.T) {
	b, state := fixture(1, nil)
	for now := range clock.Millis(10) {
		b.Release(now, granted(t, b.Acquire(now, ticket(now))), Succeeded)
	}
	state.MarkDrained("dc0", true)
	r := rejected(t, b.Acquire(20, ticket(20)))
	check.AtMost(t, "shortest Retry-After", 2*clock.Second, r.RetryAfter)
	check.AtMost(t, "shortest Retry-After after a failed attempt", 2*clock.Second, b.RetryAfter(20, "model"))
}

// Guards against a failed upstream that gets the same request again, or all new
// requests because it is idle.
func TestFailedUpstreamIsSkipped(t *testing.T) {
	b, _ := fixture(2, nil)
	first := granted(t, b.Acquire(0, ticket(0)))
	failed, _ := first.Upstream()
	b.Release(0, first, Failed)
	for range 2 {
		id, _ := granted(t, b.Acquire(1, ticket(1))).Upstream()
		check.Equal(t, "upstream of a new request is the failed one", id == failed, false)
	}
	again := granted(t, b.Acquire(5000, first))
	id, _ := again.Upstream()
	check.Equal(t, "upstream of the same request is the failed one", id == failed, false)
}

// Guards against a queue that under overload serves requests whose objective has
// passed before those that can still meet it.
func TestRequestsInTimeGoFirst(t *testing.T) {
	b, _ := fixture(1, nil)
	var inFlight []*Ticket
	for range limit {
		inFlight = append(inFlight, granted(t, b.Acquire(0, ticket(0))))
	}
	late, fresh := ticket(0), ticket(600)
	b.Acquire(0, late)
	b.Acquire(600, fresh)
	out := b.Release(600, inFlight[0], Succeeded)
	check.Equal(t, "grants", len(out), 1)
	check.Equal(t, "the fresh request is granted", granted(t, out[0]) == fresh, true)
}

// Guards against a queue that serves each request just too late when all wait
// nearly as long as their objective allows, because it ignores the time to the
// first event.
func TestRequestsThatWillMissTheirObjectiveGoLast(t *testing.T) {
	const firstEvent clock.Millis = 300
	b, _ := fixture(1, nil)
	var inFlight []*Ticket
	for range limit {
		inFlight = append(inFlight, granted(t, b.Acquire(0, ticket(0))))
	}
	b.PrefillDone(firstEvent, inFlight[0])
	late, onTime := ticket(0), ticket(400)
	b.Acquire(0, late)
	b.Acquire(400, onTime)
	now := late.Due - firstEvent + 50 // 50 ms too late for one, in time for the other
	out := b.Release(now, inFlight[0], Succeeded)
	check.Equal(t, "grants", len(out), 1)
	check.Equal(t, "the request that can meet its objective is granted", granted(t, out[0]) == onTime, true)
}

// Guards against requests that in a burst above capacity wait until their deadline
// although the queue cannot reach them by then.
func TestRequestsBeyondQueueCapacityAreRejectedAtOnce(t *testing.T) {
	b, _ := fixture(1, nil)
	now := clock.Millis(0)
	var inFlight []*Ticket
	for range limit {
		inFlight = append(inFlight, granted(t, b.Acquire(now, ticket(now))))
	}
	for _, h := range inFlight { // two completions per second
		now += 500
		b.Release(now, h, Succeeded)
		granted(t, b.Acquire(now, ticket(now)))
	}
	rejected := 0
	for range 10 {
		if r, ok := b.Acquire(now, ticket(now)).(Reject); ok {
			rejected++
			check.AtMost(t, "Retry-After", r.RetryAfter, maxRetryAfter)
		}
	}
	check.AtMost(t, "requests left waiting", 10-rejected, 3)
}

// Guards, when a whole group fails, against requests that wait although no upstream
// can take them, against callers that retry at once, and against upstreams that
// stay skipped after the group has recovered.
func TestGroupDown(t *testing.T) {
	b, _ := fixture(2, nil)
	var inFlight []*Ticket
	for range 2 * limit {
		inFlight = append(inFlight, granted(t, b.Acquire(0, ticket(0))))
	}
	for range 2 {
		b.Acquire(0, ticket(0))
	}
	var probes []Decision
	for _, h := range inFlight {
		probes = append(probes, b.Release(10, h, Failed)...)
	}
	check.Equal(t, "probes", len(probes), 1)
	r, rejected := b.Acquire(12, ticket(12)).(Reject)
	check.Equal(t, "next request is rejected at once", rejected, true)
	check.AtMost(t, "shortest Retry-After", 2000, r.RetryAfter)
	check.Equal(t, "waiting requests are rejected", len(b.Tick(20)), 1)
	b.PrefillDone(0, granted(t, probes[0]))
	granted(t, b.Acquire(30, ticket(30)))
}

// Guards against more connections to an upstream than it accepts from all entries
// together.
func TestConnectionLimitIsShared(t *testing.T) {
	b, _ := fixture(1, nil)
	b.SetEntries(0, 5)
	b.service("model").spec.MaxConnections = 10
	for range 2 {
		granted(t, b.Acquire(0, ticket(0)))
	}
	_, third := b.Acquire(0, ticket(0)).(Grant)
	check.Equal(t, "third request is granted", third, false)
}

// Guards against callers that are rejected together and then all retry at the same
// time.
func TestRetryAfterIsSpread(t *testing.T) {
	b, _ := fixture(0, nil)
	seen := make(map[clock.Millis]bool)
	for range 10 {
		r, ok := b.Acquire(0, ticket(0)).(Reject)
		check.Equal(t, "rejected", ok, true)
		seen[r.RetryAfter] = true
	}
	check.Equal(t, "distinct Retry-After values of 10 callers", len(seen), 10)
}

// Guards against retries above this entry's share of the budget.
func TestBudget(t *testing.T) {
	b := NewBudget(0.2, 10*clock.Second)
	for range 10 {
		b.RecordFirstSend(0, "")
	}
	allowed := 0
	for range 10 {
		if b.Reserve(0, "", 2) {
			allowed++
		}
	}
	check.Equal(t, "retries of 10 requests with an allowance of 2", allowed, 4)
	for range allowed {
		b.Use(0, "")
	}
	check.Equal(t, "retry after the window", b.Reserve(30*clock.Second, "", 2), true)
}

// Guards against an entry that uses the whole shared budget before it has received
// the number of entries, as in a rolling restart during many retries.
func TestNewEntryUsesSmallBudgetShare(t *testing.T) {
	b, _ := fixture(1, nil)
	b.entries = entryCount{}
	b.SetSettings(Settings{RetryRatio: 0.2, RetryAllowance: 128, RetryWindow: 10 * clock.Second})
	allowed := 0
	for range 200 {
		if b.Retry(0, ticket(0)) {
			allowed++
		}
	}
	check.AtMost(t, "retries without any first send", allowed, 128/assumedEntries)
}

// Guards against baselines that choose upstreams that are drained or were skipped after
// a failure.
func TestBaselinesSkipUnusableUpstreams(t *testing.T) {
	for _, p := range []Policy{RoundRobin, LeastOfTwo} {
		t.Run(string(p), func(t *testing.T) {
			b, state := fixture(3, nil)
			b.SetSettings(Settings{Policy: p})
			state.MarkDrained("dc1", true)
			for range 2 * 3 * slots {
				granted(t, b.Acquire(0, ticket(0)))
			}
			check.Equal(t, "in flight at model1", b.InFlight()["model1"], 0)
			check.Equal(t, "in flight at model0 and model2", b.InFlight()["model0"]+b.InFlight()["model2"], 2*3*slots)
			failed := granted(t, b.Acquire(0, ticket(0)))
			id, _ := failed.Upstream()
			b.Release(0, failed, Failed)
			before := b.InFlight()[id]
			for range 2 * slots {
				granted(t, b.Acquire(1, ticket(1)))
			}
			check.Equal(t, "in flight at the skipped upstream", b.InFlight()[id], before)
		})
	}
}
