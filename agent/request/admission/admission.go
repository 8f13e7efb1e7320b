// Package admission decides which requests are sent to an upstream. It reserves
// the upstream's memory, adapts its concurrency limit as it warms up and queues
// requests that do not fit for a short time. It performs no I/O: it receives
// events, returns actions and takes the current time as a parameter.
package admission

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// MaxWait bounds the time in the agent's queue. Longer waits belong to the
	// entries, which can still choose another upstream.
	MaxWait = 1 * clock.Second
	// minQueueLimit is the lower bound of the queue limit, for upstreams with a
	// low concurrency limit.
	minQueueLimit = 16
	// retryAfter is the delay suggested to refused callers: the time within
	// which a running request usually completes.
	retryAfter = 1 * clock.Second
)

// inFlight is an admitted request that has not completed.
type inFlight struct {
	tokens         int64
	promptLength   int
	admittedAt     clock.Millis
	sequence       uint64
	epoch          uint64
	sampled        bool // its first-token latency indicates whether the upstream is warm
	reportedWarm   bool // a report made after its admission said that the upstream is warm
	slow           bool
	firstTokenSeen bool
}

// Admission makes the admission decisions for one upstream. It is not safe for
// concurrent use.
type Admission struct {
	service          string
	configConfirmed  bool
	draining         bool
	drained          bool
	stopping         bool
	groupIncomplete  bool
	limits           Limits
	reachability     reachability
	memory           memory
	warmup           warmup
	orphans          orphans
	inFlight         map[frame.ID]*inFlight
	waiting          queue
	latency          latency
	lastSequence     uint64
	lastFastSequence uint64 // sequence of the latest admitted request with a fast first token
	crashes          uint64
}

// New returns the admission state of one upstream at the time now. It admits
// nothing until the configuration is confirmed and the upstream is reachable.
func New(service string, now clock.Millis) *Admission {
	return &Admission{
		service:      service,
		reachability: reachability{downSince: now},
		inFlight:     make(map[frame.ID]*inFlight),
	}
}

// Apply processes one event at the time now and returns the resulting actions.
// The times of successive calls must not decrease.
func (a *Admission) Apply(now clock.Millis, e Event) []Action {
	previous := a.publishedState()
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
	case Draining:
		a.draining = e.draining
	case Drained:
		a.drained = e.drained
	case GroupComplete:
		a.groupIncomplete = !e.complete
	case Stopping:
		a.stopping = true
	case ConfigConfirmed:
		a.configure(e.limits)
	case Tick:
		a.markOverdueFirstTokens(now)
	}
	actions = append(actions, a.processQueue(now)...)
	if a.publishedState() != previous {
		actions = append(actions, SendHeartbeat{})
	}
	return actions
}

// publishedState is the part of the load whose changes entries must receive at
// once.
type publishedState struct {
	limit    int
	draining bool
}

func (a *Admission) publishedState() publishedState {
	return publishedState{a.effectiveLimit(), a.draining || a.drained || a.stopping}
}

// effectiveLimit returns the current concurrency limit of the upstream, 0 while
// it accepts no work.
func (a *Admission) effectiveLimit() int {
	if a.blanketRefusal() != nil || !a.reachability.up {
		return 0
	}
	return a.warmup.limit
}

// blanketRefusal returns the refusal that applies to all requests at present,
// or nil if the upstream accepts work.
func (a *Admission) blanketRefusal() *outcome.Refusal {
	switch {
	case a.stopping:
		return outcome.Refuse(outcome.Stopping, outcome.NotRun, 0)
	case a.draining, a.drained:
		return outcome.Refuse(outcome.OutOfService, outcome.NotRun, 0)
	case !a.configConfirmed:
		return outcome.Refuse(outcome.ConfigUnconfirmed, outcome.NotRun, int64(retryAfter))
	case a.groupIncomplete:
		return outcome.Refuse(outcome.GroupIncomplete, outcome.NotRun, int64(retryAfter))
	}
	return nil
}

