package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

const (
	// rateLimitFraction is the fraction of a stated limit that entries use. They do not
	// coordinate when they send, so the requests of several may coincide.
	rateLimitFraction = 0.9
	// endedLimitShareTime is how long other entries are told that a limit has ended.
	endedLimitShareTime = 10 * clock.Second
)

// rateLimit is the last statement of an upstream about how many requests it takes.
type rateLimit struct {
	// perSecond is the number of requests per second that the upstream takes from all
	// entries together, 0 if it states no limit.
	perSecond float64
	// statedAt is when the upstream stated so.
	statedAt clock.Millis
	// own is set if it stated so in a response to this entry.
	own bool
	// changedAt is when this entry learned that a limit has begun or ended.
	changedAt clock.Millis
}

// RecordRateLimit records what the upstream of a ticket has just stated: the requests per
// second that it takes from all entries together, 0 if it states no limit. It reports
// whether a limit has begun or ended.
func (b *Balancer) RecordRateLimit(now clock.Millis, t *Ticket, perSecond float64) bool {
	if t.upstream == nil {
		return false
	}
	return t.upstream.setRateLimit(now, rateLimit{perSecond: perSecond, statedAt: now, own: true})
}

// setRateLimit applies a statement unless a later one is known. It reports whether a limit has
// begun or ended.
func (u *upstream) setRateLimit(now clock.Millis, l rateLimit) bool {
	if l.statedAt < u.rateLimit.statedAt {
		return false
	}
	changed := (l.perSecond > 0) != (u.rateLimit.perSecond > 0)
	l.changedAt = u.rateLimit.changedAt
	if changed {
		l.changedAt = now
	}
	u.rateLimit = l
	return changed
}

// SetRateLimits applies what upstreams have stated to other entries. It returns the statements
// by which a limit has begun or ended.
func (b *Balancer) SetRateLimits(now clock.Millis, limits []group.RateLimit) []group.RateLimit {
	var changes []group.RateLimit
	for _, l := range limits {
		u := b.upstreams[l.Upstream]
		statedAt := now - clock.Millis(max(l.Age, 0))
		if u != nil && u.rateLimit.statedAt < statedAt && u.setRateLimit(now, rateLimit{perSecond: l.PerSecond, statedAt: statedAt}) {
			changes = append(changes, l)
		}
	}
	return changes
}

// RateLimits returns what upstreams have stated to this entry last and other entries should
// know: limits, and that one has ended. The latest statements come first.
func (b *Balancer) RateLimits(now clock.Millis) []group.RateLimit {
	var out []group.RateLimit
	for id, u := range b.upstreams {
		l := u.rateLimit
		ended := l.perSecond == 0 && l.changedAt > 0 && now-l.changedAt < endedLimitShareTime
		if l.own && (l.perSecond > 0 || ended) {
			out = append(out, group.RateLimit{Upstream: id, PerSecond: l.perSecond, Age: int64(now - l.statedAt)})
		}
	}
	group.SortRateLimits(out)
	return out
}

// rateInterval returns the time between two requests of this entry to an upstream that
// states a limit: each entry uses an equal share of it.
func (b *Balancer) rateInterval(now clock.Millis, u *upstream) clock.Millis {
	entries := float64(b.entries.value(now))
	return clock.Millis(float64(clock.Second) * entries / (u.rateLimit.perSecond * rateLimitFraction))
}

// nextAllowed returns when u may get the next request of this entry by the limit that it
// states.
func (b *Balancer) nextAllowed(now clock.Millis, u *upstream) clock.Millis {
	if u.rateLimit.perSecond == 0 {
		return now
	}
	return b.nextSpaced(u, u.rateLimit.changedAt, b.rateInterval(now, u))
}

// limitSlots is when each of some upstreams that state a limit takes requests of this entry.
type limitSlots []limitSlot

// limitSlot is when an upstream takes the next request, and the interval of further ones.
type limitSlot struct{ next, interval clock.Millis }

// limitSlots returns the slots of all usable upstreams. It reports whether stated limits bind,
// which is the case if all of these state one.
func (b *Balancer) limitSlots(now clock.Millis, s *service) (slots limitSlots, bind bool) {
	for _, u := range s.upstreams {
		if !b.inService(now, u) || now < u.skipUntil {
			continue
		}
		if u.rateLimit.perSecond == 0 {
			return nil, false
		}
		slots = append(slots, limitSlot{max(now, b.nextAllowed(now, u)), b.rateInterval(now, u)})
	}
	return slots, len(slots) > 0
}

// take returns when the next request is taken, and uses up its slot.
func (l limitSlots) take() clock.Millis {
	first := 0
	for i := range l {
		if l[i].next < l[first].next {
			first = i
		}
	}
	at := l[first].next
	l[first].next += l[first].interval
	return at
}

// skip uses up the slots of n requests.
func (l limitSlots) skip(n int) {
	for range n {
		l.take()
	}
}
