package balance

import (
	"cmp"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

const (
	// lapseHoldTime is how long the state of an upstream is kept whose registration has lapsed. The
	// store has then not heard of it for a while; that does not mean that it has started again.
	lapseHoldTime = 10 * clock.Minute
	// maxLapsed bounds the upstreams of a service without a registration whose state is kept. All
	// registrations may lapse together.
	maxLapsed = 8192
)

// lapsed holds the state of upstreams whose registrations have lapsed, the latest one of each
// upstream. The zero value is ready to use.
type lapsed struct {
	upstreams map[string]*upstream
	// order holds the lapses from the oldest to the latest. Those of upstreams whose registrations
	// have come back since remain until they would have ended.
	order []lapse
}

// lapse is the end of a registration.
type lapse struct {
	upstream *upstream
	at       clock.Millis
}

// keep keeps the state of an upstream whose registration lapses now.
func (l *lapsed) keep(now clock.Millis, u *upstream) {
	if l.upstreams == nil {
		l.upstreams = make(map[string]*upstream)
	}
	l.upstreams[u.info.ID] = u
	u.lapsedAt = now
	l.order = append(l.order, lapse{u, now})
	l.expire(now)
}

// takeOrNew returns the state of the incarnation that is registered: the one that has lapsed if it is the
// same, and a new one otherwise. replaced is the incarnation that was registered until now, or nil.
func (l *lapsed) takeOrNew(info *fleet.Upstream, replaced *upstream) *upstream {
	u := l.upstreams[info.ID]
	if u != nil && u.info.StartTime == info.StartTime {
		delete(l.upstreams, info.ID)
		return u
	}
	return newUpstream(info, cmp.Or(replaced, u))
}

// expire ends the oldest lapses: those that are over the bound, and those that have lasted for
// lapseHoldTime unless their upstream is still in use.
func (l *lapsed) expire(now clock.Millis) {
	for len(l.order) > 0 {
		oldest := l.order[0]
		isOver := len(l.order) > maxLapsed
		if !isOver && now-oldest.at < lapseHoldTime {
			return
		}
		l.order = l.order[1:]
		u := oldest.upstream
		switch {
		case l.upstreams[u.info.ID] != u || u.lapsedAt != oldest.at: // the registration has come back
		case !isOver && u.inUse(now):
			u.lapsedAt = now
			l.order = append(l.order, lapse{u, now})
		default:
			delete(l.upstreams, u.info.ID)
		}
	}
}

// inUse reports whether requests of this entry are in flight at the upstream, or a pause lasts that it
// has asked for.
func (u *upstream) inUse(now clock.Millis) bool {
	return u.inFlight > 0 || u.pauses.has(now, pauseRequested)
}
