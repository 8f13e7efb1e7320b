package customer

import (
	"fmt"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// harness drives a Queue and records its actions.
type harness struct {
	t          *testing.T
	q          *Queue
	now        clock.Millis
	sequence   uint64
	customerOf map[frame.ID]string
	dispatched []frame.ID
	refused    map[frame.ID]outcome.Code
}

func newHarness(t *testing.T, customers ...Limits) *harness {
	h := &harness{t: t, q: New(), customerOf: make(map[frame.ID]string), refused: make(map[frame.ID]outcome.Code)}
	h.apply(NewConfigure(customers))
	return h
}

func (h *harness) apply(e Event) {
	for _, action := range h.q.Apply(h.now, e) {
		switch action := action.(type) {
		case Dispatch:
			h.dispatched = append(h.dispatched, action.ID())
		case Refuse:
			h.refused[action.ID()] = action.Refusal().Code()
			check.Equal(h.t, "outcome of a refusal", action.Refusal().Outcome(), outcome.NotRun)
		}
	}
}

func (h *harness) enqueue(customer string, cost int64, priority int, deadline clock.Millis) frame.ID {
	h.sequence++
	id := frame.NewID(1, h.sequence)
	h.customerOf[id] = customer
	h.apply(NewEnqueue(id, customer, "asistente", cost, priority, h.now+deadline))
	return id
}

// dispatchedCount returns the number of dispatched requests of a customer.
func (h *harness) dispatchedCount(customer string) int {
	n := 0
	for _, id := range h.dispatched {
		if h.customerOf[id] == customer {
			n++
		}
	}
	return n
}

func TestFairness(t *testing.T) {
	t.Run("equal weights get equal shares regardless of queue length", func(t *testing.T) {
		h := newHarness(t, NewLimits("large", 1, 0, 0), NewLimits("small", 1, 0, 0))
		for range 100 {
			h.enqueue("large", 1000, 0, clock.Minute)
		}
		for range 10 {
			h.enqueue("small", 1000, 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 20))
		check.Equal(t, "small", h.dispatchedCount("small"), 10)
	})
	t.Run("capacity is divided by weight", func(t *testing.T) {
		h := newHarness(t, NewLimits("large", 3, 0, 0), NewLimits("small", 1, 0, 0))
		for range 100 {
			h.enqueue("large", 1000, 0, clock.Minute)
			h.enqueue("small", 1000, 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 40))
		check.Equal(t, "large", h.dispatchedCount("large"), 30)
	})
	t.Run("tiny requests are charged for their batch slots", func(t *testing.T) {
		h := newHarness(t)
		for range 500 {
			h.enqueue("flood", Cost(1, 1), 0, clock.Minute)
		}
		for range 10 {
			h.enqueue("small", Cost(256, 128), 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 50))
		check.Equal(t, "small", h.dispatchedCount("small"), 10)
	})
	t.Run("an idle customer gains no credit", func(t *testing.T) {
		h := newHarness(t)
		for range 100 {
			h.enqueue("busy", 1000, 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 50))
		for range 50 {
			h.enqueue("late", 1000, 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 20))
		check.Equal(t, "late", h.dispatchedCount("late"), 10)
	})
	t.Run("a customer blocked by its own limit gains no credit", func(t *testing.T) {
		h := newHarness(t, NewLimits("limited", 1, 0, 1))
		for range 50 {
			h.enqueue("limited", 1000, 0, clock.Minute)
			h.enqueue("free", 1000, 0, clock.Minute)
		}
		h.apply(NewFreeCapacity("asistente", 21))
		check.Equal(t, "dispatched while limited", h.dispatchedCount("limited"), 1)
		h.apply(NewConfigure(nil))
		h.apply(NewFreeCapacity("asistente", 20))
		// Half of the 20, and one request that starts at the current virtual time.
		check.Equal(t, "dispatched before and after the limit was removed", h.dispatchedCount("limited"), 1+10+1)
	})
}

func TestLimits(t *testing.T) {
	t.Run("requests above the rate limit are refused until the next token", func(t *testing.T) {
		h := newHarness(t, NewLimits("a", 1, 2, 0))
		h.enqueue("a", 1, 0, clock.Minute)
		h.enqueue("a", 1, 0, clock.Minute)
		id := h.enqueue("a", 1, 0, clock.Minute)
		check.Equal(t, "refusal", h.refused[id], outcome.CustomerLimit)
		h.now += 500
		check.Equal(t, "refusal later", h.refused[h.enqueue("a", 1, 0, clock.Minute)], "")
	})
	t.Run("requests above the concurrency limit stay queued", func(t *testing.T) {
		h := newHarness(t, NewLimits("a", 1, 0, 2))
		h.apply(NewFreeCapacity("asistente", 10))
		for range 3 {
			h.enqueue("a", 1, 0, clock.Minute)
		}
		check.Equal(t, "dispatched", len(h.dispatched), 2)
		h.apply(NewComplete(h.dispatched[0]))
		check.Equal(t, "dispatched after completion", len(h.dispatched), 3)
	})
	t.Run("the local share depends on the rates of other entries", func(t *testing.T) {
		h := newHarness(t, NewLimits("a", 1, 100, 0))
		for range 20 {
			h.now += 100
			h.enqueue("a", 1, 0, clock.Minute)
		}
		shares := h.q.Shares(h.now)
		check.Equal(t, "measured customers", len(shares), 1)
		h.apply(NewShares("other", []frame.Share{frame.NewShare("a", 3*shares[0].MilliRequestsPerSecond(), 0)}))
		got := h.q.localShare(h.now, h.q.account("a"))
		check.AtMost(t, "share", got, 0.26)
		check.AtMost(t, "lower bound of the share", 0.24, got)
		h.now += shareTTL + 1
		h.apply(Tick{})
		check.Equal(t, "share without the other entry", h.q.localShare(h.now, h.q.account("a")), 1)
	})
	// Guards against many entries that each apply the smallest share and together exceed the
	// limit of a customer that uses all of them alike.
	t.Run("the shares of many entries add up to the limit", func(t *testing.T) {
		const entries = 40
		h := newHarness(t, NewLimits("a", 1, 100, 0))
		for range 20 {
			h.now += 100
			h.enqueue("a", 1, 0, clock.Minute)
		}
		shares := h.q.Shares(h.now)
		for i := range entries - 1 {
			h.apply(NewShares(fmt.Sprint("other", i), shares))
		}
		check.AtMost(t, "shares of all entries", entries*h.q.localShare(h.now, h.q.account("a")), 1.01)
	})
	t.Run("requests in flight at other entries count", func(t *testing.T) {
		h := newHarness(t, NewLimits("a", 1, 0, 4))
		h.apply(NewShares("other", []frame.Share{frame.NewShare("a", 0, 3)}))
		h.apply(NewFreeCapacity("asistente", 10))
		h.enqueue("a", 1, 0, clock.Minute)
		h.enqueue("a", 1, 0, clock.Minute)
		check.Equal(t, "dispatched", len(h.dispatched), 1)
	})
	t.Run("the queue of a customer is bounded", func(t *testing.T) {
		h := newHarness(t)
		for range maxQueuedPerCustomer {
			h.enqueue("a", 1, 0, clock.Minute)
		}
		check.Equal(t, "refusal", h.refused[h.enqueue("a", 1, 0, clock.Minute)], outcome.CustomerLimit)
	})
}

// saturate makes the queue measure a throughput of 1 token per ms while it is never
// empty.
func (h *harness) saturate() {
	for range 8 {
		h.enqueue("base", 1000, 9, clock.Hour)
	}
	for range 4 {
		h.apply(NewFreeCapacity("asistente", 1))
		h.apply(Tick{})
		h.now += 1000
	}
	h.apply(Tick{})
}

func TestShedding(t *testing.T) {
	t.Run("requests that would miss their deadline are refused early", func(t *testing.T) {
		h := newHarness(t)
		h.saturate()
		kept := h.enqueue("a", 1000, 0, 4*clock.Second)
		shed := h.enqueue("a", 1000, 0, 4*clock.Second)
		for range 40 {
			h.enqueue("a", 1000, 0, clock.Hour)
		}
		h.apply(Tick{})
		check.Equal(t, "first request", h.refused[kept], "")
		check.Equal(t, "second request", h.refused[shed], outcome.Overloaded)
	})
	t.Run("lower priority is shed first", func(t *testing.T) {
		h := newHarness(t)
		h.saturate()
		low := h.enqueue("a", 3000, 0, 30*clock.Second)
		high := h.enqueue("b", 1000, 5, 5*clock.Second)
		h.apply(Tick{})
		check.Equal(t, "low", h.refused[low], outcome.Overloaded)
		check.Equal(t, "high", h.refused[high], "")
	})
	t.Run("nothing is shed for a request that would be late anyway", func(t *testing.T) {
		h := newHarness(t)
		h.saturate()
		low := h.enqueue("a", 1000, 0, 30*clock.Second)
		high := h.enqueue("b", 9000, 5, 5*clock.Second)
		h.apply(Tick{})
		check.Equal(t, "low", h.refused[low], "")
		check.Equal(t, "high", h.refused[high], outcome.Overloaded)
	})
	t.Run("requests past their deadline are refused", func(t *testing.T) {
		h := newHarness(t)
		id := h.enqueue("a", 1, 0, 100)
		h.now += 101
		h.apply(Tick{})
		check.Equal(t, "refusal", h.refused[id], outcome.DeadlineExceeded)
	})
}
