package admission

import (
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// bench drives one Admission and records its decisions.
type bench struct {
	t        *testing.T
	a        *Admission
	now      clock.Millis
	next     uint64
	admitted []frame.ID
	refused  map[frame.ID]outcome.Code
	reports  int
}

// newBench returns a bench whose upstream is reachable, configured and cold.
func newBench(t *testing.T, limits Limits) *bench {
	b := &bench{t: t, a: New("asistente", 0), refused: make(map[frame.ID]outcome.Code)}
	b.apply(NewConfigConfirmed(limits))
	b.now = reportLag
	b.apply(NewEngineReport(0, 0, false, 1))
	return b
}

func (b *bench) apply(e Event) {
	for _, action := range b.a.Apply(b.now, e) {
		switch action := action.(type) {
		case Admit:
			b.admitted = append(b.admitted, action.ID())
		case Refuse:
			b.refused[action.ID()] = action.Refusal().Code()
			check.Equal(b.t, "outcome of a refusal", action.Refusal().Outcome(), outcome.NotRun)
		case SendHeartbeat:
			b.reports++
		}
	}
}

func (b *bench) submit(tokens, priority int) frame.ID {
	b.next++
	id := frame.NewID(1, b.next)
	b.apply(NewSubmit(id, frame.NewRequestOptions(60_000, priority, true, true, ""), frame.NewSize(tokens, 0)))
	return id
}

// serve runs n requests one after another, each with a first token after ms.
func (b *bench) serve(n int, ms clock.Millis) {
	for range n {
		id := b.submit(100, 0)
		b.now += ms
		b.apply(NewFirstToken(id))
		b.now += ms
		b.apply(NewComplete(id, true))
	}
}

func (b *bench) limit() int { return b.a.Load(b.now).Occupancy().Limit() }

func TestMemory(t *testing.T) {
	limits := NewLimits(8, 8, 10, 20_000) // 19,000 usable bytes hold 1,900 tokens
	t.Run("reservations stay within the budget minus the margin", func(t *testing.T) {
		b := newBench(t, limits)
		b.submit(1000, 0)
		b.submit(1000, 0)
		check.Equal(t, "admitted", len(b.admitted), 1)
		b.apply(NewComplete(b.admitted[0], true))
		check.Equal(t, "admitted after release", len(b.admitted), 2)
	})
	t.Run("a request larger than the memory of an idle upstream is refused at once", func(t *testing.T) {
		b := newBench(t, limits)
		id := b.submit(1901, 0)
		check.Equal(t, "refusal", b.refused[id], outcome.TooLarge)
	})
	t.Run("small requests do not starve a waiting large request", func(t *testing.T) {
		b := newBench(t, limits)
		b.submit(1000, 0)
		b.submit(1500, 0)
		b.submit(100, 0)
		check.Equal(t, "admitted early", len(b.admitted), 2)
		b.now += MaxWait / 2
		b.submit(100, 0)
		check.Equal(t, "admitted late", len(b.admitted), 2)
	})
	t.Run("the refusal states that memory is full", func(t *testing.T) {
		b := newBench(t, limits)
		b.submit(1900, 0)
		id := b.submit(100, 0)
		b.now += MaxWait
		b.apply(Tick{})
		check.Equal(t, "refusal", b.refused[id], outcome.MemoryFull)
	})
}

func TestQueue(t *testing.T) {
	t.Run("higher priority is admitted first", func(t *testing.T) {
		b := newBench(t, NewLimits(1, 1, 0, 0))
		first := b.submit(1, 0)
		b.submit(1, 0)
		urgent := b.submit(1, 5)
		b.apply(NewComplete(first, true))
		check.Equal(t, "second admitted", b.admitted[1], urgent)
	})
	t.Run("a cancelled waiter is not admitted", func(t *testing.T) {
		b := newBench(t, NewLimits(1, 1, 0, 0))
		first := b.submit(1, 0)
		b.apply(NewCancel(b.submit(1, 0)))
		b.apply(NewComplete(first, true))
		check.Equal(t, "admitted", len(b.admitted), 1)
	})
	t.Run("the queue is bounded", func(t *testing.T) {
		b := newBench(t, NewLimits(1, 1, 0, 0))
		for range 1000 {
			b.submit(1, 0)
		}
		check.AtMost(t, "waiting", b.a.waiting.len(), minQueueLimit)
	})
	t.Run("the same id is not admitted twice", func(t *testing.T) {
		b := newBench(t, NewLimits(4, 4, 0, 0))
		id := b.submit(1, 0)
		b.apply(NewSubmit(id, frame.NewRequestOptions(1000, 0, true, true, ""), frame.NewSize(1, 0)))
		check.Equal(t, "admitted", len(b.admitted), 1)
	})
}

func TestWarmup(t *testing.T) {
	limits := NewLimits(2, 16, 1, 100_000)
	t.Run("the limit doubles by completions only", func(t *testing.T) {
		b := newBench(t, limits)
		b.now += clock.Hour
		b.apply(Tick{})
		check.Equal(t, "limit after an idle hour", b.limit(), 2)
		b.serve(roundsPerDoubling*2, 100)
		check.Equal(t, "limit after two rounds of 2 completions", b.limit(), 4)
		b.serve(roundsPerDoubling*(4+8), 100)
		check.Equal(t, "limit after two rounds of each", b.limit(), 16)
	})
	t.Run("a report that the upstream has turned cold lowers the limit", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		b.apply(NewEngineReport(0, 0, true, 1))
		check.Equal(t, "limit", b.limit(), 2)
		b.apply(NewEngineReport(0, 0, true, 1))
		b.serve(roundsPerDoubling*2, 900)
		check.Equal(t, "limit after two rounds of 2 completions", b.limit(), 4)
	})
	t.Run("a new incarnation lowers the limit", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		b.apply(NewEngineReport(0, 0, false, 2))
		check.Equal(t, "limit", b.limit(), 2)
	})
	t.Run("slow first tokens lower the limit without a report", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		b.serve(coldAfterSlow, 1000)
		check.Equal(t, "limit", b.limit(), 2)
		b.serve(10, 1000)
		check.Equal(t, "limit after slow completions", b.limit(), 2)
		b.serve(roundsPerDoubling*2, 100)
		check.Equal(t, "limit after fast completions", b.limit(), 4)
	})
	t.Run("overdue first tokens count before they arrive", func(t *testing.T) {
		b := newBench(t, NewLimits(coldAfterSlow, 2*coldAfterSlow, 1, 100_000))
		b.serve(max(roundsPerDoubling*coldAfterSlow, minSamples), 100)
		for range coldAfterSlow {
			b.submit(100, 0)
		}
		check.Equal(t, "limit before", b.limit(), 2*coldAfterSlow)
		b.now += 4 * 100
		b.apply(Tick{})
		check.Equal(t, "limit", b.limit(), coldAfterSlow)
	})
	t.Run("requests admitted before a reset do not raise the limit", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		for range 10 {
			b.apply(NewFirstToken(b.submit(100, 0)))
		}
		b.apply(NewEngineReport(0, 0, false, 2))
		for _, id := range b.admitted[roundsPerDoubling*14:] {
			b.apply(NewComplete(id, true))
		}
		check.Equal(t, "limit", b.limit(), 2)
	})
	t.Run("requests after the latest fast first token stay within the cold limit", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		for range 5 {
			b.submit(100, 0)
		}
		check.Equal(t, "admitted before a fast first token", len(b.admitted), roundsPerDoubling*14+2)
		b.now += 100
		b.apply(NewFirstToken(b.admitted[roundsPerDoubling*14]))
		check.Equal(t, "admitted after a fast first token", len(b.admitted), roundsPerDoubling*14+3)
	})
	t.Run("after a first token that was not fast only a very fast one indicates a warm upstream", func(t *testing.T) {
		b := newBench(t, NewLimits(2, 16, 1, 100_000))
		b.serve(roundsPerDoubling*14, 200)
		b.serve(1, 300)
		b.submit(100, 0)
		b.now += 600
		b.apply(NewFirstToken(b.submit(100, 0)))
		for range 3 {
			b.submit(100, 0)
		}
		check.Equal(t, "unverified", b.a.unverifiedInFlight(), 2)
	})
	t.Run("a crash sets the limit to 0 until a report of the new incarnation", func(t *testing.T) {
		b := newBench(t, limits)
		b.serve(roundsPerDoubling*14, 100)
		b.apply(UpstreamCrash{})
		check.Equal(t, "limit while down", b.limit(), 0)
		b.apply(NewEngineReport(0, 0, false, 1))
		check.Equal(t, "limit after a report from before the crash", b.limit(), 0)
		b.apply(NewEngineReport(0, 0, false, 2))
		check.Equal(t, "limit after the restart", b.limit(), 2)
	})
}

