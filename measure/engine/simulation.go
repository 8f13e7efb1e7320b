// Package engine simulates model engines in virtual time for the measurements:
// continuous batching, a prompt-prefix cache in limited memory, cold starts,
// out-of-memory crashes, stale load reports, and cache events that are delayed
// or lost.
package engine

import (
	"container/heap"

	"goldcrestshore/core/process/clock"
)

// Simulation runs functions in order of virtual time.
type Simulation struct {
	now   clock.Millis
	count uint64
	queue schedule
}

// NewSimulation returns a simulation that starts at one hour, so that no valid
// time equals the zero value.
func NewSimulation() *Simulation { return &Simulation{now: clock.Hour} }

// Now returns the current virtual time.
func (s *Simulation) Now() clock.Millis { return s.now }

// After runs f after the given delay. Functions due at the same time run in the
// order in which they were scheduled.
func (s *Simulation) After(delay clock.Millis, f func()) {
	s.count++
	heap.Push(&s.queue, scheduled{s.now + max(delay, 0), s.count, f})
}

// Every runs f each interval until the simulation ends.
func (s *Simulation) Every(interval clock.Millis, f func()) {
	s.After(interval, func() {
		f()
		s.Every(interval, f)
	})
}

// Run advances virtual time by duration and runs all functions that are due.
func (s *Simulation) Run(duration clock.Millis) {
	end := s.now + duration
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(scheduled)
		s.now = next.at
		next.run()
	}
	s.now = end
}

type scheduled struct {
	at    clock.Millis
	count uint64
	run   func()
}

type schedule []scheduled

// Len returns the number of scheduled functions.
func (s schedule) Len() int { return len(s) }

// Less orders by time, then by order of scheduling.
func (s schedule) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].count < s[j].count
}

// Swap exchanges two entries.
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push appends an entry.
func (s *schedule) Push(x any) { *s = append(*s, x.(scheduled)) }

// Pop removes the last entry.
func (s *schedule) Pop() any {
	old := *s
	last := old[len(old)-1]
	*s = old[:len(old)-1]
	return last
}
