package balance

import "goldcrestshore/core/process/clock"

// firstEvent returns when the first event of a request that is granted now can be expected.
func (s *service) firstEvent(now clock.Millis) firstEvent {
	return firstEvent(now + s.responseLatency.value())
}

// ahead returns how many waiting requests go before t.
func (s *service) ahead(now clock.Millis, t *Ticket) int { return s.queue.ahead(s.firstEvent(now), t) }

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
	for s.queue.length > 0 {
		t := s.queue.next(s.firstEvent(now))
		u := b.choose(now, s, t)
		if u == nil {
			break
		}
		s.queue.take(t)
		out = append(out, b.grant(now, s, t, u))
	}
	if s.queue.length > 0 && b.anyFree(now, s) {
		out = append(out, b.dispatchOthers(now, s)...)
	}
	return out
}

// dispatchOthers grants upstreams that the next request in the queue can't use to later ones. Of the
// requests of a customer that may go to any upstream, one is tried.
func (b *Balancer) dispatchOthers(now clock.Millis, s *service) []Decision {
	var out []Decision
	tried := make(map[string]bool)
	for _, t := range s.queue.inOrder(s.firstEvent(now)) {
		isAnywhere := len(t.Avoid) == 0
		if isAnywhere && tried[t.Customer] {
			continue
		}
		u := b.choose(now, s, t)
		if u == nil {
			tried[t.Customer] = tried[t.Customer] || isAnywhere
			continue
		}
		s.queue.take(t)
		out = append(out, b.grant(now, s, t, u))
	}
	return out
}

// expire rejects the waiting requests for which waiting is useless.
func (b *Balancer) expire(now clock.Millis, s *service) []Decision {
	var out []Decision
	usable := b.usable(now, s)
	slots, limitsBind := b.limitSlots(now, s)
	resumesAt := b.resumesAt(now, s)
	for _, t := range s.queue.inOrder(s.firstEvent(now)) {
		sentBy := now // at the earliest
		if limitsBind {
			sentBy = slots.take()
		}
		reason := s.uselessWait(now, t, usable, sentBy, resumesAt)
		if reason == "" {
			continue
		}
		s.queue.remove(t)
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
