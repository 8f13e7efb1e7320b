package balance

import (
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// agentReport is what the agent of an upstream reports of it.
type agentReport struct {
	// othersInFlight is the number of requests of other entries.
	othersInFlight int
	// slowdown is how many times slower than usual the upstream is; 0 if unknown.
	slowdown float64
	// agentUnresponsive is set while the agent of the upstream is unresponsive.
	agentUnresponsive bool
	// groupState is the state of the upstream's group.
	groupState group.State
}

// upstream is the state of one incarnation of an upstream. It outlives lapses of the registration, so
// that requests in flight and what the upstream has told with its responses are never counted to another
// state than later requests are sent by.
type upstream struct {
	agentReport
	info *fleet.Upstream
	// lapsedAt is when the registration has lapsed last.
	lapsedAt clock.Millis
	// inFlight is the number of requests of this entry.
	inFlight int
	// promptTokens is the number of prompt tokens that wait for prefill.
	promptTokens int
	// coldSends counts the requests sent while the upstream is cold.
	coldSends slidingSecond
	// coldSince is when this entry learned that the upstream has become cold.
	coldSince clock.Millis
	// nextColdTurn is the number of allowed requests at which the next turn of this entry
	// at the cold upstream begins at the earliest.
	nextColdTurn float64
	pauses       pauses
	// onTrial is set from when the upstream asked for a pause until it has responded to a request
	// that was sent after it. It gets one such request at a time; trials counts those in flight.
	onTrial bool
	trials  int
	// consecutiveFailures is the number of failures of the upstream since the last success.
	consecutiveFailures int
	// suspicion and ownSkips are what is known of failures that requests may have caused.
	suspicion suspicion
	ownSkips  ownSkips
	// lastActive is when the upstream last sent something, or got a request while
	// it had none.
	lastActive  clock.Millis
	failureRate failureRate
	rateLimit   rateLimit
}

// newUpstream returns the state of an incarnation that begins with its registration. previous is the last
// known incarnation of the upstream, or nil.
func newUpstream(info *fleet.Upstream, previous *upstream) *upstream {
	u := &upstream{}
	if previous != nil {
		u.agentReport = previous.agentReport        // until the agent reports again
		u.rateLimit.Statement.At = info.FirstSeenAt // earlier statements are those of the previous incarnation
	}
	return u
}

// register applies a registration of the incarnation.
func (u *upstream) register(info *fleet.Upstream) {
	if u.info != info {
		u.pauses.end(pauseMisdirected) // a new registration may be right
	}
	if info.ColdRemaining > 0 && (u.info == nil || !u.info.Cold(info.FirstSeenAt)) {
		u.coldSince, u.nextColdTurn = info.FirstSeenAt, 0
	}
	u.info = info
}

// cost returns the cost of one more request, by which upstreams are compared: the
// requests that would be in flight, times the slowdown. It grows by the number of
// slots if all recent attempts failed, in proportion if some did, and by the number
// of slots if the agent is unresponsive.
func (u *upstream) cost(now clock.Millis) float64 {
	cost := float64(u.load()+1)*max(u.slowdown, 1) + u.failureRate.at(now)*float64(u.info.Slots)
	if u.agentUnresponsive {
		cost += float64(u.info.Slots)
	}
	return cost
}

// load returns the number of requests of all entries in flight.
func (u *upstream) load() int { return u.inFlight + u.othersInFlight }

// service is the state of one service.
type service struct {
	spec      *config.Service
	upstreams []*upstream
	queue     fairQueue
	budget    *Budget
	// responseLatency is the time from the grant to the first event, or to the end
	// of the response in plain services.
	responseLatency average
	// completions estimates the rate at which requests end.
	completions rate
	// lapsed holds upstreams whose registrations have lapsed.
	lapsed lapsed
	// rotation is the offset at which the next search begins.
	rotation int
	// rejections is the number of rejected requests; it varies their delays.
	rejections int
	// agentsReliable is set while most agents of the service are responsive.
	agentsReliable bool
	// refusals is the last refusal by any upstream.
	refusals suspicion
	// down is set while the group is assumed to run nothing: from a refusal by an
	// inactive group or the first probe of skipped upstreams until an agent reports
	// it open or a prefill succeeds.
	down bool
	// opensAt is when a closed group is expected to open, 0 while it is not known to be
	// closed.
	opensAt clock.Millis
	// nextProbe is when a skipped upstream may be tried again while all are
	// skipped.
	nextProbe clock.Millis
}

// updateUpstreams replaces the list of upstreams. The state of an incarnation is kept while it is
// registered, and for a time after that.
func (s *service) updateUpstreams(now clock.Millis, v *fleet.View) {
	if s.spec == nil {
		return
	}
	s.lapsed.expire(now)
	old := make(map[string]*upstream, len(s.upstreams))
	for _, u := range s.upstreams {
		old[u.info.ID] = u
	}
	s.upstreams = s.upstreams[:0:0]
	for id, info := range v.Upstreams() {
		if info.Service != s.spec.Name {
			continue
		}
		u := old[id]
		if u != nil && u.info.StartTime == info.StartTime {
			delete(old, id)
		} else {
			u = s.lapsed.takeOrNew(info, u)
		}
		u.register(info)
		s.upstreams = append(s.upstreams, u)
	}
	for _, u := range old {
		s.lapsed.keep(now, u)
	}
	slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(a.info.ID, b.info.ID) })
}

// Bounds of the time for which a failed upstream gets no new requests. The time
// doubles with each consecutive failure.
const (
	minSkip clock.Millis = 200
	maxSkip clock.Millis = 3000
	// plainFailureThreshold is the number of consecutive failures after which an
	// upstream of a plain service is skipped; single requests can fail there for
	// reasons of their own.
	plainFailureThreshold = 3
)

// skipDuration returns how long an upstream is skipped after the given number of
// consecutive failures.
func (s *service) skipDuration(consecutiveFailures int) clock.Millis {
	if s.spec != nil && s.spec.Engine == nil {
		consecutiveFailures -= plainFailureThreshold - 1
	}
	if consecutiveFailures <= 0 {
		return 0
	}
	return min(minSkip<<min(consecutiveFailures-1, 4), maxSkip)
}
