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
	entry   *fleet.Upstream
	held    int
	others  int
	prompt  int
	cold    slidingSecond
	skipTo  clock.Millis
	strikes int
	// heard is when it last sent something, or got a request while it had none.
	heard clock.Millis
	// pace is how many times as long its work takes as usual.
	pace float64
	// agentSilent is set while the agent beside it does not answer.
	agentSilent bool
	// failures is the recent part of attempts that failed, from 0 to 1.
	failures float64
}

// failureWeight is the weight of a new outcome in the part of failures.
const failureWeight = 0.2

func (u *upstream) note(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	u.failures += failureWeight * (value - u.failures)
}

// cost ranks upstreams: the work that they would have, and as much again as the
// slots when all attempts fail, or when the agent is silent.
func (u *upstream) cost() float64 {
	cost := float64(u.load()+1)*max(u.pace, 1) + u.failures*float64(u.entry.Slots)
	if u.agentSilent {
		cost += float64(u.entry.Slots)
	}
	return cost
}

func (u *upstream) load() int { return u.held + u.others }

// service is the state of one service.
type service struct {
	spec      *config.Service
	upstreams []*upstream
	queue     []*Ticket
	budget    *Budget
	// answerTime is how long the first event, or a whole answer, takes from the
	// grant on.
	answerTime average
	// completions estimates the rate at which requests end.
	completions rate
	turn        int
	rejections  int
	// agentsTell is set while most agents of the service answer.
	agentsTell bool
	// down is set while all upstreams are skipped.
	down bool
	// probeAt is when an upstream that is skipped may be tried again although
	// all are.
	probeAt clock.Millis
}

// adopt replaces the list of upstreams and keeps the state of those that stay.
func (s *service) adopt(v *fleet.View) {
	if s.spec == nil {
		return
	}
	old := make(map[string]*upstream, len(s.upstreams))
	for _, u := range s.upstreams {
		old[u.entry.ID] = u
	}
	s.upstreams = s.upstreams[:0:0]
	for id, entry := range v.Upstreams() {
		if entry.Service != s.spec.Name {
			continue
		}
		u := old[id]
		if u == nil {
			u = &upstream{}
		}
		u.entry = entry
		s.upstreams = append(s.upstreams, u)
	}
	slices.SortFunc(s.upstreams, func(a, b *upstream) int { return strings.Compare(a.entry.ID, b.entry.ID) })
}

// limit returns how many requests one upstream may hold from all entries: as many
// as it runs at once. The rest waits at the entries, where those that can still be
// in time go first. A pass of a group lasts as long as that of its slowest rank,
// which therefore gets less than it could run.
func (s *service) limit(u *upstream) int {
	switch {
	case u.pace <= 1:
		return u.entry.Slots
	case u.pace >= slowPace && s.mostAreQuick():
		return 0
	}
	return max(1, int(float64(u.entry.Slots)/u.pace))
}

const (
	// slowPace is from when on a rank gets no requests while most others are
	// quicker: one request there would cost all others more than it is worth.
	slowPace = 3.0
	// quickPace is the pace of a rank that counts as quick.
	quickPace = 1.5
)

func (s *service) mostAreQuick() bool {
	quick := 0
	for _, u := range s.upstreams {
		if u.pace < quickPace {
			quick++
		}
	}
	return 2*quick > len(s.upstreams)
}

// Times for which an upstream that failed gets no new requests; they double
// with each failure in a row.
const (
	shortestSkip clock.Millis = 200
	longestSkip  clock.Millis = 3000
	// plainStrikes is the number of failures in a row after which an upstream of
	// a plain service is skipped; single requests fail there on their own.
	plainStrikes = 3
)

// skip returns how long an upstream is skipped after so many failures in a row.
func (s *service) skip(strikes int) clock.Millis {
	if s.spec != nil && s.spec.Engine == nil {
		strikes -= plainStrikes - 1
	}
	if strikes <= 0 {
		return 0
	}
	return min(shortestSkip<<min(strikes-1, 4), longestSkip)
}
