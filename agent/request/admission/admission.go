// Package admission decides which work enters an upstream. It reserves the
// upstream's memory, follows its temperature and holds work that does not fit
// for a short time. It is pure: events go in, actions come out, and the caller
// supplies the time.
package admission

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// MaxWait bounds how long work waits at the agent. Longer waits belong to
	// the entries, which can still choose another upstream.
	MaxWait = 1 * clock.Second
	// minWaiting bounds the queue from below for upstreams with small limits.
	minWaiting = 16
	// retryAfter is the wait suggested to refused callers: the time in which a
	// running request commonly ends.
	retryAfter = 1 * clock.Second
)

// held is one admitted request.
type held struct {
	tokens       int64
	prompt       int
	admittedAt   clock.Millis
	order        uint64
	epoch        uint64
	observed     bool // the first token says how warm the upstream is
	reportedWarm bool // a report younger than the request said warm
	slow         bool
	answered     bool
}

// Admission is the decision for one upstream. It is not safe for concurrent use.
type Admission struct {
	service     string
	confirmed   bool
	leaving     bool
	out         bool
	stopping    bool
	groupBroken bool
	limits      Limits
	reach       reach
	memory      memory
	temperature temperature
	orphans     orphans
	held        map[frame.ID]*held
	waiting     queue
	pace        pace
	admitted    uint64
	proven      uint64 // order of the latest admitted request with a fast first token
	crashes     uint64
}

// New returns the admission of one upstream at the instant now. It admits
// nothing before the configuration is confirmed and the upstream has answered.
func New(service string, now clock.Millis) *Admission {
	return &Admission{
		service: service,
		reach:   reach{since: now},
		held:    make(map[frame.ID]*held),
	}
}

// Apply takes one event at the instant now and returns what follows from it.
// Instants must not decrease.
func (a *Admission) Apply(now clock.Millis, e Event) []Action {
	before := a.visible()
	var actions []Action
	switch e := e.(type) {
	case Submit:
		actions = a.submit(now, e)
	case Cancel:
		a.waiting.remove(e.id)
	case FirstToken:
		a.firstToken(now, e)
	case Complete:
		a.complete(e)
	case EngineReport:
		a.report(now, e)
	case UpstreamCrash:
		a.crash(now)
	case Leaving:
		a.leaving = e.leaving
	case Out:
		a.out = e.out
	case GroupComplete:
		a.groupBroken = !e.complete
	case Stopping:
		a.stopping = true
	case ConfigConfirmed:
		a.configure(e.limits)
	case Tick:
		a.watchFirstTokens(now)
	}
	actions = append(actions, a.settle(now)...)
	if a.visible() != before {
		actions = append(actions, Report{})
	}
	return actions
}

// visible is the part of the load that entries must learn of at once.
type visible struct {
	limit   int
	leaving bool
}

func (a *Admission) visible() visible {
	return visible{a.openLimit(), a.leaving || a.out || a.stopping}
}

// openLimit returns the number of requests the upstream may hold now, 0 while
// it takes none.
func (a *Admission) openLimit() int {
	if a.closed() != nil || !a.reach.up {
		return 0
	}
	return a.temperature.limit
}

// closed returns the refusal of all work, or nil.
func (a *Admission) closed() *outcome.Refusal {
	switch {
	case a.stopping:
		return outcome.Refuse(outcome.Stopping, outcome.NotRun, 0)
	case a.leaving, a.out:
		return outcome.Refuse(outcome.OutOfService, outcome.NotRun, 0)
	case !a.confirmed:
		return outcome.Refuse(outcome.ConfigUnconfirmed, outcome.NotRun, int64(retryAfter))
	case a.groupBroken:
		return outcome.Refuse(outcome.GroupIncomplete, outcome.NotRun, int64(retryAfter))
	}
	return nil
}

