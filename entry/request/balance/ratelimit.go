package balance

import "goldcrestshore/core/process/clock"

// rateLimit is the last statement of an upstream about how many requests it takes.
type rateLimit struct {
	// perSecond is the number of requests per second that the upstream takes from all
	// entries together, 0 if it states no limit.
	perSecond float64
	// statedAt is when the upstream stated so.
	statedAt clock.Millis
}

// RecordRateLimit records what the upstream of a ticket has just stated: the requests per
// second that it takes from all entries together, 0 if it states no limit. It reports
// whether a limit has begun or ended.
func (b *Balancer) RecordRateLimit(now clock.Millis, t *Ticket, perSecond float64) bool {
	if t.upstream == nil {
		return false
	}
	return t.upstream.setRateLimit(rateLimit{perSecond, now})
}

// setRateLimit applies a statement unless a later one is known. It reports whether a limit
// has begun or ended.
func (u *upstream) setRateLimit(l rateLimit) bool {
	if l.statedAt < u.rateLimit.statedAt {
		return false
	}
	changed := (l.perSecond > 0) != (u.rateLimit.perSecond > 0)
	u.rateLimit = l
	return changed
}
