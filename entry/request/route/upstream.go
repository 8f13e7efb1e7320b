package route

import (
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// maxTransitTime bounds how long a request is in transit to an agent. A request
// sent less than this before a load report arrives may not be included in it.
const maxTransitTime = 10 * clock.Millis(1)

// initialRampLimit is the number of requests that this entry may have in flight
// on an upstream that has just become usable again. Every entry starts at one;
// the agent enforces the cold limit over all entries.
const initialRampLimit = 1

// upstream is the state that the entry keeps of one upstream.
type upstream struct {
	name               string
	serial             uint32
	dataCentre         string
	drained            bool
	connected          bool
	load               frame.Load
	reportedAt         clock.Millis
	refusedSinceReport bool // a request was refused since the last load report
	rampLimit          int  // limit for ownInFlight during the ramp, 0 for none
	rampCompletions    int  // completions since rampLimit was last raised
	ownInFlight        int  // requests of this entry that have not ended
	unreportedWork     unreportedWork
	recentSends        []recentSend
	cache              cacheState
}

// recentSend is a request of this entry that may not have reached the agent yet.
type recentSend struct {
	sentAt        clock.Millis
	tokens        int // uncached prompt tokens
	reservedBytes int64
}

// unreportedWork is the work of this entry that the last load report does not
// include.
type unreportedWork struct {
	sent          int
	ended         int
	tokens        int // uncached prompt tokens
	reservedBytes int64
}

// cacheState tracks how complete the cache events of an engine are.
type cacheState struct {
	sequence uint64 // of the last event
	gaps     uint16
	epoch    uint16 // incremented when the upstream's incarnation changes
}

// usable reports whether the upstream may get new requests: it is connected,
// neither drained nor draining, and its last heartbeat is recent and admits some.
func (u *upstream) usable(now clock.Millis) bool {
	return u.connected && !u.drained && !u.load.Condition().Draining() && now-u.reportedAt < HeartbeatTimeout && u.load.Occupancy().Limit() > 0
}

func (u *upstream) heartbeat(now clock.Millis, load frame.Load) {
	previous := u.load
	firstReport := u.reportedAt == 0
	unavailable := !u.connected || previous.Occupancy().Limit() == 0 || previous.Condition().Draining()
	restarted := previous.Condition().Incarnation() != load.Condition().Incarnation()
	u.load = load
	u.reportedAt = now
	u.connected = true
	u.refusedSinceReport = false
	u.recentSends = slices.DeleteFunc(u.recentSends, func(d recentSend) bool { return now-d.sentAt >= maxTransitTime })
	u.unreportedWork = unreportedWork{sent: len(u.recentSends)}
	for _, d := range u.recentSends {
		u.unreportedWork.tokens += d.tokens
		u.unreportedWork.reservedBytes += d.reservedBytes
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

// startRamp limits the requests of an upstream that has become usable again. The
// limit doubles as requests complete.
func (u *upstream) startRamp() {
	u.rampLimit = initialRampLimit
	u.rampCompletions = 0
}

func (u *upstream) disconnected() { u.connected = false }

func (u *upstream) sent(now clock.Millis, tokens int, reservedBytes int64) {
	u.recentSends = append(u.recentSends, recentSend{now, tokens, reservedBytes})
	u.ownInFlight++
	u.unreportedWork.sent++
	u.unreportedWork.tokens += tokens
	u.unreportedWork.reservedBytes += reservedBytes
}

func (u *upstream) firstToken(tokens int) {
	u.unreportedWork.tokens = max(u.unreportedWork.tokens-tokens, 0)
}

func (u *upstream) ended(r *inFlightRequest, ok bool) {
	u.ownInFlight--
	u.unreportedWork.ended++
	if !r.responding {
		u.firstToken(r.uncachedTokens)
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

// inFlight estimates the number of requests of all entries on the upstream.
func (u *upstream) inFlight() int {
	return max(u.load.Occupancy().InFlight()+u.unreportedWork.sent-u.unreportedWork.ended, u.ownInFlight, 0)
}

// freeCapacity estimates how many further requests that reserve reservedBytes the
// upstream accepts; it is full if the result is not positive.
func (u *upstream) freeCapacity(reservedBytes int64) int {
	o := u.load.Occupancy()
	if u.refusedSinceReport {
		return 0
	}
	if o.BudgetBytes() > 0 && o.ReservedBytes()+u.unreportedWork.reservedBytes+reservedBytes > o.BudgetBytes() {
		return 0
	}
	freeCapacity := o.Limit() - u.inFlight()
	if u.rampLimit > 0 {
		freeCapacity = min(freeCapacity, u.rampLimit-u.ownInFlight)
	}
	return freeCapacity
}

// acceptCacheEvent reports whether a cache event is newer than all events before
// it, and counts a gap if events are missing in between.
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
