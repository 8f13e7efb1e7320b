// Package balance decides when a request may run, on which upstream, and when
// it is rejected. It does no I/O and starts no goroutine; the caller passes the
// instant to each call.
package balance

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// Settings are the parts of the limits that all entries share.
type Settings struct {
	// DataCentre is that of this entry.
	DataCentre string
	// RetryRatio and RetryAllowance bound repeats in RetryWindow over all
	// entries: the ratio to first sends, and a fixed number.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    clock.Millis
	// Policy is the way to choose upstreams.
	Policy Policy
}

// Reason tells why a request is rejected.
type Reason string

// Reasons of rejections.
const (
	NoUpstream Reason = "noUpstream"
	QueueFull  Reason = "queueFull"
	TooLate    Reason = "tooLate"
)

// Ticket is a request that waits for an upstream or holds one.
type Ticket struct {
	// Service that runs the request.
	Service string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Prompt is the number of prompt tokens, 0 for plain services.
	Prompt int
	// Arrived is when the request was read.
	Arrived clock.Millis
	// Due is when its first byte should be on its way.
	Due clock.Millis
	// GiveUp is when waiting ends with a rejection.
	GiveUp clock.Millis
	// Avoid are upstreams that have failed the request.
	Avoid []string

	upstream *upstream
	queued   bool
}

// Upstream returns the id and address of the upstream that was granted.
func (t *Ticket) Upstream() (id, address string) {
	return t.upstream.entry.ID, t.upstream.entry.Address
}

// Decision is the answer to a request for an upstream.
type Decision interface{ decision() }

// Grant gives an upstream to a ticket.
type Grant struct {
	Ticket *Ticket
	// Held is the number of requests that this entry and others hold there.
	Held int
	// Limit is the number that may be held there.
	Limit int
}

// Wait leaves a ticket in the queue.
type Wait struct{ Ahead int }

// Reject ends a ticket.
type Reject struct {
	Ticket     *Ticket
	Reason     Reason
	RetryAfter clock.Millis
	// Queued is the length of the queue.
	Queued int
	// Usable is the number of upstreams that may take requests.
	Usable int
}

func (Grant) decision()  {}
func (Wait) decision()   {}
func (Reject) decision() {}

// upstream is the state of one upstream.
type upstream struct {
	entry   *fleet.Upstream
	held    int
	others  int
	prompt  int
	cold    slidingSecond
	skipTo  clock.Millis
	strikes int
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

// cost ranks upstreams: requests held, and as much again as the slots when all
// attempts fail.
func (u *upstream) cost() float64 {
	return float64(u.load()) + u.failures*float64(u.entry.Slots)
}

func (u *upstream) load() int { return u.held + u.others }

// service is the state of one service.
type service struct {
	spec      *config.Service
	upstreams []*upstream
	queue     []*Ticket
	budget    *Budget
	// completions estimates the rate at which requests end.
	completions rate
	turn        int
	rejections  int
	// down is set while all upstreams are skipped.
	down bool
	// probeAt is when an upstream that is skipped may be tried again although
	// all are.
	probeAt clock.Millis
}

// Balancer decides for all services of an entry. It is not safe for use by
// several goroutines.
type Balancer struct {
	settings Settings
	entries  int
	view     *fleet.View
	services map[string]*service
}

// New returns a balancer without upstreams.
func New(s Settings) *Balancer {
	return &Balancer{settings: s, entries: unknownEntries, services: make(map[string]*service)}
}

const (
	// unknownEntries is the number of entries that is assumed until agents tell:
	// a process that has just started must not take the limits for its own.
	unknownEntries = 16
	// budgetPart is the part of the shared budget of repeats that entries use. The
	// rest covers what they forget when they start again and cannot see of each
	// other.
	budgetPart = 0.7
)

// SetEntries tells how many entries share the limits.
func (b *Balancer) SetEntries(n int) { b.entries = max(n, 1) }

// SetSettings replaces the shared limits. A window in use keeps its ratio.
func (b *Balancer) SetSettings(s Settings) { b.settings = s }

// SetView adopts a snapshot. Held requests keep their upstreams.
func (b *Balancer) SetView(v *fleet.View) {
	b.view = v
	if v.Config() == nil {
		return
	}
	for name, spec := range v.Config().Services() {
		b.service(name).spec = spec
	}
	for _, s := range b.services {
		s.adopt(v)
	}
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{budget: NewBudget(b.settings.RetryRatio*budgetPart, b.settings.RetryWindow)}
		b.services[name] = s
	}
	return s
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
	slices.SortFunc(s.upstreams, func(a, b *upstream) int {
		if a.entry.ID < b.entry.ID {
			return -1
		}
		return 1
	})
}

