package engine

import (
	"testing"

	"goldcrestshore/core/process/check"
)

func coldOptions() Options {
	o := Defaults()
	o.ColdCapacity, o.WarmCapacity, o.OverloadPercent = 2, 6, 100
	o.BytesPerToken, o.MemoryBytes = 1, 1000
	return o
}

func mustAdmit(t *testing.T, s *state, tokens int) *job {
	t.Helper()
	j, reason := s.admit(tokens, 0)
	check.Equal(t, "crash reason", reason, healthy)
	return j
}

// Guards against an engine that warms up by requests that did not complete.
func TestCapacityGrowsWithCompletedWork(t *testing.T) {
	o := coldOptions()
	s := newState(&o)
	for want := 2; want < 6; want++ {
		check.Equal(t, "capacity", s.capacity(), want)
		check.Equal(t, "cold", s.cold(), true)
		s.release(mustAdmit(t, s, 1), false)
		check.Equal(t, "capacity after an aborted request", s.capacity(), want)
		s.release(mustAdmit(t, s, 1), true)
	}
	check.Equal(t, "warm capacity", s.capacity(), 6)
	check.Equal(t, "warm", s.cold(), false)
}

func TestColdOverloadFails(t *testing.T) {
	o := coldOptions()
	s := newState(&o)
	mustAdmit(t, s, 1)
	mustAdmit(t, s, 1)
	_, reason := s.admit(1, 0)
	check.Equal(t, "crash reason", reason, overloaded)
	check.Equal(t, "over limit", s.counts.OverLimit, 1)
	before := s.incarnation
	s.restart()
	check.Equal(t, "in flight after restart", s.inFlight+s.inFlightTokens+s.running, 0)
	check.Equal(t, "new incarnation", s.incarnation != before, true)
}

// Guards against requests admitted before the engine turned cold that count as
// overload or as warm-up: admission control cannot revoke them.
func TestTurnColdWithRequestsInFlight(t *testing.T) {
	o := coldOptions()
	s := newState(&o)
	for range 4 {
		s.release(mustAdmit(t, s, 1), true)
	}
	var previous []*job
	for range 6 {
		previous = append(previous, mustAdmit(t, s, 1))
	}
	s.turnCold()
	check.Equal(t, "capacity", s.capacity(), 2)
	mustAdmit(t, s, 1)
	s.release(previous[0], true)
	check.Equal(t, "capacity after a request of the previous epoch", s.capacity(), 2)
}

func TestMemory(t *testing.T) {
	o := coldOptions()
	s := newState(&o)
	j := mustAdmit(t, s, 999)
	check.Equal(t, "last token that fits", s.addToken(j), healthy)
	check.Equal(t, "one more token", s.addToken(j), memoryFull)
	s.restart()
	_, reason := s.admit(1001, 0)
	check.Equal(t, "prompt beyond the memory", reason, memoryFull)
}

func TestBatchIsFilledByPriority(t *testing.T) {
	o := coldOptions()
	o.ColdCapacity, o.WarmCapacity = 1, 1
	s := newState(&o)
	first := mustAdmit(t, s, 1)
	low, _ := s.admit(1, 1)
	high, _ := s.admit(1, 2)
	cancelled, _ := s.admit(1, 3)
	s.release(cancelled, false)
	s.release(first, true)
	check.Equal(t, "high priority runs", high.started, true)
	check.Equal(t, "low priority waits", low.started, false)
	s.release(high, true)
	check.Equal(t, "low priority runs", low.started, true)
}
