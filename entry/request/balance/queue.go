package balance

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// before reports whether a goes before b: by priority, then those that can still
// meet their objective if granted now, then by due time.
func (s *service) before(now clock.Millis, a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	firstEvent := now + s.responseLatency.value()
	aLate, bLate := firstEvent > a.Due, firstEvent > b.Due
	if aLate != bLate {
		return bLate
	}
	return a.Due < b.Due
}

// expectedWait estimates how long t would wait, from its position in the queue and
// the rate of completions. It returns 0 if there are no recent completions.
func (s *service) expectedWait(now clock.Millis, t *Ticket) clock.Millis {
	ahead := 1
	for _, q := range s.queue {
		if !s.before(now, t, q) {
			ahead++
		}
	}
	perSecond := s.completions.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(float64(ahead) / perSecond * float64(clock.Second))
}

// dispatch grants upstreams to waiting requests in the order of the queue.
func (b *Balancer) dispatch(now clock.Millis, s *service) []Decision {
	var out []Decision
	// Requests that could meet their objective on arrival may be late by now.
	slices.SortStableFunc(s.queue, func(x, y *Ticket) int {
		if s.before(now, x, y) {
			return -1
		}
		if s.before(now, y, x) {
			return 1
		}
		return 0
	})
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		u := b.choose(now, s, t)
		if u == nil {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, b.grant(now, s, t, u))
	}
	return out
}

// expire rejects the requests whose wait deadline has passed, and all waiting
// requests while the group is down.
func (b *Balancer) expire(now clock.Millis, s *service) []Decision {
	var out []Decision
	usable := b.usable(now, s)
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		reason := TooLate
		switch {
		case usable == 0 && (s.down || s.reportedClosed()) && !s.opensBefore(now, t.WaitDeadline):
			reason = NoUpstream // waiting is useless while the group is down
		case now < t.WaitDeadline:
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, b.reject(now, s, t, reason, usable))
	}
	return out
}