func (a *Admission) submit(now clock.Millis, e Submit) []Action {
	if _, ok := a.held[e.id]; ok || a.waiting.has(e.id) {
		return nil
	}
	if r := a.closed(); r != nil {
		return []Action{Refuse{e.id, r}}
	}
	tokens := int64(e.size.PromptTokens()) + int64(e.size.MaxTokens())
	if !a.memory.fitsEmpty(tokens) {
		return []Action{Refuse{e.id, outcome.Refuse(outcome.TooLarge, outcome.NotRun, 0)}}
	}
	deadline := now + clock.Millis(e.terms.DeadlineMs())
	a.waiting.push(waiter{
		id:       e.id,
		size:     e.size,
		tokens:   tokens,
		observed: e.terms.Stream() && a.limits.budgetBytes > 0,
		priority: e.terms.Priority(),
		deadline: deadline,
		arrived:  now,
		expires:  min(deadline, now+MaxWait),
	})
	return nil
}

// settle admits what fits, then refuses what may not wait any longer.
func (a *Admission) settle(now clock.Millis) []Action {
	if r := a.closed(); r != nil {
		return a.refuseAll(r)
	}
	a.reach.retry(now)
	actions := a.admitWaiting(now)
	for _, w := range a.waiting.takeExpired(now) {
		actions = append(actions, Refuse{w.id, a.reason(now, w)})
	}
	for a.waiting.len() > a.maxWaiting() {
		w := a.waiting.takeLast()
		actions = append(actions, Refuse{w.id, a.reason(now, w)})
	}
	return actions
}

func (a *Admission) maxWaiting() int { return max(minWaiting, 2*a.temperature.limit) }

func (a *Admission) refuseAll(r *outcome.Refusal) []Action {
	var actions []Action
	for _, w := range a.waiting.takeAll() {
		actions = append(actions, Refuse{w.id, r})
	}
	return actions
}

// admitWaiting admits in order of priority and deadline. Work may pass over a
// larger request that does not fit the memory only while that request has
// waited less than half of MaxWait, so that small requests cannot starve it.
func (a *Admission) admitWaiting(now clock.Millis) []Action {
	var actions []Action
	for i := 0; i < a.waiting.len(); {
		if !a.hasSlot() {
			break
		}
		w := a.waiting.at(i)
		if w.expires <= now && w.expires == w.deadline {
			i++
			continue
		}
		if !a.memory.fits(w.tokens + a.orphans.tokens) {
			if now-w.arrived >= MaxWait/2 {
				break
			}
			i++
			continue
		}
		a.waiting.removeAt(i)
		a.admit(now, w)
		actions = append(actions, Admit{w.id})
	}
	return actions
}

func (a *Admission) hasSlot() bool {
	return a.reach.up && len(a.held)+a.orphans.held < a.temperature.limit && a.unproven() < a.temperature.coldLimit
}

// unproven counts the held requests that would be too many if the upstream had
// turned cold unnoticed: those admitted after the latest request whose first
// token came fast, or, where first tokens say nothing, after the instant of the
// latest warm report. Keeping them within the cold limit bounds the work that an
// upstream without warning can get. An upstream that says it is cold is bounded
// by its limit instead, since its first tokens are slow.
func (a *Admission) unproven() int {
	if a.temperature.reported || a.reach.probes {
		return 0
	}
	n := 0
	for _, h := range a.held {
		if h.order > a.proven && !h.reportedWarm {
			n++
		}
	}
	return n
}

func (a *Admission) admit(now clock.Millis, w waiter) {
	a.memory.reserve(w.tokens)
	a.admitted++
	a.held[w.id] = &held{
		tokens:     w.tokens,
		prompt:     w.size.PromptTokens(),
		admittedAt: now,
		order:      a.admitted,
		epoch:      a.temperature.epoch,
		observed:   w.observed,
	}
}

// reason tells why w was not admitted.
func (a *Admission) reason(now clock.Millis, w waiter) *outcome.Refusal {
	code := outcome.Overloaded
	switch {
	case w.deadline <= now:
		code = outcome.DeadlineExceeded
	case !a.reach.up:
		code = outcome.NoUpstream
	case a.hasSlot():
		code = outcome.MemoryFull
	case a.temperature.cold():
		code = outcome.Cold
	}
	return outcome.Refuse(code, outcome.NotRun, int64(retryAfter))
}

