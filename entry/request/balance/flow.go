package balance

import (
	"cmp"
	"slices"

	"goldcrestshore/core/process/clock"
)

// firstEvent is when the first event of a request that is granted now can be expected. Requests are ranked
// by it.
type firstEvent clock.Millis

// isLate reports whether a request can't meet its objective any more.
func (e firstEvent) isLate(t *Ticket) bool { return clock.Millis(e) > t.Due }

// compare ranks those that can still meet their objective first, then those that are due first. It returns
// a negative number if a goes before b.
func (e firstEvent) compare(a, b *Ticket) int {
	aLate, bLate := e.isLate(a), e.isLate(b)
	switch {
	case aLate && !bLate:
		return 1
	case bLate && !aLate:
		return -1
	}
	return cmp.Compare(a.Due, b.Due)
}

// flow holds the waiting requests of one customer and priority.
type flow struct {
	// nextTag is the start tag of its next request, unless the virtual time is ahead of it.
	nextTag int
	// tickets is sorted by due time.
	tickets []*Ticket
}

// add adds a ticket behind those that are due at the same time.
func (f *flow) add(t *Ticket) { f.tickets = slices.Insert(f.tickets, f.countDueUntil(t.Due), t) }

// remove removes a ticket and reports whether the flow held it.
func (f *flow) remove(t *Ticket) bool {
	i := slices.Index(f.tickets, t)
	if i < 0 {
		return false
	}
	f.tickets = slices.Delete(f.tickets, i, i+1)
	return true
}

// nth returns the request that gets the turn number n of the flow from now.
func (f *flow) nth(e firstEvent, n int) *Ticket {
	return f.tickets[(f.countLate(e)+n)%len(f.tickets)]
}

// turnsBefore returns how many turns the flow gets before that of t, which it does not hold.
func (f *flow) turnsBefore(e firstEvent, t *Ticket) int {
	late, due := f.countLate(e), f.countDueUntil(t.Due)
	if e.isLate(t) {
		return len(f.tickets) - late + due
	}
	return due - late
}

// countLate returns the number of tickets that are late. They are the first ones.
func (f *flow) countLate(e firstEvent) int { return f.countDueUntil(clock.Millis(e) - 1) }

// countDueUntil returns the number of tickets that are due at a time or before it.
func (f *flow) countDueUntil(at clock.Millis) int {
	n, _ := slices.BinarySearchFunc(f.tickets, at, func(t *Ticket, at clock.Millis) int {
		if t.Due <= at {
			return -1
		}
		return 1
	})
	return n
}
