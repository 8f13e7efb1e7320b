package route

import (
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// flight is how long a request may be on its way to an agent. One that was sent
// less long before a report arrived is not part of it.
const flight = 10 * clock.Millis(1)

// rampStart is the number of own requests that a returned upstream may hold at
// first. Every entry starts at one, and the agent holds the cold limit.
const rampStart = 1

// upstream is what the entry knows of one upstream.
type upstream struct {
	name       string
	serial     uint32
	dataCentre string
	out        bool
	connected  bool
	load       frame.Load
	reportedAt clock.Millis
	full       bool // refused a request since the last report
	ramp       int  // bound on own requests while returning, 0 for none
	done       int  // completions since the ramp was last raised
	own        int  // own requests that have not ended
	since      since
	recent     []departure
	cache      cacheState
}

// departure is an own request that may not have arrived yet.
type departure struct {
	at     clock.Millis
	tokens int
	bytes  int64
}

// since is the entry's own work since the last report.
type since struct {
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
	return u.connected && !u.out && !u.load.Condition().Leaving() && now-u.reportedAt < Silence && u.load.Occupancy().Limit() > 0
}

func (u *upstream) heartbeat(now clock.Millis, load frame.Load) {
	before := u.load
	first := u.reportedAt == 0
	closed := !u.connected || before.Occupancy().Limit() == 0 || before.Condition().Leaving()
	restarted := before.Condition().Incarnation() != load.Condition().Incarnation()
	u.load = load
	u.reportedAt = now
	u.connected = true
	u.full = false
	u.recent = slices.DeleteFunc(u.recent, func(d departure) bool { return now-d.at >= flight })
	u.since = since{sent: len(u.recent)}
	for _, d := range u.recent {
		u.since.tokens += d.tokens
		u.since.bytes += d.bytes
	}
	if restarted {
		u.cache = cacheState{epoch: u.cache.epoch + 1}
	}
	switch {
	case closed && (!first || load.Condition().Cold()), restarted && !first:
		u.returned()
	case u.ramp >= load.Occupancy().Limit() && !load.Condition().Cold():
		u.ramp = 0
	}
}

// returned starts the ramp of an upstream that comes back.
func (u *upstream) returned() {
	u.ramp = rampStart
	u.done = 0
}

func (u *upstream) lost() { u.connected = false }

func (u *upstream) sent(now clock.Millis, tokens int, bytes int64) {
	u.recent = append(u.recent, departure{now, tokens, bytes})
	u.own++
	u.since.sent++
	u.since.tokens += tokens
	u.since.bytes += bytes
}

func (u *upstream) firstToken(tokens int) { u.since.tokens = max(u.since.tokens-tokens, 0) }

func (u *upstream) ended(s *send, ok bool) {
	u.own--
	u.since.ended++
	if !s.answered {
		u.firstToken(s.uncached)
	}
	if !ok || u.ramp == 0 {
		return
	}
	u.done++
	if u.done >= u.ramp {
		u.ramp *= 2
		u.done = 0
	}
}

// held estimates the requests at the upstream.
func (u *upstream) held() int {
	return max(u.load.Occupancy().Held()+u.since.sent-u.since.ended, u.own, 0)
}

// free estimates the room for requests of the given size.
func (u *upstream) free(bytes int64) int {
	o := u.load.Occupancy()
	if u.full {
		return 0
	}
	if o.BudgetBytes() > 0 && o.ReservedBytes()+u.since.bytes+bytes > o.BudgetBytes() {
		return 0
	}
	free := o.Limit() - u.held()
	if u.ramp > 0 {
		free = min(free, u.ramp-u.own)
	}
	return free
}

// orderedEvent reports whether a cache event is newer than all before, and
// counts the gap if events between are missing.
func (u *upstream) orderedEvent(sequence uint64) bool {
	if sequence <= u.cache.sequence {
		return false
	}
	if u.cache.sequence > 0 && sequence > u.cache.sequence+1 {
		u.cache.gaps++
	}
	u.cache.sequence = sequence
	return true
}