func (a *Admission) submit(now clock.Millis, e Submit) []Action {
	if _, ok := a.inFlight[e.id]; ok || a.waiting.has(e.id) {
		return nil
	}
	if r := a.blanketRefusal(); r != nil {
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
		sampled:  e.terms.Stream() && a.limits.budgetBytes > 0,
		priority: e.terms.Priority(),
		deadline: deadline,
		arrived:  now,
		expires:  min(deadline, now+MaxWait),
	})
	return nil
}

// processQueue admits what fits, then refuses the requests whose wait has
// expired and those beyond the queue limit.
func (a *Admission) processQueue(now clock.Millis) []Action {
	if r := a.blanketRefusal(); r != nil {
		return a.refuseAll(r)
	}
	a.reachability.retry(now)
	actions := a.admitWaiting(now)
	for _, w := range a.waiting.popExpired(now) {
		actions = append(actions, Refuse{w.id, a.refusalFor(now, w)})
	}
	for a.waiting.len() > a.maxWaiting() {
		w := a.waiting.popLast()
		actions = append(actions, Refuse{w.id, a.refusalFor(now, w)})
	}
	return actions
}

func (a *Admission) maxWaiting() int { return max(minQueueLimit, 2*a.warmup.limit) }

func (a *Admission) refuseAll(r *outcome.Refusal) []Action {
	var actions []Action
	for _, w := range a.waiting.popAll() {
		actions = append(actions, Refuse{w.id, r})
	}
	return actions
}

// admitWaiting admits in order of priority and deadline. A request that does
// not fit the memory may be skipped for smaller ones only until it has
// waited half of MaxWait, so that small requests cannot starve it.
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
	return a.reachability.up && len(a.inFlight)+a.orphans.inFlight < a.warmup.limit && a.unverifiedInFlight() < a.warmup.coldLimit
}

// unverifiedInFlight counts the in-flight requests that would overload the
// upstream if it had turned cold unnoticed: those admitted after the latest
// request with a fast first token or, where first tokens are not sampled, after
// the time of the latest warm report. Keeping them within the cold limit bounds
// the load on an upstream that turns cold without warning. An upstream that
// reports itself cold is bounded by its concurrency limit instead, since its
// first tokens are slow.
func (a *Admission) unverifiedInFlight() int {
	if a.warmup.reportedCold || a.reachability.withoutReports {
		return 0
	}
	n := 0
	for _, r := range a.inFlight {
		if r.sequence > a.lastFastSequence && !r.reportedWarm {
			n++
		}
	}
	return n
}

func (a *Admission) admit(now clock.Millis, w waiter) {
	a.memory.reserve(w.tokens)
	a.lastSequence++
	a.inFlight[w.id] = &inFlight{
		tokens:       w.tokens,
		promptLength: w.size.PromptTokens(),
		admittedAt:   now,
		sequence:     a.lastSequence,
		epoch:        a.warmup.epoch,
		sampled:      w.sampled,
	}
}

// refusalFor returns the refusal of w with the reason why it was not admitted.
func (a *Admission) refusalFor(now clock.Millis, w waiter) *outcome.Refusal {
	code := outcome.Overloaded
	switch {
	case w.deadline <= now:
		code = outcome.DeadlineExceeded
	case !a.reachability.up:
		code = outcome.NoUpstream
	case a.hasSlot():
		code = outcome.MemoryFull
	case a.warmup.cold():
		code = outcome.Cold
	}
	return outcome.Refuse(code, outcome.NotRun, int64(retryAfter))
}

func (a *Admission) firstToken(now clock.Millis, e FirstToken) {
	r, ok := a.inFlight[e.id]
	if !ok || r.firstTokenSeen {
		return
	}
	r.firstTokenSeen = true
	if !r.sampled {
		return
	}
	took := a.latency.prefillDuration(now, r)
	a.latency.recordFirstToken(now, r, took)
	b := a.baseline(r)
	fast := !r.slow && b.fast(took, a.warmup.suspectedCold)
	if b.slow(took) {
		a.markSlow(r)
	}
	if !fast {
		a.warmup.suspectedCold = true
	}
	b.update(took, a.warmup.cold() || a.warmup.slow > 0)
	if fast {
		a.warmup.recordFast(r.epoch)
		a.lastFastSequence = max(a.lastFastSequence, r.sequence)
	}
}