// waitingPart is the part of its slots, as a divisor, that may wait at an upstream
// besides, so that a slot that becomes free is used at once. Those that wait there
// are ordered by priority, too.
const waitingPart = 3

// limit returns how many requests one upstream may hold from all entries.
func (s *service) limit(u *upstream) int {
	return u.entry.Slots + u.entry.Slots/waitingPart
}

// Acquire asks for an upstream for a new request.
func (b *Balancer) Acquire(now clock.Millis, t *Ticket) Decision {
	s := b.service(t.Service)
	if u := b.choose(now, s, t); u != nil && len(s.queue) == 0 {
		return b.grant(now, s, t, u)
	}
	usable := b.usable(now, s)
	if usable == 0 {
		return b.reject(now, s, t, NoUpstream, usable)
	}
	wait := s.expectedWait(now, t)
	if now+wait > t.GiveUp {
		return b.reject(now, s, t, QueueFull, usable)
	}
	t.queued = true
	i := len(s.queue)
	for i > 0 && before(now, t, s.queue[i-1]) {
		i--
	}
	s.queue = slices.Insert(s.queue, i, t)
	return Wait{Ahead: i}
}

// before orders waiting requests: by priority, then those that can still meet
// their objective, then by arrival.
func before(now clock.Millis, a, b *Ticket) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	lateA, lateB := now > a.Due, now > b.Due
	if lateA != lateB {
		return lateB
	}
	return a.Due < b.Due
}

func (s *service) expectedWait(now clock.Millis, t *Ticket) clock.Millis {
	ahead := 1
	for _, q := range s.queue {
		if !before(now, t, q) {
			ahead++
		}
	}
	perSecond := s.completions.perSecond(now)
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(float64(ahead) / perSecond * float64(clock.Second))
}

func (b *Balancer) reject(now clock.Millis, s *service, t *Ticket, reason Reason, usable int) Reject {
	return Reject{Ticket: t, Reason: reason, RetryAfter: s.retryAfter(now), Queued: len(s.queue), Usable: usable}
}

// Bounds of the time after which a rejected caller comes back.
const (
	shortestReturn clock.Millis = 300
	longestReturn  clock.Millis = 2500
)

// returnSlots is the number of different times that rejected callers get.
const returnSlots = 16

// retryAfter spreads returns: from the time that the queue needs to empty, over
// as long again. Without any completion to go by, the longest time counts.
func (s *service) retryAfter(now clock.Millis) clock.Millis {
	s.rejections++
	if s.down {
		// What makes all ranks of a group fail lasts for seconds.
		return longestReturn - (longestReturn/8)*clock.Millis(s.rejections*7%returnSlots)/returnSlots
	}
	wait := longestReturn / 2
	if perSecond := s.completions.perSecond(now); perSecond > 0 {
		needed := clock.Millis(float64(len(s.queue)) / perSecond * float64(clock.Second))
		wait = min(max(needed, shortestReturn), longestReturn/2)
	}
	return wait + wait*clock.Millis(s.rejections*7%returnSlots)/returnSlots
}

func (b *Balancer) usable(now clock.Millis, s *service) int {
	n := 0
	for _, u := range s.upstreams {
		if b.view.Usable(u.entry) && now >= u.skipTo {
			n++
		}
	}
	return n
}

// choose returns the upstream with the least load that may take the ticket,
// nil when none may.
func (b *Balancer) choose(now clock.Millis, s *service, t *Ticket) *upstream {
	if s.spec == nil {
		return nil
	}
	if b.settings.Policy != LeastLoaded {
		return b.baseline(now, s)
	}
	s.turn++
	if u := b.search(now, s, t, false); u != nil {
		return u
	}
	if now < s.probeAt || b.usable(now, s) > 0 {
		return nil
	}
	u := b.search(now, s, t, true)
	if u != nil {
		s.probeAt = now + probeInterval
		s.down = true
	}
	return u
}

// probeInterval is the time between two tries while all upstreams are skipped.
const probeInterval clock.Millis = 200

// search returns the best upstream, among the skipped ones too if skipped is set.
func (b *Balancer) search(now clock.Millis, s *service, t *Ticket, skipped bool) *upstream {
	var best *upstream
	for i := range s.upstreams {
		u := s.upstreams[(i+s.turn)%len(s.upstreams)]
		if (now < u.skipTo && !skipped) || !b.may(now, s, u, t) {
			continue
		}
		if best == nil || b.prefer(u, best) {
			best = u
		}
	}
	return best
}

func (b *Balancer) may(now clock.Millis, s *service, u *upstream, t *Ticket) bool {
	switch {
	case !b.view.Usable(u.entry):
		return false
	case u.load() >= s.limit(u):
		return false
	case slices.Contains(t.Avoid, u.entry.ID):
		return false
	case u.entry.Cold(now):
		return u.cold.allows(now, b.coldLimit(s))
	}
	return true
}

