package balance

import "goldcrestshore/core/process/clock"

func (b *Balancer) reject(now clock.Millis, s *service, t *Ticket, reason Reason, usable int) Reject {
	return Reject{Ticket: t, Reason: reason, RetryAfter: b.retryAfter(now, s, usable, s.queue.aheadOfNext(s.firstEvent(now), t.Customer, t.Priority)), Queued: s.queue.length, Usable: usable}
}

// Bounds of the delay after which a rejected caller should retry.
const (
	minRetryAfter clock.Millis = 300
	maxRetryAfter clock.Millis = 2500
)

// retryAfterSteps is the number of distinct delays that rejected callers get.
const retryAfterSteps = 16

// retryAfter spreads the retries of rejected callers: the delays run from the time
// that the requests take that go ahead of the customer's next one to twice that time. Without recent completions they
// run from half of maxRetryAfter to maxRetryAfter. Without a usable upstream they are
// near maxRetryAfter, or behind the expected opening of a closed group, or behind the end of the
// first pause if all upstreams have asked for one. While all usable
// upstreams state a limit they begin when the limits allow another request.
func (b *Balancer) retryAfter(now clock.Millis, s *service, usable, ahead int) clock.Millis {
	s.rejections++
	const spread = maxRetryAfter / 4
	if opening := s.opensAt - now; s.reportedClosed() && opening > 0 {
		return opening + spread*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
	}
	if resumesAt := b.resumesAt(now, s); usable == 0 && resumesAt > now {
		return resumesAt - now + spread*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
	}
	if s.down || usable == 0 {
		// Faults that stop all ranks of a group last for seconds, and so do drains.
		return maxRetryAfter - (maxRetryAfter/8)*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
	}
	wait := maxRetryAfter / 2
	if perSecond := s.completions.perSecond(now); perSecond > 0 {
		needed := clock.Millis(float64(ahead) / perSecond * float64(clock.Second))
		wait = min(max(needed, minRetryAfter), maxRetryAfter/2)
	}
	if slots, bind := b.limitSlots(now, s); bind {
		slots.skip(ahead)
		wait = max(wait, slots.take()-now)
	}
	return wait + wait*clock.Millis(s.rejections*7%retryAfterSteps)/retryAfterSteps
}

// RetryAfter returns the delay after which the caller of a request to the service
// should retry if the request cannot be run now.
func (b *Balancer) RetryAfter(now clock.Millis, name string) clock.Millis {
	s := b.service(name)
	return b.retryAfter(now, s, b.usable(now, s), s.queue.length)
}