func (a *Admission) baseline(r *inFlight) *baseline {
	return &a.warmup.baselines[promptClass(r.promptLength)]
}

// markSlow records the first token of r as slow, at most once.
func (a *Admission) markSlow(r *inFlight) {
	if r.slow {
		return
	}
	r.slow = true
	a.warmup.recordSlow(r.epoch)
}

// markOverdueFirstTokens records overdue first tokens as slow, so that an
// upstream that has stopped responding is detected without waiting for its
// response.
func (a *Admission) markOverdueFirstTokens(now clock.Millis) {
	for _, r := range a.inFlight {
		if r.sampled && !r.firstTokenSeen && a.baseline(r).slow(a.latency.prefillDuration(now, r)) {
			a.markSlow(r)
		}
	}
}

func (a *Admission) complete(e Complete) {
	r, ok := a.inFlight[e.id]
	if !ok {
		return
	}
	delete(a.inFlight, e.id)
	a.memory.release(r.tokens)
	if e.ok {
		a.warmup.recordCompletion(r.epoch, r.slow)
	}
}

func (a *Admission) report(now clock.Millis, e EngineReport) {
	if !a.reachability.acceptReport(now, e.incarnation) {
		return
	}
	a.warmup.report(e.incarnation, e.cold)
	included := 0
	var tokens int64
	for _, r := range a.inFlight {
		// The report may be up to reportLag old. It certainly includes the
		// requests admitted before that.
		if r.admittedAt <= now-reportLag {
			included++
			tokens += r.tokens
			r.reportedWarm = r.reportedWarm || !r.sampled && !e.cold
		}
	}
	a.orphans.report(now, e.inFlight-included, e.inFlightTokens-tokens)
}

func (a *Admission) crash(now clock.Millis) {
	if a.reachability.up {
		a.crashes++
	}
	a.reachability.markDown(now)
	a.warmup.resetToCold()
	a.orphans = orphans{}
}

func (a *Admission) configure(l Limits) {
	a.configConfirmed = true
	a.limits = l
	a.memory.configure(l)
	a.warmup.configure(l.cold, l.warm)
	a.reachability.withoutReports = l.withoutReports
}

// Load returns the load report for the entries. Waiting requests count as in
// flight, so that entries do not send more of them. A limit of 0 means that the
// upstream accepts no work at present.
func (a *Admission) Load(now clock.Millis) frame.Load {
	return frame.NewLoad(
		a.service,
		frame.NewOccupancy(len(a.inFlight)+a.orphans.inFlight+a.waiting.len(), a.effectiveLimit(), a.memory.reservedBytes(), a.memory.usableBytes()),
		frame.NewCondition(a.warmup.cold(), a.draining || a.drained || a.stopping, a.reachability.incarnation, a.crashes),
		frame.NewLatency(int64(a.queueDelay(now)), int64(a.latency.firstToken)),
	)
}

// queueDelay estimates how long a new request would wait before the upstream
// starts to process its prompt.
func (a *Admission) queueDelay(now clock.Millis) float64 {
	tokens := a.waiting.promptTokens()
	var elapsed clock.Millis
	for _, r := range a.inFlight {
		if r.sampled && !r.firstTokenSeen {
			tokens += r.promptLength
			elapsed = max(elapsed, a.latency.prefillDuration(now, r))
		}
	}
	return max(float64(tokens)*a.latency.perToken-float64(elapsed), 0)
}

// InFlight returns the number of admitted requests that have not completed.
func (a *Admission) InFlight() int { return len(a.inFlight) }

// Idle reports whether no request is in flight or waiting, so that a stopping
// agent may exit.
func (a *Admission) Idle() bool { return len(a.inFlight) == 0 && a.waiting.len() == 0 }