// coldLimit is this entry's part of the requests that a cold upstream bears in
// a second.
func (b *Balancer) coldLimit(s *service) int {
	return max(1, int(s.spec.ColdRequestsPerSecond)/b.entries)
}

func (b *Balancer) prefer(u, best *upstream) bool {
	if u.cost() != best.cost() {
		return u.cost() < best.cost()
	}
	if u.prompt != best.prompt {
		return u.prompt < best.prompt
	}
	near, bestNear := u.entry.DataCentre == b.settings.DataCentre, best.entry.DataCentre == b.settings.DataCentre
	return near && !bestNear
}

func (b *Balancer) grant(now clock.Millis, s *service, t *Ticket, u *upstream) Grant {
	u.held++
	u.prompt += t.Prompt
	if u.entry.Cold(now) {
		u.cold.take(now, 1<<30)
	}
	t.upstream = u
	t.queued = false
	return Grant{Ticket: t, Held: u.load(), Limit: s.limit(u)}
}

// Outcome tells how an attempt at an upstream ended.
type Outcome int

// Outcomes of attempts.
const (
	// Succeeded means that the upstream answered.
	Succeeded Outcome = iota
	// Refused means that the upstream did not run the request.
	Refused
	// Failed means that the upstream failed or did not answer.
	Failed
	// Abandoned means that the caller left; it says nothing of the upstream.
	Abandoned
)

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

// Release returns the upstream of a ticket and grants it to those that wait.
func (b *Balancer) Release(now clock.Millis, t *Ticket, o Outcome) []Decision {
	s, u := b.service(t.Service), t.upstream
	if u == nil {
		return nil
	}
	t.upstream = nil
	u.held--
	u.prompt -= t.Prompt
	switch o {
	case Succeeded:
		u.strikes = 0
		u.note(false)
		s.completions.add(now)
	case Failed, Refused:
		u.strikes++
		u.note(true)
		u.skipTo = now + s.skip(u.strikes)
		t.Avoid = append(t.Avoid, u.entry.ID)
	case Abandoned:
		s.completions.add(now)
	}
	return b.drain(now, s)
}

// Prefilled tells that the upstream has read the prompt of a ticket. Since the
// ranks of a group run together or not at all, none of them is skipped then.
func (b *Balancer) Prefilled(t *Ticket) {
	if t.upstream == nil {
		return
	}
	t.upstream.prompt -= t.Prompt
	t.Prompt = 0
	s := b.service(t.Service)
	if s.down {
		s.down = false
		for _, u := range s.upstreams {
			u.skipTo, u.strikes = 0, 0
		}
	}
}

// Leave takes a ticket out of the queue.
func (b *Balancer) Leave(t *Ticket) {
	s := b.service(t.Service)
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	t.queued = false
}

// Repeat reports whether a request of the service may be sent again, and
// counts it.
func (b *Balancer) Repeat(now clock.Millis, name string) bool {
	return b.service(name).budget.Take(now, b.settings.RetryAllowance*budgetPart/float64(b.entries))
}

// Sent counts the first send of a request.
func (b *Balancer) Sent(now clock.Millis, name string) { b.service(name).budget.Sent(now) }

// SetOthers tells how many requests other entries hold at each upstream.
func (b *Balancer) SetOthers(held map[string]int) {
	for _, s := range b.services {
		for _, u := range s.upstreams {
			u.others = held[u.entry.ID]
		}
	}
}

// Held returns how many requests this entry holds at each upstream.
func (b *Balancer) Held() map[string]int {
	held := make(map[string]int)
	for _, s := range b.services {
		for _, u := range s.upstreams {
			if u.held > 0 {
				held[u.entry.ID] = u.held
			}
		}
	}
	return held
}

// Tick grants and rejects waiting requests as time passes.
func (b *Balancer) Tick(now clock.Millis) []Decision {
	var out []Decision
	for _, s := range b.services {
		out = append(out, b.drain(now, s)...)
		out = append(out, b.expire(now, s)...)
	}
	return out
}

func (b *Balancer) drain(now clock.Millis, s *service) []Decision {
	var out []Decision
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		u := b.choose(now, s, t)
		if u == nil {
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		out = append(out, b.grant(now, s, t, u))
	}
	return out
}

func (b *Balancer) expire(now clock.Millis, s *service) []Decision {
	var out []Decision
	usable := b.usable(now, s)
	for i := 0; i < len(s.queue); {
		t := s.queue[i]
		reason := TooLate
		switch {
		case s.down && usable == 0:
			reason = NoUpstream // waiting does not help while a group is down
		case now < t.GiveUp:
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		t.queued = false
		out = append(out, b.reject(now, s, t, reason, usable))
	}
	return out
}
