// Package balance decides when a request may run, on which upstream, and when
// it is rejected. It does no I/O and starts no goroutines; callers pass the
// current time to each call.
package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/fleet"
)

// Settings holds the policy and the limits that all entries share.
type Settings struct {
	// Entry is the name of this entry.
	Entry string
	// DataCentre is the data centre of this entry.
	DataCentre string
	// RetryRatio and RetryAllowance bound the retries of all entries in
	// RetryWindow: a share of the first sends plus a fixed number.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    clock.Millis
	// StallTime is how long the upstreams of a group wait for one that has failed
	// before the group closes.
	StallTime clock.Millis
	// Policy selects how upstreams are chosen.
	Policy Policy
}

// Balancer assigns upstreams for all services of an entry. It is not safe for
// concurrent use.
type Balancer struct {
	settings Settings
	// startedAt is when this process started.
	startedAt clock.Millis
	entries   entryCount
	// position is the place of this entry among all entries, or unknownPosition.
	position int
	view     *fleet.View
	services map[string]*service
	// upstreams holds the upstreams of all services by ID.
	upstreams map[string]*upstream
}

// New returns a balancer without upstreams for a process that starts now.
func New(now clock.Millis, s Settings) *Balancer {
	return &Balancer{settings: s, startedAt: now, position: unknownPosition, services: make(map[string]*service)}
}

// SetEntries sets the number of entries that share the limits, 0 if it is unknown.
func (b *Balancer) SetEntries(now clock.Millis, n int) { b.entries.record(now, n) }

// SetSettings replaces the shared limits. Budgets in use keep their ratio and
// window.
func (b *Balancer) SetSettings(s Settings) { b.settings = s }

