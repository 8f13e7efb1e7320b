// Package connlimit bounds the open connections of a listener. A peer that connects and then sends or
// reads nothing keeps a descriptor for as long as it likes, and without descriptors a process serves
// nobody.
package connlimit

import (
	"container/list"
	"net"
	"sync"

	"goldcrestshore/core/process/clock"
)

// State is what a connection waits for.
type State int

// States of a connection.
const (
	// Waiting means that the peer has to go on: it has sent nothing or part of a message so far.
	Waiting State = iota
	// Sending means that the peer has to read what is sent to it.
	Sending
	// Idle means that the connection is between two messages.
	Idle
	// Busy means that the process works on a message. Such a connection is never closed.
	Busy

	stateCount
)

// Reason is why a set has closed a connection.
type Reason string

// Reasons.
const (
	// ClosedFull means that the set was full.
	ClosedFull Reason = "full"
	// ClosedLate means that the peer did not go on in time.
	ClosedLate Reason = "late"
	// ClosedIdle means that the peer sent no message in time.
	ClosedIdle Reason = "idle"
)

// SweepInterval is the time between two calls of CloseOverdue.
const SweepInterval = clock.Second

// patience is how long a peer that behaves takes at most to send a message or to read one.
const patience = clock.Second

// Set is a set of open connections. When a connection is added to a full set, one that keeps the
// process waiting is closed in its place: the one that has been waiting or sending longest, if that is
// longer than a peer takes that behaves, then the one that has been idle longest, then the one that has
// been waiting longest. If none is left, it is the new one. Exported fields must be set before use. A
// Set is safe for concurrent use.
type Set struct {
	Clock *clock.Clock
	// Max is the number of connections that may be open at once, 0 for any number.
	Max int
	// OnClose is called for each connection that the set closes; it may be nil.
	OnClose func(Reason)

	mu sync.Mutex
	// order holds the connections in each state, those that have been in it longest first.
	order     [stateCount]list.List
	lastSweep clock.Millis
}

// Len returns the number of open connections.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.len()
}

// crowdedFraction is the fraction of Max from which a set is crowded.
const crowdedFraction = 0.95

// Crowded reports whether there is little room for new connections.
func (s *Set) Crowded() bool {
	return s.Max > 0 && float64(s.Len()) >= float64(s.Max)*crowdedFraction
}

// len must be called with mu held.
func (s *Set) len() int {
	n := 0
	for i := range s.order {
		n += s.order[i].Len()
	}
	return n
}

// Add adds a connection, in state Waiting. It returns nil if the connection was closed because the set
// is full and none can be closed in its place.
func (s *Set) Add(c net.Conn) *Conn {
	s.mu.Lock()
	full := s.Max > 0 && s.len() >= s.Max
	var victim *Conn
	if full {
		victim = s.victim()
	}
	if full && victim == nil {
		s.mu.Unlock()
		_ = c.Close() // the peer sees a closed connection, whatever this returns
		s.count(ClosedFull)
		return nil
	}
	added := &Conn{Conn: c, set: s, since: s.Clock.Now()}
	added.place = s.order[Waiting].PushBack(added)
	if victim != nil {
		s.remove(victim)
	}
	s.mu.Unlock()
	if victim != nil {
		_ = victim.Conn.Close() // it is no longer counted, whatever this returns
		s.count(ClosedFull)
	}
	return added
}

// victim returns the connection to close in place of a new one, nil if there is none. It must be called
// with mu held.
func (s *Set) victim() *Conn {
	waiting, sending := s.longest(Waiting), s.longest(Sending)
	stuck := waiting
	if waiting == nil || (sending != nil && sending.since < waiting.since) {
		stuck = sending
	}
	if stuck != nil && s.Clock.Now()-stuck.since > patience {
		return stuck
	}
	if idle := s.longest(Idle); idle != nil {
		return idle
	}
	return waiting
}

// longest returns the connection that has been in a state for longest, nil if none is in it. It must be
// called with mu held.
func (s *Set) longest(state State) *Conn {
	front := s.order[state].Front()
	if front == nil {
		return nil
	}
	return front.Value.(*Conn)
}

// remove must be called with mu held.
func (s *Set) remove(c *Conn) {
	if c.place != nil {
		s.order[c.state].Remove(c.place)
		c.place = nil
	}
}

// CloseOverdue closes the connections that have been in their state for longer than its limit, and must
// be called every SweepInterval. What arrived while the process was suspended is read first.
func (s *Set) CloseOverdue() {
	now := s.Clock.Now()
	s.mu.Lock()
	suspended := now-s.lastSweep > 2*SweepInterval
	s.lastSweep = now
	var overdue []*Conn
	for i := range s.order {
		for e := s.order[i].Front(); e != nil && !suspended; e = e.Next() {
			if c := e.Value.(*Conn); c.limit > 0 && now-c.since > c.limit {
				overdue = append(overdue, c)
			}
		}
	}
	s.mu.Unlock()
	for _, c := range overdue {
		s.count(c.reason())
		_ = c.Close() // the peer sees a closed connection, whatever this returns
	}
}

// reason returns why the connection is closed when its time is up.
func (c *Conn) reason() Reason {
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.state == Idle {
		return ClosedIdle
	}
	return ClosedLate
}

func (s *Set) count(reason Reason) {
	if s.OnClose != nil {
		s.OnClose(reason)
	}
}
