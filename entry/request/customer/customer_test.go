package customer

import (
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// bench drives one Queue and records what it decided.
type bench struct {
	t          *testing.T
	q          *Queue
	now        clock.Millis
	next       uint64
	owner      map[frame.ID]string
	dispatched []frame.ID
	refused    map[frame.ID]outcome.Code
}

func newBench(t *testing.T, customers ...Limits) *bench {
	b := &bench{t: t, q: New(), owner: make(map[frame.ID]string), refused: make(map[frame.ID]outcome.Code)}
	b.apply(NewConfigure(customers))
	return b
}

func (b *bench) apply(e Event) {
	for _, action := range b.q.Apply(b.now, e) {
		switch action := action.(type) {
		case Dispatch:
			b.dispatched = append(b.dispatched, action.ID())
		case Refuse:
			b.refused[action.ID()] = action.Refusal().Code()
			check.Equal(b.t, "outcome of a refusal", action.Refusal().Outcome(), outcome.NotRun)
		}
	}
}

func (b *bench) enqueue(customer string, cost int64, priority int, deadline clock.Millis) frame.ID {
	b.next++
	id := frame.NewID(1, b.next)
	b.owner[id] = customer
	b.apply(NewEnqueue(id, customer, "asistente", cost, priority, b.now+deadline))
	return id
}

// share counts the dispatched requests of a customer.
func (b *bench) share(customer string) int {
	n := 0
	for _, id := range b.dispatched {
		if b.owner[id] == customer {
			n++
		}
	}
	return n
}

func TestFairness(t *testing.T) {
	t.Run("equal weights share equally whatever the queue lengths", func(t *testing.T) {
		b := newBench(t, NewLimits("large", 1, 0, 0), NewLimits("small", 1, 0, 0))
		for range 100 {
			b.enqueue("large", 1000, 0, clock.Minute)
		}
		for range 10 {
			b.enqueue("small", 1000, 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 20))
		check.Equal(t, "small", b.share("small"), 10)
	})
	t.Run("weights divide the work", func(t *testing.T) {
		b := newBench(t, NewLimits("large", 3, 0, 0), NewLimits("small", 1, 0, 0))
		for range 100 {
			b.enqueue("large", 1000, 0, clock.Minute)
			b.enqueue("small", 1000, 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 40))
		check.Equal(t, "large", b.share("large"), 30)
	})
	t.Run("a flood of tiny requests pays for its slots", func(t *testing.T) {
		b := newBench(t)
		for range 500 {
			b.enqueue("flood", Cost(1, 1), 0, clock.Minute)
		}
		for range 10 {
			b.enqueue("small", Cost(256, 128), 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 50))
		check.Equal(t, "small", b.share("small"), 10)
	})
	t.Run("an idle customer saves no credit", func(t *testing.T) {
		b := newBench(t)
		for range 100 {
			b.enqueue("busy", 1000, 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 50))
		for range 50 {
			b.enqueue("late", 1000, 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 20))
		check.Equal(t, "late", b.share("late"), 10)
	})
	t.Run("a customer held back by its own limit saves no credit", func(t *testing.T) {
		b := newBench(t, NewLimits("limited", 1, 0, 1))
		for range 50 {
			b.enqueue("limited", 1000, 0, clock.Minute)
			b.enqueue("free", 1000, 0, clock.Minute)
		}
		b.apply(NewRoom("asistente", 21))
		check.Equal(t, "limited while limited", b.share("limited"), 1)
		b.apply(NewConfigure(nil))
		b.apply(NewRoom("asistente", 20))
		// Half of the 20 and one request that joins at the present virtual time.
		check.Equal(t, "limited afterwards", b.share("limited"), 1+10+1)
	})
}

func TestLimits(t *testing.T) {
	t.Run("the rate limit refuses with the time to wait", func(t *testing.T) {
		b := newBench(t, NewLimits("a", 1, 2, 0))
		b.enqueue("a", 1, 0, clock.Minute)
		b.enqueue("a", 1, 0, clock.Minute)
		id := b.enqueue("a", 1, 0, clock.Minute)
		check.Equal(t, "refusal", b.refused[id], outcome.CustomerLimit)
		b.now += 500
		check.Equal(t, "refusal later", b.refused[b.enqueue("a", 1, 0, clock.Minute)], "")
	})
	t.Run("the concurrency limit holds requests back", func(t *testing.T) {
		b := newBench(t, NewLimits("a", 1, 0, 2))
		b.apply(NewRoom("asistente", 10))
		for range 3 {
			b.enqueue("a", 1, 0, clock.Minute)
		}
		check.Equal(t, "dispatched", len(b.dispatched), 2)
		b.apply(NewComplete(b.dispatched[0]))
		check.Equal(t, "dispatched after completion", len(b.dispatched), 3)
	})
	t.Run("the local share follows the other entries", func(t *testing.T) {
		b := newBench(t, NewLimits("a", 1, 100, 0))
		for range 20 {
			b.now += 100
			b.enqueue("a", 1, 0, clock.Minute)
		}
		share := b.q.Shares(b.now)
		check.Equal(t, "measured customers", len(share), 1)
		b.apply(NewShares("other", []frame.Share{frame.NewShare("a", 3*share[0].PerMille(), 0)}))
		got := b.q.localShare(b.now, b.q.account("a"))
		check.AtMost(t, "share", got, 0.26)
		check.AtMost(t, "missing share", 0.24, got)
		b.now += shareLife + 1
		b.apply(Tick{})
		check.Equal(t, "share without the other entry", b.q.localShare(b.now, b.q.account("a")), 1)
	})
	t.Run("held requests of other entries count", func(t *testing.T) {
		b := newBench(t, NewLimits("a", 1, 0, 4))
		b.apply(NewShares("other", []frame.Share{frame.NewShare("a", 0, 3)}))
		b.apply(NewRoom("asistente", 10))
		b.enqueue("a", 1, 0, clock.Minute)
		b.enqueue("a", 1, 0, clock.Minute)
		check.Equal(t, "dispatched", len(b.dispatched), 1)
	})
	t.Run("the queue of a customer is bounded", func(t *testing.T) {
		b := newBench(t)
		for range maxQueuedPerCustomer {
			b.enqueue("a", 1, 0, clock.Minute)
		}
		check.Equal(t, "refusal", b.refused[b.enqueue("a", 1, 0, clock.Minute)], outcome.CustomerLimit)
	})
}

// saturate measures a drain rate of 1 cost unit per ms with a standing queue.
func (b *bench) saturate() {
	for range 8 {
		b.enqueue("base", 1000, 9, clock.Hour)
	}
	for range 4 {
		b.apply(NewRoom("asistente", 1))
		b.apply(Tick{})
		b.now += 1000
	}
	b.apply(Tick{})
}

func TestShedding(t *testing.T) {
	t.Run("work that would miss its deadline is refused before it", func(t *testing.T) {
		b := newBench(t)
		b.saturate()
		kept := b.enqueue("a", 1000, 0, 4*clock.Second)
		lost := b.enqueue("a", 1000, 0, 4*clock.Second)
		for range 40 {
			b.enqueue("a", 1000, 0, clock.Hour)
		}
		b.apply(Tick{})
		check.Equal(t, "first", b.refused[kept], "")
		check.Equal(t, "second", b.refused[lost], outcome.Overloaded)
	})
	t.Run("lower priority goes first", func(t *testing.T) {
		b := newBench(t)
		b.saturate()
		low := b.enqueue("a", 3000, 0, 30*clock.Second)
		high := b.enqueue("b", 1000, 5, 5*clock.Second)
		b.apply(Tick{})
		check.Equal(t, "low", b.refused[low], outcome.Overloaded)
		check.Equal(t, "high", b.refused[high], "")
	})
	t.Run("nothing is shed in vain for a request that is late anyway", func(t *testing.T) {
		b := newBench(t)
		b.saturate()
		low := b.enqueue("a", 1000, 0, 30*clock.Second)
		high := b.enqueue("b", 9000, 5, 5*clock.Second)
		b.apply(Tick{})
		check.Equal(t, "low", b.refused[low], "")
		check.Equal(t, "high", b.refused[high], outcome.Overloaded)
	})
	t.Run("passed deadlines are refused", func(t *testing.T) {
		b := newBench(t)
		id := b.enqueue("a", 1, 0, 100)
		b.now += 101
		b.apply(Tick{})
		check.Equal(t, "refusal", b.refused[id], outcome.DeadlineExceeded)
	})
}
