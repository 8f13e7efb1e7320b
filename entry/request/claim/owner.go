package claim

import (
	"fmt"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// Kind is the kind of the log's objects in the platform's object API.
const Kind = "claim"

const (
	// slots is the number of objects that a shard's log cycles through. Position
	// p is stored in slot p modulo slots. Deleting covered positions instead
	// would double the writes and would let a paused owner create a deleted
	// position again.
	slots = 512
	// snapshotEvery leaves half of the slots for appends while the platform
	// refuses the snapshot.
	snapshotEvery = slots / 2
	// maxBatch bounds a batch well below the platform's 1 MB: a claim takes
	// about 80 bytes and an outcome at most stored.MaxBytes.
	maxBatchClaims   = 1000
	maxBatchOutcomes = 100
	// maxWaiting bounds the callers that wait in one shard.
	maxWaiting = 4096
	// maxGone bounds the dead entries remembered; forgetting one only delays a
	// query by resolveAfter.
	maxGone = 1024
	// maxReports bounds the outcomes that wait to be appended. What is dropped
	// is asked of the agent when it is needed.
	maxReports = 4096

	// outcomeLinger is how long outcomes wait for a batch with claims. At one
	// request/s in eight shards the next claim of a shard comes after 8 s; until
	// then a new owner can ask the agent, which keeps outcomes for 15 minutes.
	outcomeLinger = 10 * clock.Second
	// platformPatience is how long a caller waits for its claim to be durable.
	platformPatience = 2 * clock.Second
	// retryPlatform is the pause between attempts while the platform fails.
	retryPlatform = 250 * clock.Millis(1)
	// resolveAfter is how long the owner expects a report before it asks the
	// agent for a caller that sends its key again.
	resolveAfter = 300 * clock.Millis(1)
	// queryEvery is the pause between queries for one claim.
	queryEvery = 300 * clock.Millis(1)
	// queryTimeout is the pause when a query gets no answer at all.
	queryTimeout = 2 * clock.Second
	// sweepAfter is the age at which a claim without an outcome is asked of its
	// agent although nobody waits; callers that left and lost reports would
	// otherwise fill the shard. An orphan is asked earlier.
	sweepAfter       = clock.Minute
	sweepOrphanAfter = 5 * clock.Second
	// sweepEvery and sweepAgain are the pauses between sweeps of a shard and
	// between queries for one claim; sweepQueries bounds the queries of a sweep.
	sweepEvery   = clock.Second
	sweepAgain   = 30 * clock.Second
	sweepQueries = 8
	// settleAfter is the age at which a claim whose agent cannot be reached is
	// settled as unknown. It exceeds the time for which agents keep outcomes.
	settleAfter = 20 * clock.Minute
	// probeEvery is how often an idle owner checks that it still holds its shard.
	probeEvery = clock.Second
	// sureFor is how long the last contact with the platform lets the owner
	// conclude that a key it does not know was never granted.
	sureFor = 3 * clock.Second
	// pauseAfter is the gap between events that shows that this process was
	// paused; a running owner is woken every probeEvery.
	pauseAfter = 2 * clock.Second

	retryAfterDownMs    = 2000
	retryAfterPendingMs = 500
)

type phase int

const (
	phaseIdle phase = iota
	phaseListing
	phaseReady
)

// waiter is a sending that waits for its claim or for an earlier one's outcome.
type waiter struct {
	ask   Ask
	asked clock.Millis
}

// Owner decides for one shard. It is not safe for concurrent use. Call
// NewOwner; set the exported fields before the first event.
type Owner struct {
	// WriteGap is the least average time between two writes of this shard. The
	// default of 50 ms holds all shards together at 160 writes/s; the claims' part
	// of the platform is 190 (core/process/limiter), snapshots take some.
	WriteGap clock.Millis
	// Burst is the number of writes that may follow each other at once, so that
	// at low rates a claim does not wait.
	Burst int

	shard  int
	writer uint64

	phase   phase
	index   *index
	waiting map[Key][]waiter
	order   []Key           // keys of waiting in order of arrival
	gone    map[uint64]bool // incarnations of entries that died

	next        uint64
	versions    [slots]uint64
	snapPos     uint64
	snapVersion uint64

	ticket  uint64
	number  uint64
	flight  flight
	open    []Key // pending claims, in order, not in the flight
	reports []Report
	oldest  clock.Millis // arrival of the oldest report

	tokens     clock.Millis // saved writing time, at most Burst gaps
	tokensAt   clock.Millis
	lastEvent  clock.Millis
	confirmed  clock.Millis
	failing    bool
	failedAt   clock.Millis
	unsure     bool
	retryAt    clock.Millis
	lastPruned clock.Millis
	lastSwept  clock.Millis
	out        []Action
	writes     uint64
}

// NewOwner returns the owner of a shard in the entry with this incarnation.
func NewOwner(shard int, incarnation uint64) *Owner {
	return &Owner{
		WriteGap: 50,
		Burst:    4,
		shard:    shard,
		writer:   incarnation,
		index:    newIndex(),
		waiting:  map[Key][]waiter{},
		gone:     map[uint64]bool{},
	}
}

// Writes returns the number of writes sent to the platform.
func (o *Owner) Writes() uint64 { return o.writes }

// Ready tells whether the shard is loaded.
func (o *Owner) Ready() bool { return o.phase == phaseReady }

// Handle applies an event that happened at now and returns what to do.
func (o *Owner) Handle(now clock.Millis, e Event) []Action {
	if o.lastEvent != 0 && now-o.lastEvent > pauseAfter {
		// Another entry may have taken over while this process was paused.
		o.unsure = true
	}
	o.lastEvent = now
	o.out = nil
	o.apply(now, e)
	o.pump(now)
	out := o.out
	o.out = nil
	return out
}

func (o *Owner) apply(now clock.Millis, e Event) {
	switch e := e.(type) {
	case Open:
		o.load(now)
	case Close:
		o.close()
	case Ask:
		o.ask(now, e)
	case Report:
		o.report(now, e)
	case Withdraw:
		o.withdraw(now, e)
	case AgentState:
		o.agentState(now, e)
	case EntryGone:
		o.entryGone(e)
	case Listed:
		o.listed(now, e)
	case Wrote:
		o.wrote(now, e)
	case Got:
		o.got(now, e)
	case Tick:
	}
}

// close gives the shard up when nothing is under way.
func (o *Owner) close() {
	if o.phase != phaseReady || o.flight.kind != flightNone || len(o.order) > 0 {
		return
	}
	if len(o.reports) > 0 && !o.failing {
		o.oldest -= outcomeLinger
		return
	}
	o.phase = phaseIdle
	o.index = newIndex()
	o.reports = nil
}

// pump does what is due, and asks to be woken for what is due later.
func (o *Owner) pump(now clock.Millis) {
	if o.phase == phaseIdle {
		return
	}
	o.refuseLate(now)
	o.resolve(now)
	o.sweep(now)
	o.callPlatform(now)
	o.out = append(o.out, Wake{o.wakeAt(now)})
}

func (o *Owner) wakeAt(now clock.Millis) clock.Millis {
	if len(o.open) > 0 && o.flight.kind == flightNone && !o.failing {
		return now + max(1, o.untilToken(now))
	}
	if o.flight.kind != flightNone && !o.flight.sent {
		return max(now+1, o.retryAt)
	}
	if len(o.waiting) > 0 || o.phase == phaseListing {
		return now + 50
	}
	return now + probeEvery/2
}

// ask handles a sending that wants a claim.
func (o *Owner) ask(now clock.Millis, a Ask) {
	if a.key.Shard() != o.shard {
		return
	}
	o.load(now)
	for i, w := range o.waiting[a.key] {
		if w.ask.ref == a.ref {
			// A repeat must not extend the patience of the first one.
			o.waiting[a.key][i].ask = a
			return
		}
	}
	w := waiter{a, now}
	if o.phase == phaseReady && o.decide(now, w) {
		return
	}
	if len(o.order) >= maxWaiting {
		o.refuse(a, outcome.Overloaded, o.notRunIfSure(now, a.key), retryAfterPendingMs)
		return
	}
	o.wait(w)
}

func (o *Owner) wait(w waiter) {
	o.waiting[w.ask.key] = append(o.waiting[w.ask.key], w)
	o.order = append(o.order, w.ask.key)
}

// decide replies to w if the reply is known. Otherwise w has to wait.
func (o *Owner) decide(now clock.Millis, w waiter) bool {
	a := w.ask
	if _, ran := o.index.ran[a.key]; ran {
		o.refuse(a, outcome.ClaimUnsettled, outcome.Unknown, 0)
		return true
	}
	r := o.index.live[a.key]
	if r == nil || r.state == NotRun {
		return o.claim(now, w)
	}
	if r.body != a.body {
		o.refuse(a, outcome.ClaimMismatch, outcome.NotRun, 0)
		return true
	}
	switch {
	case r.pending:
		return false
	case r.state == Running && r.ref == a.ref:
		o.reply(a, Granted{r.grant, r.upstream})
		return true
	case r.state == Running:
		return false
	case r.kept:
		o.reply(a, Stored{r.answer})
		return true
	}
	o.refuse(a, outcome.ClaimUnsettled, outcome.Unknown, 0)
	return true
}

// claim starts a new claim for w, or refuses it when none can become durable.
func (o *Owner) claim(now clock.Millis, w waiter) bool {
	a := w.ask
	if o.failing {
		o.refuse(a, outcome.PlatformDown, o.notRunIfSure(now, a.key), retryAfterDownMs)
		return true
	}
	if o.index.full() && now-o.lastPruned >= clock.Second {
		o.lastPruned = now
		o.index.prune(now)
	}
	if o.index.full() {
		o.refuse(a, outcome.Overloaded, o.notRunIfSure(now, a.key), retryAfterDownMs)
		return true
	}
	o.index.live[a.key] = &record{body: a.body, upstream: a.upstream, ref: a.ref, pending: true, state: Running, at: now}
	o.open = append(o.open, a.key)
	return false
}

// notRunIfSure returns NotRun when no sending of the key can have been granted,
// as far as this owner can know: the shard is loaded, the platform confirmed it
// shortly before it began to fail, and this process was not paused since.
func (o *Owner) notRunIfSure(now clock.Millis, k Key) outcome.Outcome {
	seen := now
	if o.failing {
		seen = o.failedAt
	}
	if o.phase != phaseReady || o.unsure || seen-o.confirmed > sureFor {
		return outcome.Unknown
	}
	if _, ran := o.index.ran[k]; ran {
		return outcome.Unknown
	}
	if r := o.index.live[k]; r != nil && !r.pending && r.state != NotRun {
		return outcome.Unknown
	}
	if len(o.waiting[k]) > 1 {
		// Another sending of the key may be granted before the caller reads this.
		return outcome.Unknown
	}
	return outcome.NotRun
}

// withdraw ends a sending whose grant the agent refused. While the shard is not
// loaded there is no reply, and the client asks again.
func (o *Owner) withdraw(now clock.Millis, e Withdraw) {
	if e.key.Shard() != o.shard {
		return
	}
	o.load(now)
	if o.phase != phaseReady {
		return
	}
	if o.index.settle(e.key, e.grant, NotRun, false, stored.Answer{}) {
		o.queueReport(now, Report{key: e.key, grant: e.grant, state: NotRun})
		o.release(now, e.key)
	}
	a := Ask{ref: e.ref, key: e.key}
	if r := o.index.live[e.key]; r != nil && r.kept {
		o.reply(a, Stored{r.answer})
		return
	}
	oc := o.notRunIfSure(now, e.key)
	if len(o.waiting[e.key]) > 0 {
		oc = outcome.Unknown
	}
	o.refuse(a, e.code, oc, e.retryAfter)
}

// report handles what the entry that held a grant says.
func (o *Owner) report(now clock.Millis, r Report) {
	if o.phase != phaseReady {
		o.queueReport(now, r)
		return
	}
	if r.state == Unknown {
		// The agent may know more than the entry that lost contact with it.
		o.index.orphan(r.key, r.grant)
		return
	}
	if o.index.settle(r.key, r.grant, r.state, true, r.answer) {
		o.queueReport(now, r)
		o.release(now, r.key)
	}
}

func (o *Owner) queueReport(now clock.Millis, r Report) {
	if len(o.reports) >= maxReports {
		return
	}
	if len(o.reports) == 0 {
		o.oldest = now
	}
	o.reports = append(o.reports, r)
}

// agentState handles the answer of the agent that a claim names.
func (o *Owner) agentState(now clock.Millis, e AgentState) {
	r := o.index.live[e.key]
	if o.phase != phaseReady || r == nil || r.pending || r.grant != e.grant || r.state != Running {
		return
	}
	r.queryAt = now + queryEvery
	s := e.state
	if !e.reached {
		if now-r.at < settleAfter {
			return
		}
		s = Unknown
	}
	if e.reached && e.incarnation != r.upstream.incarnation && (s == Never || s == NotRun) {
		// A new process of the agent cannot know what the old one ran.
		s = Unknown
	}
	if s == Running {
		return
	}
	if s == Never {
		s = NotRun
	}
	settled := Report{e.key, e.grant, s, e.answer}
	if o.index.settle(e.key, e.grant, s, e.kept, e.answer) {
		o.queueReport(now, settled)
		o.release(now, e.key)
	}
}

func (o *Owner) entryGone(e EntryGone) {
	if len(o.gone) >= maxGone {
		clear(o.gone)
	}
	o.gone[e.entry] = true
}

// release decides again for all sendings that wait for a key.
func (o *Owner) release(now clock.Millis, k Key) {
	waiters := o.waiting[k]
	delete(o.waiting, k)
	o.dropOrder(k)
	for _, w := range waiters {
		if !o.decide(now, w) {
			o.wait(w)
		}
	}
}

func (o *Owner) dropOrder(k Key) {
	kept := o.order[:0]
	for _, other := range o.order {
		if other != k {
			kept = append(kept, other)
		}
	}
	o.order = kept
}

// refuseLate refuses the sendings that waited long enough.
func (o *Owner) refuseLate(now clock.Millis) {
	for _, k := range o.distinctWaiting() {
		var kept []waiter
		for _, w := range o.waiting[k] {
			if !o.late(now, k, w) {
				kept = append(kept, w)
			}
		}
		if len(kept) == len(o.waiting[k]) {
			continue
		}
		o.dropOrder(k)
		delete(o.waiting, k)
		for _, w := range kept {
			o.wait(w)
		}
	}
}

// distinctWaiting returns the waiting keys in order of arrival, each once.
func (o *Owner) distinctWaiting() []Key {
	seen := make(map[Key]bool, len(o.waiting))
	var keys []Key
	for _, k := range o.order {
		if !seen[k] {
			seen[k] = true
			keys = append(keys, k)
		}
	}
	return keys
}

// late refuses w if its time is over and reports whether it did.
func (o *Owner) late(now clock.Millis, k Key, w waiter) bool {
	r := o.index.live[k]
	undurable := o.phase != phaseReady || r == nil || r.pending
	switch {
	case undurable && now >= w.ask.deadline:
		o.refuse(w.ask, outcome.DeadlineExceeded, o.notRunIfSure(now, k), 0)
	case undurable && now-w.asked >= platformPatience:
		o.refuse(w.ask, outcome.PlatformDown, o.notRunIfSure(now, k), retryAfterDownMs)
	case !undurable && now >= w.ask.deadline:
		o.refuse(w.ask, outcome.ClaimPending, outcome.Unknown, retryAfterPendingMs)
	default:
		return false
	}
	return true
}

// resolve queries the agents of claims that somebody waits for.
func (o *Owner) resolve(now clock.Millis) {
	if o.phase != phaseReady {
		return
	}
	for _, k := range o.distinctWaiting() {
		r := o.index.live[k]
		if r == nil || r.pending || r.state != Running {
			continue
		}
		due := r.queryAt
		if due == 0 && !r.orphan && !o.gone[r.ref.entry] {
			due = o.waiting[k][0].asked + resolveAfter
		}
		if now < due {
			continue
		}
		r.queryAt = now + queryTimeout
		o.out = append(o.out, Query{k, r.grant, r.upstream})
	}
}

// sweep queries the agents of old claims that nobody waits for.
func (o *Owner) sweep(now clock.Millis) {
	if o.phase != phaseReady || now-o.lastSwept < sweepEvery {
		return
	}
	o.lastSwept = now
	stale := o.index.stale(now, o.waiting)
	for _, k := range stale[:min(len(stale), sweepQueries)] {
		r := o.index.live[k]
		r.sweepAt = now + sweepAgain
		o.out = append(o.out, Query{k, r.grant, r.upstream})
	}
}

func (o *Owner) reply(a Ask, r Reply) {
	o.out = append(o.out, Answered{a.ref, a.key, r})
}

func (o *Owner) refuse(a Ask, c outcome.Code, oc outcome.Outcome, retryAfterMs int64) {
	o.reply(a, Refused{outcome.Refuse(c, oc, retryAfterMs)})
}

// prefix is the common beginning of the names of a shard's objects.
func prefix(shard int) string { return fmt.Sprintf("shard.%d.", shard) }

func slotName(shard int, position uint64) string {
	return fmt.Sprintf("%slog.%03d", prefix(shard), position%slots)
}

func snapshotName(shard int) string { return prefix(shard) + "snapshot" }

func isSnapshot(name string) bool { return strings.HasSuffix(name, ".snapshot") }
