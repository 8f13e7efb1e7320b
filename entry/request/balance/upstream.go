package balance

import (
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// upstream is the state of one upstream.
type upstream struct {
	info                *fleet.Upstream
	inFlight            int
	othersInFlight      int
	promptTokens        int
	coldSends           slidingSecond
	skipUntil           clock.Millis
	consecutiveFailures int
	// lastActive is when it last sent something, or got a request while it had none.
	lastActive clock.Millis
	// slowdown is how many times as long its work takes as usual.
	slowdown float64
	// agentUnresponsive is set while the agent beside it does not answer.
	agentUnresponsive bool
	// failureRate is the recent part of attempts that failed, from 0 to 1.
	failureRate float64
}

// failureWeight is the weight of a new outcome in the part of failures.
const failureWeight = 0.2

func (u *upstream) recordOutcome(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	u.failureRate += failureWeight * (value - u.failureRate)
}

// cost ranks upstreams: the work that they would have, and as much again as the
// slots when all attempts fail, or when the agent is silent.
func (u *upstream) cost() float64 {
	cost := float64(u.load()+1)*max(u.slowdown, 1) + u.failureRate*float64(u.info.Slots)
	if u.agentUnresponsive {
		cost += float64(u.info.Slots)
	}
	return cost
}

func (u *upstream) load() int { return u.inFlight + u.othersInFlight }

// service is the state of one service.
type service struct {
	spec      *config.Service
	upstreams []*upstream
	queue     []*Ticket
	budget    *Budget
	// responseLatency is how long the first event, or a whole answer, takes from the
	// grant on.
	responseLatency average
	// completions estimates the rate at which requests end.
	completions rate
	rotation    int
	rejections  int
	// agentsReliable is set while most agents of the service answer.
	agentsReliable bool
	// down is set while all upstreams are skipped.
	down bool
	// nextProbe is when an upstream that is skipped may be tried again although
	// all are.
	nextProbe clock.Millis
}

// updateUpstreams replaces the list of upstreams and keeps the state of those that stay.
func (s *service) updateUpstreams(v *fleet.View) {
	if s.spec == nil {
		return
	}
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
		if u == nil {
			u = &upstream{}
		}
		u.info = info
		s.upstreams = append(s.upstreams, u)
	}
	slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(a.info.ID, b.info.ID) })
}

// limit returns how many requests one upstream may hold from all entries: as many
// as it runs at once. The rest waits at the entries, where those that can still be
// in time go first. A pass of a group lasts as long as that of its slowest rank,
// which therefore gets less than it could run.
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
	// slowMinSlowdown is from when on a rank gets no requests while most others are
	// quicker: one request there would cost all others more than it is worth.
	slowMinSlowdown = 3.0
	// fastMaxSlowdown is the pace of a rank that counts as quick.
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

// Times for which an upstream that failed gets no new requests; they double
// with each failure in a row.
const (
	minSkip clock.Millis = 200
	maxSkip clock.Millis = 3000
	// plainFailureThreshold is the number of failures in a row after which an upstream of
	// a plain service is skipped; single requests fail there on their own.
	plainFailureThreshold = 3
)

// skipDuration returns how long an upstream is skipped after so many failures in a row.
func (s *service) skipDuration(consecutiveFailures int) clock.Millis {
	if s.spec != nil && s.spec.Engine == nil {
		consecutiveFailures -= plainFailureThreshold - 1
	}
	if consecutiveFailures <= 0 {
		return 0
	}
	return min(minSkip<<min(consecutiveFailures-1, 4), maxSkip)
}
