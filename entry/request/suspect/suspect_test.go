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

// fleet is a set of entries that share upstreams; a culprit crashes each
// upstream that runs it.
type fleet struct {
	t       *testing.T
	entries []*Tracker
	now     clock.Millis
	boots   map[string]uint64
	lost    int
	next    uint64
}

func newFleet(t *testing.T, entries int) *fleet {
	f := &fleet{t: t, boots: map[string]uint64{}}
	for range entries {
		f.entries = append(f.entries, New())
	}
	return f
}

func (f *fleet) place(entry int, fp Fingerprint) (string, Action) {
	a := f.entries[entry].Handle(f.now, NewArrived(fp, upstreams))[0]
	switch a := a.(type) {
	case Free:
		return upstreams[int(f.next)%len(upstreams)], a
	case Alone:
		return a.Upstream(), a
	}
	return "", a
}

func (f *fleet) send(entry int, fp Fingerprint, upstream string) uint64 {
	f.next++
	f.entries[entry].Handle(f.now, NewSent(f.next, fp, upstream))
	return f.next
}

// crash lets every entry see the crash and exchange verdicts.
func (f *fleet) crash(upstream string) {
	f.lost++
	f.boots[upstream]++
	for _, e := range f.entries {
		e.Handle(f.now, NewCrashed(upstream, f.boots[upstream], e.InFlight(upstream)))
	}
	f.exchange()
}

func (f *fleet) exchange() {
	for _, from := range f.entries {
		for _, to := range f.entries {
			to.Handle(f.now, NewMerged(from.Verdicts(f.now)))
		}
	}
}

func quarantined(a Action) bool {
	r, ok := a.(Refuse)
	return ok && r.Refusal().Code() == outcome.Quarantined
}

// TestCulprit guards against a third lost upstream when the caller sends a
// crashing request again through every entry in turn.
func TestCulprit(t *testing.T) {
	f := newFleet(t, 3)
	const culprit = Fingerprint(7)
	for i := range 9 {
		upstream, a := f.place(i%3, culprit)
		if upstream == "" {
			check.Equal(t, "quarantined", quarantined(a), true)
			check.Equal(t, "outcome", a.(Refuse).Refusal().Outcome(), outcome.NotRun)
			continue
		}
		id := f.send(i%3, culprit, upstream)
		f.crash(upstream)
		f.entries[i%3].Handle(f.now, NewEnded(id))
	}
	check.Equal(t, "upstreams lost", f.lost, 2)
}

// TestInnocent guards against the quarantine of requests that only shared an
// upstream with the culprit, in both of its crashes.
func TestInnocent(t *testing.T) {
	f := newFleet(t, 2)
	const culprit = Fingerprint(1)
	bystanders := []Fingerprint{10, 11, 12}
	var ids []uint64
	for _, b := range bystanders {
		ids = append(ids, f.send(0, b, "a"))
	}
	ids = append(ids, f.send(0, culprit, "a"))
	f.crash("a")
	for _, id := range ids {
		f.entries[0].Handle(f.now, NewEnded(id))
	}
	upstream, _ := f.place(1, culprit)
	f.send(1, culprit, upstream)
	f.send(1, 20, upstream)
	f.crash(upstream)
	for _, e := range []int{0, 1} {
		_, a := f.place(e, culprit)
		check.Equal(t, "culprit quarantined", quarantined(a), true)
		for _, b := range append(bystanders, 20) {
			_, a := f.place(e, b)
			check.Equal(t, fmt.Sprintf("bystander %d free", b), a, Action(Free{}))
		}
	}
}

// TestCleared guards against a suspect that stays restricted after it has
// completed, here at another entry.
func TestCleared(t *testing.T) {
	f := newFleet(t, 2)
	f.entries[0].Handle(f.now, NewEnded(f.send(0, 5, "a")))
	f.send(0, 5, "a")
	f.crash("a")
	upstream, _ := f.place(1, 5)
	f.entries[1].Handle(f.now, NewCompleted(f.send(1, 5, upstream)))
	f.exchange()
	for e := range f.entries {
		_, a := f.place(e, 5)
		check.Equal(t, "after completion", a, Action(Free{}))
	}
}

// TestAloneAmongSuspects guards against a second crash that could be blamed on
// either of two suspects.
func TestAloneAmongSuspects(t *testing.T) {
	f := newFleet(t, 1)
	for fp := range Fingerprint(40) {
		f.send(0, fp, "a")
	}
	f.crash("a")
	f.entries[0].flights = map[uint64]flight{}
	running := map[string]int{}
	for fp := range Fingerprint(40) {
		if upstream, _ := f.place(0, fp); upstream != "" {
			f.send(0, fp, upstream)
			running[upstream]++
		}
	}
	for u, n := range running {
		check.Equal(t, "suspects on "+u, n, 1)
	}
}

// TestRepeatedNotice guards against the blame of requests that were sent to the
// restarted upstream while notices of its crash are still repeated.
func TestRepeatedNotice(t *testing.T) {
	f := newFleet(t, 1)
	f.send(0, 1, "a")
	f.crash("a")
	f.send(0, 2, "a")
	f.entries[0].Handle(f.now, NewCrashed("a", f.boots["a"], []Fingerprint{1}))
	_, a := f.place(0, 2)
	check.Equal(t, "later request", a, Action(Free{}))
}

// TestStale guards against an entry that was paused and missed a verdict.
func TestStale(t *testing.T) {
	tracker := New()
	tracker.Handle(1000, Heard{})
	check.Equal(t, "in time", tracker.Handle(1000+staleAfter, NewArrived(1, upstreams))[0], Action(Free{}))
	check.Equal(t, "stale", tracker.Handle(1001+staleAfter, NewArrived(1, upstreams))[0], Action(Wait{}))
	tracker.Handle(1002+staleAfter, Heard{})
	check.Equal(t, "settling", tracker.Handle(1002+staleAfter, NewArrived(1, upstreams))[0], Action(Wait{}))
	check.Equal(t, "settled", tracker.Handle(1002+staleAfter+settleFor, NewArrived(1, upstreams))[0], Action(Free{}))
}

// TestBounds guards against unbounded memory and against verdicts that two
// entries keep alive by sending them to each other.
func TestBounds(t *testing.T) {
	f := newFleet(t, 2)
	for fp := range Fingerprint(3 * maxRecords) {
		f.send(0, fp, "a")
	}
	f.crash("a")
	check.AtMost(t, "records", f.entries[0].Len(), maxRecords)
	for range 70 {
		f.now += 10 * clock.Second
		f.exchange()
	}
	check.Equal(t, "records after expiry", f.entries[0].Len()+f.entries[1].Len(), 0)
}

// TestMergeOrder guards against verdicts that depend on the order or the
// repetition of messages.
func TestMergeOrder(t *testing.T) {
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
			tracker.Handle(0, NewMerged(verdicts))
		}
		check.Equal(t, "1", quarantined(tracker.Handle(0, NewArrived(1, upstreams))[0]), true)
		check.Equal(t, "2", tracker.Handle(0, NewArrived(2, upstreams))[0], Action(Free{}))
		check.Equal(t, "3", tracker.Handle(0, NewArrived(3, upstreams))[0], Action(Free{}))
	}
}