// SetView applies a snapshot of the fleet. Requests in flight keep their
// upstreams.
func (b *Balancer) SetView(now clock.Millis, v *fleet.View) {
	b.view = v
	if v.Config() == nil {
		return
	}
	for name, spec := range v.Config().Services() {
		b.service(name).spec = spec
	}
	b.upstreams = make(map[string]*upstream, len(v.Upstreams()))
	for _, s := range b.services {
		s.updateUpstreams(now, v)
		for _, u := range s.upstreams {
			b.upstreams[u.info.ID] = u
		}
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

// Acquire requests an upstream for t, which waits in the queue if none can take
// it now.
func (b *Balancer) Acquire(now clock.Millis, t *Ticket) Decision {
	s := b.service(t.Service)
	if s.queue.length == 0 {
		if u := b.choose(now, s, t); u != nil {
			return b.grant(now, s, t, u)
		}
	}
	usable := b.usableFor(now, s, t.Customer)
	if usable == 0 && !s.opensBefore(now, t.WaitDeadline) && !b.resumesBefore(now, s, t.WaitDeadline) {
		return b.reject(now, s, t, b.reasonForNone(now, s), usable)
	}
	if reason := b.tooManyAhead(now, s, t); reason != "" {
		return b.reject(now, s, t, reason, usable)
	}
	s.queue.add(t)
	return Wait{}
}

// tooManyAhead returns the reason for which the queue does not reach t by its deadline, or an
// empty one if it does. Where stated limits bind, they tell when requests are sent; otherwise
// the rate of completions does.
func (b *Balancer) tooManyAhead(now clock.Millis, s *service, t *Ticket) Reason {
	ahead := s.ahead(now, t)
	if slots, bind := b.limitSlots(now, s); bind {
		slots.skip(ahead)
		if slots.take() > t.WaitDeadline {
			return LimitReached
		}
		return ""
	}
	if b.resumesAt(now, s)+s.completionWait(now, ahead) > t.WaitDeadline {
		return QueueFull
	}
	return ""
}

// reasonForNone returns the reason for which no upstream of a service is usable.
func (b *Balancer) reasonForNone(now clock.Millis, s *service) Reason {
	if b.resumesAt(now, s) > now {
		return PauseRequested
	}
	return NoUpstream
}

func (b *Balancer) grant(now clock.Millis, s *service, t *Ticket, u *upstream) Grant {
	if u.inFlight == 0 {
		u.lastActive = now
	}
	u.inFlight++
	u.promptTokens += t.PromptTokens
	b.countSend(now, s, u)
	if t.isTrial = u.onTrial; t.isTrial {
		u.trials++
	}
	t.upstream, t.registration, t.granted = u, u.info, now
	if t.retryReserved {
		t.retryReserved = false
		s.budget.Use(now, t.Customer)
	}
	return Grant{Ticket: t, InFlight: u.load(), Limit: s.limit(u)}
}

// Release frees the upstream of a ticket and grants the free capacity to waiting
// requests.
func (b *Balancer) Release(now clock.Millis, t *Ticket, o Outcome) []Decision {
	s, u := b.service(t.Service), t.upstream
	if u == nil {
		return nil
	}
	t.upstream = nil
	u.inFlight--
	u.promptTokens -= t.PromptTokens
	if t.isTrial {
		u.trials--
	}
	switch o {
	case Succeeded:
		if s.spec.Engine == nil {
			s.responseLatency.add(now - t.granted)
		}
		u.recordSuccess(now, t.Customer)
		u.onTrial = u.onTrial && !t.isTrial
		s.completions.add(now)
	case Failed:
		s.recordFailure(now, u)
		t.Avoid = append(t.Avoid, u.info.ID)
	case Unclear:
		s.recordUnclear(now, u, t.Customer)
		t.Avoid = append(t.Avoid, u.info.ID)
	case Refused:
		s.recordUnclear(now, u, t.Customer)
		t.Avoid = append(t.Avoid, u.info.ID)
		s.recordRefusal(now, u, t.Customer)
	case Unmet:
		t.Avoid = append(t.Avoid, u.info.ID)
	case Misdirected:
		u.pauses.extend(pauseMisdirected, now+deniedDuration)
		t.Avoid = append(t.Avoid, u.info.ID)
	case Abandoned:
		s.completions.add(now)
	}
	return b.dispatch(now, s)
}

// PrefillDone records that the upstream has processed the prompt of a ticket. If
// the group was down, it is open again.
func (b *Balancer) PrefillDone(now clock.Millis, t *Ticket) {
	if t.upstream == nil {
		return
	}
	s := b.service(t.Service)
	t.upstream.promptTokens -= t.PromptTokens
	t.upstream.onTrial = t.upstream.onTrial && !t.isTrial
	t.PromptTokens = 0
	s.responseLatency.add(now - t.granted)
	if s.down {
		s.reopen()
	}
}

// Cancel removes a ticket from the queue.
func (b *Balancer) Cancel(t *Ticket) {
	b.service(t.Service).queue.remove(t)
}

// SetOthersInFlight sets, by upstream ID, how many requests of other entries are
// in flight.
func (b *Balancer) SetOthersInFlight(inFlight map[string]int) {
	for _, s := range b.services {
		for _, u := range s.upstreams {
			u.othersInFlight = inFlight[u.info.ID]
		}
	}
}

// SetSlowdowns sets, by upstream ID, how many times slower than usual upstreams
// are.
func (b *Balancer) SetSlowdowns(slowdowns map[string]float64) {
	for _, s := range b.services {
		for _, u := range s.upstreams {
			u.slowdown = slowdowns[u.info.ID]
		}
	}
}

// InFlight returns, by upstream ID, how many requests of this entry are in
// flight; idle upstreams are omitted.
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

// Tick grants upstreams to waiting requests and rejects those that have waited
// too long. It must be called regularly while any request waits.
func (b *Balancer) Tick(now clock.Millis) []Decision {
	var out []Decision
	for _, s := range b.services {
		out = append(out, b.dispatch(now, s)...)
		out = append(out, b.expire(now, s)...)
	}
	return out
}
