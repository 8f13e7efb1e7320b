// Package balance decides when a request may run, on which upstream, and when
// it is rejected. It does no I/O and starts no goroutine; the caller passes the
// instant to each call.
package balance

import (
	"slices"

	"goldcrestshore/core/process/clock"
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
	// PromptTokens is the number of prompt tokens, 0 for plain services.
	PromptTokens int
	// Due is when its first byte should be on its way.
	Due clock.Millis
	// WaitDeadline is when waiting ends with a rejection.
	WaitDeadline clock.Millis
	// Avoid are upstreams that have failed the request.
	Avoid []string

	upstream *upstream
	// granted is when it got the upstream.
	granted clock.Millis
}

// Upstream returns the id and address of the upstream that was granted.
func (t *Ticket) Upstream() (id, address string) {
	return t.upstream.info.ID, t.upstream.info.Address
}

// Decision is the answer to a request for an upstream.
type Decision interface{ decision() }

// Grant gives an upstream to a ticket.
type Grant struct {
	Ticket *Ticket
	// InFlight is the number of requests that this entry and others hold there.
	InFlight int
	// Limit is the number that may be held there.
	Limit int
}

// Wait leaves a ticket in the queue.
type Wait struct{}

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

func (Grant) decision() {}

func (Wait) decision() {}

func (Reject) decision() {}

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
	return &Balancer{settings: s, entries: assumedEntries, services: make(map[string]*service)}
}

const (
	// assumedEntries is the number of entries that is assumed until agents tell:
	// a process that has just started must not take the limits for its own.
	assumedEntries = 16
	// budgetShare is the part of the shared budget of repeats that entries use. The
	// rest covers what they forget when they start again and cannot see of each
	// other.
	budgetShare = 0.7
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
		s.updateUpstreams(v)
	}
}

func (b *Balancer) service(name string) *service {
	s := b.services[name]
	if s == nil {
		s = &service{budget: NewBudget(b.settings.RetryRatio*budgetShare, b.settings.RetryWindow)}
		b.services[name] = s
	}
	return s
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
	if now+wait > t.WaitDeadline {
		return b.reject(now, s, t, QueueFull, usable)
	}
	s.queue = append(s.queue, t) // drain puts it in order
	return Wait{}
}

func (b *Balancer) grant(now clock.Millis, s *service, t *Ticket, u *upstream) Grant {
	if u.inFlight == 0 {
		u.lastActive = now
	}
	u.inFlight++
	u.promptTokens += t.PromptTokens
	if u.info.Cold(now) {
		u.coldSends.add(now)
	}
	t.upstream, t.granted = u, now
	return Grant{Ticket: t, InFlight: u.load(), Limit: s.limit(u)}
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

// Release returns the upstream of a ticket and grants it to those that wait.
func (b *Balancer) Release(now clock.Millis, t *Ticket, o Outcome) []Decision {
	s, u := b.service(t.Service), t.upstream
	if u == nil {
		return nil
	}
	t.upstream = nil
	u.inFlight--
	u.promptTokens -= t.PromptTokens
	switch o {
	case Succeeded:
		if s.spec.Engine == nil {
			s.responseLatency.add(now - t.granted)
		}
		u.consecutiveFailures = 0
		u.recordOutcome(false)
		s.completions.add(now)
	case Failed, Refused:
		u.consecutiveFailures++
		u.recordOutcome(true)
		u.skipUntil = now + s.skipDuration(u.consecutiveFailures)
		t.Avoid = append(t.Avoid, u.info.ID)
	case Abandoned:
		s.completions.add(now)
	}
	return b.dispatch(now, s)
}

// PrefillDone tells that the upstream has read the prompt of a ticket. Since the
// ranks of a group run together or not at all, none of them is skipped then.
func (b *Balancer) PrefillDone(now clock.Millis, t *Ticket) {
	if t.upstream == nil {
		return
	}
	t.upstream.promptTokens -= t.PromptTokens
	t.PromptTokens = 0
	s := b.service(t.Service)
	s.responseLatency.add(now - t.granted)
	if s.down {
		s.down = false
		for _, u := range s.upstreams {
			u.skipUntil, u.consecutiveFailures = 0, 0
		}
	}
}

// Cancel takes a ticket out of the queue.
func (b *Balancer) Cancel(t *Ticket) {
	s := b.service(t.Service)
	if i := slices.Index(s.queue, t); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// Repeat reports whether a request of the service may be sent again, and
// counts it.
func (b *Balancer) Repeat(now clock.Millis, name string) bool {
	return b.service(name).budget.Take(now, b.retryAllowance())
}

// retryAllowance is this entry's part of the fixed number of repeats.
func (b *Balancer) retryAllowance() float64 {
	return b.settings.RetryAllowance * budgetShare / float64(b.entries)
}

// RecordFirstSend counts the first send of a request.
func (b *Balancer) RecordFirstSend(now clock.Millis, name string) {
	b.service(name).budget.RecordFirstSend(now)
}

// SetOthersInFlight tells how many requests other entries hold at each upstream.
func (b *Balancer) SetOthersInFlight(inFlight map[string]int) {
	for _, s := range b.services {
		for _, u := range s.upstreams {
			u.othersInFlight = inFlight[u.info.ID]
		}
	}
}

// SetSlowdowns tells how many times as long the work of upstreams takes as usual.
func (b *Balancer) SetSlowdowns(slowdowns map[string]float64) {
	for _, s := range b.services {
		for _, u := range s.upstreams {
			u.slowdown = slowdowns[u.info.ID]
		}
	}
}

// InFlight returns how many requests this entry holds at each upstream.
func (b *Balancer) InFlight() map[string]int {
	inFlight := make(map[string]int)
	for _, s := range b.services {
		for _, u := range s.upstreams {
			if u.inFlight > 0 {
				inFlight[u.info.ID] = u.inFlight
			}
		}
	}
	return inFlight
}

// Tick grants and rejects waiting requests as time passes.
func (b *Balancer) Tick(now clock.Millis) []Decision {
	var out []Decision
	for _, s := range b.services {
		out = append(out, b.dispatch(now, s)...)
		out = append(out, b.expire(now, s)...)
	}
	return out
}
