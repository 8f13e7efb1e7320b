package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

const (
	// rateLimitFraction is the fraction of a stated limit that entries use. The rest covers
	// entries that do not agree yet on their number or on who sends when.
	rateLimitFraction = 0.9
	// rateTurnLifetime is how long an entry may use its turn to send to an upstream that
	// states a limit. Entries that have all been idle send at most the requests of so long
	// at once.
	rateTurnLifetime = 2 * clock.Second
	// endedLimitShareTime is how long other entries are told that a limit has ended.
	endedLimitShareTime = 10 * clock.Second
)

// rateLimit is the last statement of an upstream about how many requests it takes.
type rateLimit struct {
	group.Statement
	// own is set if it stated so in a response to this entry.
	own bool
	// endedAt is when a limit ended last, 0 for never.
	endedAt clock.Millis
	// nextTurn is the number of allowed requests at which the next turn of this entry begins
	// at the earliest.
	nextTurn float64
}

// RecordRateLimit records what the upstream of a ticket has just stated: the requests per
// second that it takes from all entries together, 0 if it states no limit. It reports
// whether a limit has begun or ended.
func (b *Balancer) RecordRateLimit(now clock.Millis, t *Ticket, perSecond float64) bool {
	u := t.upstream
	if u == nil {
		return false
	}
	return u.setRateLimit(group.Statement{PerSecond: perSecond, At: now}, true)
}

// setRateLimit applies a statement unless a later one is known. own is set if it was made to
// this entry. It reports whether a limit has begun or ended.
func (u *upstream) setRateLimit(stated group.Statement, own bool) bool {
	known := u.rateLimit
	u.rateLimit.Statement = known.Merge(stated)
	u.rateLimit.own = own || known.own && stated.At <= known.At
	if u.rateLimit.Limited() == known.Limited() {
		return false
	}
	if known.Limited() {
		u.rateLimit.endedAt, u.rateLimit.nextTurn = stated.At, 0
	}
	return true
}

// SetRateLimits applies what upstreams have stated to other entries. It returns the statements
// by which a limit has begun or ended.
func (b *Balancer) SetRateLimits(now clock.Millis, limits []group.RateLimit) []group.RateLimit {
	var changes []group.RateLimit
	for _, l := range limits {
		u := b.upstreams[l.Upstream]
		if u != nil && u.setRateLimit(l.Statement(now), false) {
			changes = append(changes, l)
		}
	}
	return changes
}

// unknownPosition is the position of an entry that no agent has told its position.
const unknownPosition = -1

// SetPosition sets the place of this entry among all entries, from 0, by which they take turns.
func (b *Balancer) SetPosition(position int) { b.position = position }

// RateLimits returns what upstreams have stated to this entry last and other entries should
// know: limits, and that one has ended. The latest statements come first.
func (b *Balancer) RateLimits(now clock.Millis) []group.RateLimit {
	var out []group.RateLimit
	for id, u := range b.upstreams {
		l := u.rateLimit
		ended := !l.Limited() && l.endedAt > 0 && now-l.endedAt < endedLimitShareTime
		if l.own && (l.Limited() || ended) {
			out = append(out, l.RateLimit(now, id))
		}
	}
	group.SortRateLimits(out)
	return out
}

// rateTurns returns the turns of this entry at an upstream that states a limit.
func (b *Balancer) rateTurns(now clock.Millis, u *upstream) turns {
	stated := u.rateLimit
	return b.turns(now, u, sharedLimit{
		allowed:      stated.AllowedUntil(now) * rateLimitFraction,
		perSecond:    stated.PerSecond * rateLimitFraction,
		turnLifetime: rateTurnLifetime,
	})
}

// nextAllowed returns when u may get the next request of this entry by the limit that it
// states.
func (b *Balancer) nextAllowed(now clock.Millis, u *upstream) clock.Millis {
	if !u.rateLimit.Limited() {
		return now
	}
	return b.rateTurns(now, u).next(u.rateLimit.nextTurn)
}

// limitSlots is when each of some upstreams that state a limit takes requests of this entry.
type limitSlots []limitSlot

// limitSlot is when an upstream takes the next request, and the interval of further ones.
type limitSlot struct{ next, interval clock.Millis }

// limitSlots returns the slots of all usable upstreams. It reports whether stated limits bind,
// which is the case if all of these state one.
func (b *Balancer) limitSlots(now clock.Millis, s *service) (slots limitSlots, bind bool) {
	for _, u := range s.upstreams {
		if !b.inService(now, u) || u.pauses.has(now, pauseFailed) {
			continue
		}
		if !u.rateLimit.Limited() {
			return nil, false
		}
		turns := b.rateTurns(now, u)
		slots = append(slots, limitSlot{turns.next(u.rateLimit.nextTurn), turns.interval()})
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
