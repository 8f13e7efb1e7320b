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

// ahead returns how many waiting requests go before t.
func (s *service) ahead(now clock.Millis, t *Ticket) int {
	n := 0
	for _, q := range s.queue {
		if !s.before(now, t, q) {
			n++
		}
	}
	return n
}

// completionWait estimates how long a request with others ahead of it waits, from the rate
// of completions. It returns 0 if there are no recent ones.
func (s *service) completionWait(now clock.Millis, ahead int) clock.Millis {
	perSecond := s.completions.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(float64(ahead+1) / perSecond * float64(clock.Second))
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

// expire rejects the waiting requests for which waiting is useless. The queue must be sorted.
func (b *Balancer) expire(now clock.Millis, s *service) []Decision {
	var out []Decision
	usable := b.usable(now, s)
	slots, limitsBind := b.limitSlots(now, s)
	resumesAt := b.resumesAt(now, s)
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		sentBy := now // at the earliest
		if limitsBind {
			sentBy = slots.take()
		}
		reason := s.uselessWait(now, t, usable, sentBy, resumesAt)
		if reason == "" {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, b.reject(now, s, t, reason, usable))
	}
	return out
}

// uselessWait returns the reason for which t need not wait any longer, or an empty one. sentBy
// is when stated limits allow it to be sent, and resumesAt when requested pauses end.
func (s *service) uselessWait(now clock.Millis, t *Ticket, usable int, sentBy, resumesAt clock.Millis) Reason {
	groupDown := usable == 0 && (s.down || s.reportedClosed())
	switch {
	case groupDown && !s.opensBefore(now, t.WaitDeadline) && resumesAt == now:
		return NoUpstream
	case usable == 0 && resumesAt > t.WaitDeadline:
		return PauseRequested
	case now >= t.WaitDeadline:
		return TooLate
	case sentBy > t.WaitDeadline:
		return LimitReached
	}
	return ""
}