func TestAgentRestart(t *testing.T) {
	t.Run("nothing is admitted before a report made after the start of the agent", func(t *testing.T) {
		b := &bench{t: t, a: New("asistente", 0), refused: make(map[frame.ID]outcome.Code)}
		b.apply(NewConfigConfirmed(NewLimits(2, 16, 1, 100_000)))
		b.apply(NewEngineReport(0, 0, false, 1))
		b.submit(1, 0)
		check.Equal(t, "admitted", len(b.admitted), 0)
	})
	t.Run("requests of the earlier agent process count until reports show that they have ended", func(t *testing.T) {
		b := &bench{t: t, a: New("asistente", 0), refused: make(map[frame.ID]outcome.Code)}
		b.apply(NewConfigConfirmed(NewLimits(2, 16, 1, 100_000)))
		b.now = reportLag
		b.apply(NewEngineReport(9, 900, false, 1))
		b.submit(1, 0)
		check.Equal(t, "admitted beside 9 orphans", len(b.admitted), 0)
		b.apply(NewEngineReport(1, 100, false, 1))
		check.Equal(t, "admitted beside 1 orphan", len(b.admitted), 1)
	})
}

func TestRefusalOfAllRequests(t *testing.T) {
	cases := []struct {
		name  string
		event Event
		want  outcome.Code
	}{
		{"instance draining", NewDraining(true), outcome.OutOfService},
		{"data centre drained", NewDrained(true), outcome.OutOfService},
		{"group incomplete", NewGroupComplete(false), outcome.GroupIncomplete},
		{"stopping", Stopping{}, outcome.Stopping},
	}
	for _, c := range cases {
		t.Run(c.name+" refuses new and waiting requests and keeps admitted ones", func(t *testing.T) {
			b := newBench(t, NewLimits(1, 1, 0, 0))
			b.submit(1, 0)
			waiting := b.submit(1, 0)
			b.apply(c.event)
			check.Equal(t, "waiting", b.refused[waiting], c.want)
			check.Equal(t, "new", b.refused[b.submit(1, 0)], c.want)
			check.Equal(t, "in flight", b.a.InFlight(), 1)
		})
	}
	t.Run("unconfirmed configuration refuses", func(t *testing.T) {
		b := &bench{t: t, a: New("asistente", 0), refused: make(map[frame.ID]outcome.Code)}
		check.Equal(t, "refusal", b.refused[b.submit(1, 0)], outcome.ConfigUnconfirmed)
	})
}

func TestBaseline(t *testing.T) {
	// mixed returns a baseline of cached prompts at 50 ms and others at 300 ms.
	mixed := func() *baseline {
		b := &baseline{}
		for i := range 200 {
			took := clock.Millis(50)
			if i%3 == 0 {
				took = 300
			}
			b.update(took, false)
		}
		return b
	}
	t.Run("prompts that are not cached do not indicate a cold upstream", func(t *testing.T) {
		check.Equal(t, "slow", mixed().slow(300), false)
		check.Equal(t, "fast", mixed().fast(300, false), true)
	})
	t.Run("a cold upstream is detected", func(t *testing.T) {
		check.Equal(t, "slow", mixed().slow(4*300), true)
		check.Equal(t, "cached prompt on an upstream suspected cold is fast", mixed().fast(4*50, true), false)
	})
	t.Run("a cold start does not change the baseline", func(t *testing.T) {
		b := mixed()
		for range 20 {
			b.update(4*300, true)
		}
		check.Equal(t, "slow", b.slow(4*300), true)
	})
	t.Run("a lasting change is adopted", func(t *testing.T) {
		b := mixed()
		for range 1000 {
			b.update(4*300, true)
		}
		check.Equal(t, "slow", b.slow(4*300), false)
	})
}
