package once

import (
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/claim"
)

const (
	// platformTimeout is the timeout of an entry's call to the platform.
	platformTimeout = 800 * clock.Millis(1)
	// platformWritesPerSecond is the rate limit of the object API.
	platformWritesPerSecond = 400
)

// store is a fake of the platform's object API with conditional writes.
type store struct {
	engine  *engine
	objects map[string]claim.Object
	version uint64
	writes  int
	reads   int

	downUntil     clock.Millis // calls fail until then
	slowUntil     clock.Millis // calls are slow until then
	resultsToLose int          // number of next writes whose result is lost although they took effect
	lateWrites    int          // number of next writes that time out and are applied late

	limited  bool
	nextSlot clock.Millis // when the rate limit admits the next write, in microseconds
}

func newStore(e *engine) *store {
	return &store{engine: e, objects: map[string]claim.Object{}}
}

// delay draws the duration of one call.
func (s *store) delay() clock.Millis {
	if s.engine.now < s.slowUntil {
		return s.engine.between(200, 1000)
	}
	return s.engine.between(2, 6)
}

// put serves a conditional write of p and passes the result to handle.
func (s *store) put(p *process, w claim.Write, handle func(claim.WriteResult)) {
	s.writes++
	indeterminate := claim.NewWriteResult(w.CallID(), claim.Indeterminate, 0)
	if s.engine.now < s.downUntil {
		p.later(s.engine.between(1, platformTimeout), func() { handle(indeterminate) })
		return
	}
	if s.lateWrites > 0 {
		s.lateWrites--
		s.engine.after(s.engine.between(platformTimeout/2, 2*platformTimeout), func() { s.write(w) })
		p.later(platformTimeout, func() { handle(indeterminate) })
		return
	}
	generation := p.generation
	s.engine.after(s.delay()/2+s.queueDelay(), func() {
		result := s.write(w)
		if s.resultsToLose > 0 {
			s.resultsToLose--
			result = indeterminate
		}
		replyDelay := s.delay() / 2
		s.engine.after(replyDelay, func() { p.deliver(generation, func() { handle(result) }) })
	})
}

// queueDelay returns how long the rate limit delays the next write.
func (s *store) queueDelay() clock.Millis {
	if !s.limited {
		return 0
	}
	now := s.engine.now * 1000
	s.nextSlot = max(s.nextSlot, now) + 1000*clock.Second/platformWritesPerSecond
	return (s.nextSlot - now) / 1000
}

func (s *store) write(w claim.Write) claim.WriteResult {
	if s.objects[w.Name()].Version() != w.Version() {
		return claim.NewWriteResult(w.CallID(), claim.Conflict, 0)
	}
	s.version++
	s.objects[w.Name()] = claim.NewObject(w.Name(), s.version, w.Value())
	return claim.NewWriteResult(w.CallID(), claim.Applied, s.version)
}

// get serves a read of one object by p and passes the result to handle.
func (s *store) get(p *process, r claim.Read, handle func(claim.ReadResult)) {
	s.reads++
	if s.engine.now < s.downUntil {
		p.later(s.engine.between(1, platformTimeout), func() { handle(claim.NewReadFailed(r.CallID())) })
		return
	}
	generation := p.generation
	s.engine.after(s.delay()/2, func() {
		o := s.objects[r.Name()]
		s.engine.after(s.delay()/2, func() { p.deliver(generation, func() { handle(claim.NewReadResult(r.CallID(), o)) }) })
	})
}

// list serves a read of all objects with a prefix. It reads two halves at
// different instants, because the platform does not guarantee a consistent
// snapshot for a list.
func (s *store) list(p *process, l claim.List, handle func(claim.ListResult)) {
	s.reads++
	if s.engine.now < s.downUntil {
		p.later(s.engine.between(1, platformTimeout), func() { handle(claim.NewListFailed(l.CallID())) })
		return
	}
	generation := p.generation
	s.engine.after(s.delay()/2, func() {
		first := s.matching(l.Prefix(), 0)
		s.engine.after(s.delay()/2, func() {
			all := append(first, s.matching(l.Prefix(), 1)...)
			p.deliver(generation, func() { handle(claim.NewListResult(l.CallID(), all)) })
		})
	})
}

// matching returns the objects with the prefix whose names are in the given half,
// sorted by name.
func (s *store) matching(prefix string, half int) []claim.Object {
	var found []claim.Object
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) && int(name[len(name)-1])%2 == half {
			found = append(found, o)
		}
	}
	slices.SortFunc(found, func(a, b claim.Object) int { return strings.Compare(a.Name(), b.Name()) })
	return found
}
