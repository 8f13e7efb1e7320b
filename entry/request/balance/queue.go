package balance

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// before orders waiting requests: by priority, then those that can still meet
// their objective if they are granted now, then by arrival.
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

func (b *Balancer) reject(now clock.Millis, s *service, t *Ticket, reason Reason, usable int) Reject {
	return Reject{Ticket: t, Reason: reason, RetryAfter: s.retryAfter(now), Queued: len(s.queue), Usable: usable}
}

// Bounds of the time after which a rejected caller comes back.
const (
	minRetryAfter clock.Millis = 300
	maxRetryAfter clock.Millis = 2500
)

// retryAfterSteps is the number of different times that rejected callers get.
const retryAfterSteps = 16

// retryAfter spreads returns: from the time that the queue needs to empty, over
// as long again. Without any completion to go by, the longest time counts.
func (s *service) retryAfter(now clock.Millis) clock.Millis {
	s.rejections++
	if s.down {
		// What makes all ranks of a group fail lasts for seconds.
		return maxRetryAfter - (maxRetryAfter/8)*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
	}
	wait := maxRetryAfter / 2
	if perSecond := s.completions.perSecond(now); perSecond > 0 {
		needed := clock.Millis(float64(len(s.queue)) / perSecond * float64(clock.Second))
		wait = min(max(needed, minRetryAfter), maxRetryAfter/2)
	}
	return wait + wait*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
}

func (b *Balancer) dispatch(now clock.Millis, s *service) []Decision {
	var out []Decision
	// What was in time when it came may be late by now.
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

func (b *Balancer) expire(now clock.Millis, s *service) []Decision {
	var out []Decision
	usable := b.usable(now, s)
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		reason := TooLate
		switch {
		case s.down && usable == 0:
			reason = NoUpstream // waiting does not help while a group is down
		case now < t.WaitDeadline:
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, b.reject(now, s, t, reason, usable))
	}
	return out
}