func (a *Admission) firstToken(now clock.Millis, e FirstToken) {
	h, ok := a.held[e.id]
	if !ok || h.answered {
		return
	}
	h.answered = true
	if !h.observed {
		return
	}
	took := a.pace.served(now, h)
	a.pace.noteFirstToken(now, h, took)
	b := a.baseline(h)
	fast := !h.slow && b.fast(took, a.temperature.suspect)
	if b.slow(took) {
		a.markSlow(h)
	}
	if !fast {
		a.temperature.suspect = true
	}
	b.learn(took, a.temperature.cold() || a.temperature.slow > 0)
	if fast {
		a.temperature.noteFast(h.epoch)
		a.proven = max(a.proven, h.order)
	}
}

func (a *Admission) baseline(h *held) *baseline { return &a.temperature.baselines[classOf(h.prompt)] }

// markSlow counts a first token as slow, once.
func (a *Admission) markSlow(h *held) {
	if h.slow {
		return
	}
	h.slow = true
	a.temperature.noteSlow(h.epoch)
}

// watchFirstTokens counts overdue first tokens as slow, so that an upstream
// that has stopped answering is found without waiting for its answer.
func (a *Admission) watchFirstTokens(now clock.Millis) {
	for _, h := range a.held {
		if h.observed && !h.answered && a.baseline(h).slow(a.pace.served(now, h)) {
			a.markSlow(h)
		}
	}
}

func (a *Admission) complete(e Complete) {
	h, ok := a.held[e.id]
	if !ok {
		return
	}
	delete(a.held, e.id)
	a.memory.release(h.tokens)
	if e.ok {
		a.temperature.completed(h.epoch, h.slow)
	}
}

func (a *Admission) report(now clock.Millis, e EngineReport) {
	if !a.reach.answered(now, e.incarnation) {
		return
	}
	a.temperature.report(e.incarnation, e.cold)
	settled := 0
	var tokens int64
	for _, h := range a.held {
		// The report may be as old as reportLag. Work admitted before that
		// is certainly part of it.
		if h.admittedAt <= now-reportLag {
			settled++
			tokens += h.tokens
			h.reportedWarm = h.reportedWarm || !h.observed && !e.cold
		}
	}
	a.orphans.report(now, e.held-settled, e.heldTokens-tokens)
}

func (a *Admission) crash(now clock.Millis) {
	if a.reach.up {
		a.crashes++
	}
	a.reach.lost(now)
	a.temperature.drop()
	a.orphans = orphans{}
}

func (a *Admission) configure(l Limits) {
	a.confirmed = true
	a.limits = l
	a.memory.configure(l)
	a.temperature.configure(l.cold, l.warm)
	a.reach.probes = l.probes
}

// Load returns the report for the entries. Waiting work counts as held, so that
// entries do not send more of it. A limit of 0 means that the
// upstream takes no work now.
func (a *Admission) Load(now clock.Millis) frame.Load {
	return frame.NewLoad(
		a.service,
		frame.NewOccupancy(len(a.held)+a.orphans.held+a.waiting.len(), a.openLimit(), a.memory.reservedBytes(), a.memory.usableBytes()),
		frame.NewCondition(a.temperature.cold(), a.leaving || a.out || a.stopping, a.reach.incarnation, a.crashes),
		frame.NewPace(int64(a.queueing(now)), int64(a.pace.firstToken)),
	)
}

// queueing estimates how long a new request would wait before the upstream
// starts on its prompt.
func (a *Admission) queueing(now clock.Millis) float64 {
	tokens := a.waiting.promptTokens()
	var working clock.Millis
	for _, h := range a.held {
		if h.observed && !h.answered {
			tokens += h.prompt
			working = max(working, a.pace.served(now, h))
		}
	}
	return max(float64(tokens)*a.pace.perToken-float64(working), 0)
}

// Held returns the number of admitted requests that have not completed.
func (a *Admission) Held() int { return len(a.held) }

// Idle reports whether no request is held or waiting, so that a stopping agent
// may exit.
func (a *Admission) Idle() bool { return len(a.held) == 0 && a.waiting.len() == 0 }
