package balance

import (
	"math"

	"goldcrestshore/core/process/clock"
)

// limit returns how many requests of all entries may be in flight at one upstream:
// as many as it runs at once. The others wait at the entries, where those that can
// still meet their objective go first. A forward pass of a group takes as long as
// that of its slowest rank, which therefore gets fewer requests than it could run.
func (s *service) limit(u *upstream) int {
	switch {
	case u.slowdown <= 1:
		return u.info.Slots
	case u.slowdown >= slowMinSlowdown && s.mostAreFast():
		return 0
	}
	return max(1, int(float64(u.info.Slots)/u.slowdown))
}

const (
	// slowMinSlowdown is the slowdown from which on a rank gets no requests while
	// most others are fast: one request there would cost all others more than its
	// benefit.
	slowMinSlowdown = 3.0
	// fastMaxSlowdown is the slowdown below which a rank counts as fast.
	fastMaxSlowdown = 1.5
)

func (s *service) mostAreFast() bool {
	fast := 0
	for _, u := range s.upstreams {
		if u.slowdown < fastMaxSlowdown {
			fast++
		}
	}
	return 2*fast > len(s.upstreams)
}

// connectionAllows reports whether u accepts another connection of this entry. Where
// entries outnumber the connections, those of all entries together count.
func (b *Balancer) connectionAllows(now clock.Millis, s *service, u *upstream) bool {
	limit := s.spec.MaxConnections
	return limit == 0 || (u.inFlight < b.connectionLimit(now, s) && u.load() < limit)
}

// connectionLimit returns this entry's share of the connections that an upstream
// accepts. Each request uses one connection.
func (b *Balancer) connectionLimit(now clock.Millis, s *service) int {
	if s.spec.MaxConnections == 0 {
		return math.MaxInt
	}
	return max(1, s.spec.MaxConnections/b.entries.value(now))
}

// coldLimit returns this entry's share of the requests per second that a cold
// upstream can take, at least one over all entries. The share is below 1 if there are
// more entries than requests.
func (b *Balancer) coldLimit(now clock.Millis, s *service) float64 {
	return max(s.spec.ColdRequestsPerSecond, 1) / float64(b.entries.value(now))
}

// coldTurnLifetime is how long an entry may use its turn to send to a cold upstream. The
// limit of a cold upstream holds in each second.
const coldTurnLifetime = clock.Second / 4

// coldAllows reports whether a cold upstream may get another request of this entry. Entries
// with a share below one request per second take turns.
func (b *Balancer) coldAllows(now clock.Millis, s *service, u *upstream) bool {
	limit := b.coldLimit(now, s)
	if limit >= 1 {
		return u.coldSends.allows(now, int(limit))
	}
	return now >= b.coldTurns(now, s, u).next(u.nextColdTurn)
}

// coldTurns returns the turns of this entry at a cold upstream.
func (b *Balancer) coldTurns(now clock.Millis, s *service, u *upstream) turns {
	perSecond := max(s.spec.ColdRequestsPerSecond, 1)
	allowed := perSecond * float64(now-u.coldSince) / float64(clock.Second)
	return b.turns(now, u, sharedLimit{allowed: allowed, perSecond: perSecond, turnLifetime: coldTurnLifetime})
}

// countSend counts a request that is sent to u now against the limits that are in force there.
func (b *Balancer) countSend(now clock.Millis, s *service, u *upstream) {
	if u.info.Cold(now) {
		u.coldSends.add(now)
		u.nextColdTurn = b.coldTurns(now, s, u).use(u.nextColdTurn)
	}
	if u.rateLimit.Limited() {
		u.rateLimit.nextTurn = b.rateTurns(now, u).use(u.rateLimit.nextTurn)
	}
}
