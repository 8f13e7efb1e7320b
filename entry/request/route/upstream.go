package route

import (
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// maxTransitTime is how long a request may be on its way to an agent. One that was sent
// less long before a report arrived is not part of it.
const maxTransitTime = 10 * clock.Millis(1)

// initialRampLimit is the number of own requests that a returned upstream may hold at
// first. Every entry starts at one, and the agent holds the cold limit.
const initialRampLimit = 1

// upstream is what the entry knows of one upstream.
type upstream struct {
	name               string
	serial             uint32
	dataCentre         string
	drained            bool
	connected          bool
	load               frame.Load
	reportedAt         clock.Millis
	refusedSinceReport bool // refused a request since the last report
	rampLimit          int  // bound on own requests while returning, 0 for none
	rampCompletions    int  // completions since the ramp was last raised
	ownInFlight        int  // own requests that have not ended
	unreported         unreportedWork
	recentSends        []recentSend
	cache              cacheState
}

// recentSend is an own request that may not have arrived yet.
type recentSend struct {
	sentAt clock.Millis
	tokens int
	bytes  int64
}

// unreportedWork is the entry's own work unreportedWork the last report.
type unreportedWork struct {
	sent   int
	ended  int
	tokens int
	bytes  int64
}

// cacheState is how far the entry's view of an engine's cache can be trusted.
type cacheState struct {
	sequence uint64
	gaps     uint16
	epoch    uint16
}

// usable reports whether the upstream may get new work.
func (u *upstream) usable(now clock.Millis) bool {
	return u.connected && !u.drained && !u.load.Condition().Leaving() && now-u.reportedAt < HeartbeatTimeout && u.load.Occupancy().Limit() > 0
}

func (u *upstream) heartbeat(now clock.Millis, load frame.Load) {
	previous := u.load
	firstReport := u.reportedAt == 0
	unavailable := !u.connected || previous.Occupancy().Limit() == 0 || previous.Condition().Leaving()
	restarted := previous.Condition().Incarnation() != load.Condition().Incarnation()
	u.load = load
	u.reportedAt = now
	u.connected = true
	u.refusedSinceReport = false
	u.recentSends = slices.DeleteFunc(u.recentSends, func(d recentSend) bool { return now-d.sentAt >= maxTransitTime })
	u.unreported = unreportedWork{sent: len(u.recentSends)}
	for _, d := range u.recentSends {
		u.unreported.tokens += d.tokens
		u.unreported.bytes += d.bytes
	}
	if restarted {
		u.cache = cacheState{epoch: u.cache.epoch + 1}
	}
	switch {
	case unavailable && (!firstReport || load.Condition().Cold()), restarted && !firstReport:
		u.startRamp()
	case u.rampLimit >= load.Occupancy().Limit() && !load.Condition().Cold():
		u.rampLimit = 0
	}
}

// startRamp starts the ramp of an upstream that comes back.
func (u *upstream) startRamp() {
	u.rampLimit = initialRampLimit
	u.rampCompletions = 0
}

func (u *upstream) disconnected() { u.connected = false }

func (u *upstream) sent(now clock.Millis, tokens int, bytes int64) {
	u.recentSends = append(u.recentSends, recentSend{now, tokens, bytes})
	u.ownInFlight++
	u.unreported.sent++
	u.unreported.tokens += tokens
	u.unreported.bytes += bytes
}

func (u *upstream) firstToken(tokens int) { u.unreported.tokens = max(u.unreported.tokens-tokens, 0) }

func (u *upstream) ended(s *inFlightRequest, ok bool) {
	u.ownInFlight--
	u.unreported.ended++
	if !s.responding {
		u.firstToken(s.uncachedTokens)
	}
	if !ok || u.rampLimit == 0 {
		return
	}
	u.rampCompletions++
	if u.rampCompletions >= u.rampLimit {
		u.rampLimit *= 2
		u.rampCompletions = 0
	}
}

// inFlight estimates the requests at the upstream.
func (u *upstream) inFlight() int {
	return max(u.load.Occupancy().Held()+u.unreported.sent-u.unreported.ended, u.ownInFlight, 0)
}

// freeCapacity estimates the room for requests of the given size.
func (u *upstream) freeCapacity(bytes int64) int {
	o := u.load.Occupancy()
	if u.refusedSinceReport {
		return 0
	}
	if o.BudgetBytes() > 0 && o.ReservedBytes()+u.unreported.bytes+bytes > o.BudgetBytes() {
		return 0
	}
	capacity := o.Limit() - u.inFlight()
	if u.rampLimit > 0 {
		capacity = min(capacity, u.rampLimit-u.ownInFlight)
	}
	return capacity
}

// acceptCacheEvent reports whether a cache event is newer than all before, and
// counts the gap if events between are missing.
func (u *upstream) acceptCacheEvent(sequence uint64) bool {
	if sequence <= u.cache.sequence {
		return false
	}
	if u.cache.sequence > 0 && sequence > u.cache.sequence+1 {
		u.cache.gaps++
	}
	u.cache.sequence = sequence
	return true
}
