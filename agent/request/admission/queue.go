package admission

import (
	"cmp"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// waiter is a request that waits for admission.
type waiter struct {
	id       frame.ID
	size     frame.Size
	tokens   int64
	sampled  bool
	priority int
	deadline clock.Millis
	arrived  clock.Millis
	expires  clock.Millis
}

// queue orders waiters by priority, then deadline, then arrival. It is short,
// so a sorted slice suffices.
type queue struct {
	waiters []waiter
}

func (q *queue) push(w waiter) {
	// Equal waiters keep their order of arrival: the new one goes behind them.
	i, _ := slices.BinarySearchFunc(q.waiters, w, func(have, w waiter) int {
		if c := compare(have, w); c != 0 {
			return c
		}
		return -1
	})
	q.waiters = slices.Insert(q.waiters, i, w)
}

func compare(a, b waiter) int {
	if c := cmp.Compare(b.priority, a.priority); c != 0 {
		return c
	}
	return cmp.Compare(a.deadline, b.deadline)
}

func (q *queue) len() int { return len(q.waiters) }

func (q *queue) at(i int) waiter { return q.waiters[i] }

func (q *queue) removeAt(i int) { q.waiters = slices.Delete(q.waiters, i, i+1) }

func (q *queue) has(id frame.ID) bool {
	return slices.ContainsFunc(q.waiters, func(w waiter) bool { return w.id == id })
}

func (q *queue) remove(id frame.ID) {
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool { return w.id == id })
}

// popExpired removes and returns the waiters whose wait has expired.
func (q *queue) popExpired(now clock.Millis) []waiter {
	var expired []waiter
	q.waiters = slices.DeleteFunc(q.waiters, func(w waiter) bool {
		if w.expires > now {
			return false
		}
		expired = append(expired, w)
		return true
	})
	return expired
}

// popLast removes and returns the waiter that would be admitted last.
func (q *queue) popLast() waiter {
	last := q.waiters[len(q.waiters)-1]
	q.waiters = q.waiters[:len(q.waiters)-1]
	return last
}

func (q *queue) popAll() []waiter {
	all := q.waiters
	q.waiters = nil
	return all
}

// promptTokens returns the total prompt tokens of all waiters.
func (q *queue) promptTokens() int {
	tokens := 0
	for _, w := range q.waiters {
		tokens += w.size.PromptTokens()
	}
	return tokens
}
