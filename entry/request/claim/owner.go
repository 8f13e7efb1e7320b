package claim

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

const (
	// slots is the number of objects that a shard's log cycles through.
	// Position p is stored in slot p modulo slots. Deleting the positions that
	// a snapshot covers instead would double the writes and would let a paused
	// owner create a deleted position again.
	slots = 512
	// snapshotInterval is the number of positions between snapshots. It leaves
	// half of the slots for appends while the platform refuses the snapshot.
	snapshotInterval = slots / 2
	// maxBatchClaims and maxBatchOutcomes keep a batch well below the
	// platform's limit of 1 MB: a record takes about 80 bytes and an outcome at
	// most stored.MaxResponseBytes.
	maxBatchClaims   = 1000
	maxBatchOutcomes = 100
	// maxWaiting bounds the attempts that wait in one shard.
	maxWaiting = 4096
	// maxTerminated bounds the terminated entries that are tracked; evicting
	// one only delays a query by reportTimeout.
	maxTerminated = 1024
	// maxReports bounds the outcomes that wait to be appended. A dropped
	// outcome is queried from the agent when it is needed.
	maxReports = 4096

	// outcomeBatchDelay is how long outcomes wait for a batch with claims. At
	// one request/s over eight shards, the next claim of a shard follows after
	// 8 s; until then a new owner can query the agent, which keeps outcomes for
	// 15 minutes.
	outcomeBatchDelay = 10 * clock.Second
	// durabilityTimeout is how long a caller waits for its record to be
	// durable.
	durabilityTimeout = 2 * clock.Second
	// platformRetryInterval is the interval between calls while the platform
	// fails.
	platformRetryInterval = 250 * clock.Millis(1)
	// reportTimeout is how long the owner waits for a report before it queries
	// the agent on behalf of a caller that sent its key again.
	reportTimeout = 300 * clock.Millis(1)
	// queryInterval is the interval between queries for one record.
	queryInterval = 300 * clock.Millis(1)
	// queryTimeout is the interval after a query that receives no reply.
	queryTimeout = 2 * clock.Second
	// reconcileAge is the age at which the agent of a record without an outcome
	// is queried although no caller waits; otherwise disconnected callers and
	// lost reports would fill the shard. An orphan is queried earlier, at
	// reconcileOrphanAge.
	reconcileAge       = clock.Minute
	reconcileOrphanAge = 5 * clock.Second
	// reconcileInterval is the interval between reconciliations of a shard,
	// reconcileQueryInterval the one between queries for one record;
	// maxReconcileQueries bounds the queries of a reconciliation.
	reconcileInterval      = clock.Second
	reconcileQueryInterval = 30 * clock.Second
	maxReconcileQueries    = 8
	// unreachableMaxAge is the age at which a record whose agent is unreachable
	// is resolved as Unknown. It exceeds the time for which agents keep
	// outcomes.
	unreachableMaxAge = 20 * clock.Minute
	// probeInterval is the interval at which an idle owner checks that it still
	// owns its shard.
	probeInterval = clock.Second
	// confirmationMaxAge is how long after the last confirmation by the
	// platform the owner may conclude that a key without a record was never
	// granted.
	confirmationMaxAge = 3 * clock.Second
	// pauseThreshold is the gap between events from which the owner concludes
	// that this process was paused; a running owner receives a Tick at least
	// every probeInterval.
	pauseThreshold = 2 * clock.Second

	retryAfterDownMs    = 2000
	retryAfterPendingMs = 500
)

type phase int

const (
	phaseIdle phase = iota
	phaseListing
	phaseReady
)

// Owner decides for one shard. It is not safe for concurrent use. Create one
// with NewOwner and set the exported fields before the first event.
type Owner struct {
	// WriteInterval is the minimum average interval between two writes of this
	// shard. The default of 50 ms limits all shards together to 160 writes/s;
	// the claims' share of the platform's rate is 175 writes/s
	// (core/process/limiter), of which snapshots take a part.
	WriteInterval clock.Millis
	// Burst is the number of writes that may follow each other without a delay,
	// so that a claim does not wait at low rates.
	Burst int

	shard  int
	writer uint64

	phase        phase
	index        *index
	waiting      map[Key][]waiter
	waitingOrder []Key           // keys of waiting, in order of arrival
	terminated   map[uint64]bool // terminated incarnations of entries

	nextPosition     uint64
	versions         [slots]uint64
	snapshotPosition uint64
	snapshotVersion  uint64

	callID         uint64
	writeNumber    uint64
	call           call
	unwritten      []Key // keys of pending records that are not in a write yet, in order
	reports        []Report
	oldestReportAt clock.Millis // arrival of the oldest report

	tokens             clock.Millis // saved time for writes, at most Burst times WriteInterval
	tokensUpdatedAt    clock.Millis
	lastEventAt        clock.Millis
	confirmedAt        clock.Millis
	platformFailing    bool
	failingSince       clock.Millis
	ownershipUncertain bool
	retryAt            clock.Millis
	lastPrunedAt       clock.Millis
	lastReconciledAt   clock.Millis
	actions            []Action
	writes             uint64
}

// NewOwner returns the owner of a shard in the given incarnation of the entry.
func NewOwner(shard int, incarnation uint64) *Owner {
	return &Owner{
		WriteInterval: 50,
		Burst:         4,
		shard:         shard,
		writer:        incarnation,
		index:         newIndex(),
		waiting:       map[Key][]waiter{},
		terminated:    map[uint64]bool{},
	}
}

// Writes returns the number of writes sent to the platform.
func (o *Owner) Writes() uint64 { return o.writes }

// Ready reports whether the shard is loaded.
func (o *Owner) Ready() bool { return o.phase == phaseReady }

// Handle applies an event that occurred at now and returns the resulting
// actions.
func (o *Owner) Handle(now clock.Millis, e Event) []Action {
	if o.lastEventAt != 0 && now-o.lastEventAt > pauseThreshold {
		// Another entry may have taken over while this process was paused.
		o.ownershipUncertain = true
	}
	o.lastEventAt = now
	o.actions = nil
	o.dispatch(now, e)
	o.runDue(now)
	actions := o.actions
	o.actions = nil
	return actions
}

func (o *Owner) dispatch(now clock.Millis, e Event) {
	switch e := e.(type) {
	case Open:
		o.load(now)
	case Close:
		o.close()
	case Acquire:
		o.acquire(now, e)
	case Report:
		o.handleReport(now, e)
	case Withdraw:
		o.handleWithdraw(now, e)
	case AgentState:
		o.handleAgentState(now, e)
	case EntryTerminated:
		o.handleEntryTerminated(e)
	case ListResult:
		o.handleList(now, e)
	case WriteResult:
		o.handleWrite(now, e)
	case ReadResult:
		o.handleRead(now, e)
	case Tick:
	}
}

// close releases the shard if no call is outstanding and no attempt waits.
// Pending outcomes are written first, unless the platform is failing.
func (o *Owner) close() {
	if o.phase != phaseReady || o.call.kind != callNone || len(o.waitingOrder) > 0 {
		return
	}
	if len(o.reports) > 0 && !o.platformFailing {
		o.oldestReportAt -= outcomeBatchDelay
		return
	}
	o.phase = phaseIdle
	o.index = newIndex()
	o.reports = nil
}

// runDue performs the work that is due and schedules the next Tick.
func (o *Owner) runDue(now clock.Millis) {
	if o.phase == phaseIdle {
		return
	}
	o.refuseExpired(now)
	o.queryAwaited(now)
	o.reconcile(now)
	o.sendDueCall(now)
	o.actions = append(o.actions, Wake{o.nextWake(now)})
}

func (o *Owner) nextWake(now clock.Millis) clock.Millis {
	if len(o.unwritten) > 0 && o.call.kind == callNone && !o.platformFailing {
		return now + max(1, o.tokenDelay(now))
	}
	if o.call.kind != callNone && !o.call.sent {
		return max(now+1, o.retryAt)
	}
	if len(o.waiting) > 0 || o.phase == phaseListing {
		return now + 50
	}
	return now + probeInterval/2
}

// handleWithdraw refuses an attempt whose grant the agent refused. It sends no
// reply while the shard is not loaded; the client repeats the request.
func (o *Owner) handleWithdraw(now clock.Millis, e Withdraw) {
	if e.key.Shard() != o.shard {
		return
	}
	o.load(now)
	if o.phase != phaseReady {
		return
	}
	if o.index.resolve(e.key, e.grant, NotRun, false, stored.Response{}) {
		o.queueReport(now, Report{key: e.key, grant: e.grant, state: NotRun})
		o.decideWaiters(now, e.key)
	}
	a := Acquire{attempt: e.attempt, key: e.key}
	if r := o.index.live[e.key]; r != nil && r.hasResponse {
		o.reply(a, Stored{r.response})
		return
	}
	oc := o.refusalOutcome(now, e.key)
	if len(o.waiting[e.key]) > 0 {
		oc = outcome.Unknown
	}
	o.refuse(a, e.code, oc, e.retryAfterMs)
}

// handleReport handles a report of the entry that held a grant.
func (o *Owner) handleReport(now clock.Millis, r Report) {
	if o.phase != phaseReady {
		o.queueReport(now, r)
		return
	}
	if r.state == Unknown {
		// The agent may have the outcome that the entry lost.
		o.index.orphan(r.key, r.grant)
		return
	}
	if o.index.resolve(r.key, r.grant, r.state, true, r.response) {
		o.queueReport(now, r)
		o.decideWaiters(now, r.key)
	}
}

func (o *Owner) queueReport(now clock.Millis, r Report) {
	if len(o.reports) >= maxReports {
		return
	}
	if len(o.reports) == 0 {
		o.oldestReportAt = now
	}
	o.reports = append(o.reports, r)
}

// handleAgentState handles the result of a query.
func (o *Owner) handleAgentState(now clock.Millis, e AgentState) {
	r := o.index.live[e.key]
	if o.phase != phaseReady || r == nil || r.pending || r.grant != e.grant || r.state != Running {
		return
	}
	r.nextQueryAt = now + queryInterval
	s := e.state
	if !e.reachable {
		if now-r.claimedAt < unreachableMaxAge {
			return
		}
		s = Unknown
	}
	if e.reachable && e.incarnation != r.upstream.incarnation && (s == NeverReceived || s == NotRun) {
		// A restarted agent cannot tell what its predecessor ran.
		s = Unknown
	}
	if s == Running {
		return
	}
	if s == NeverReceived {
		s = NotRun
	}
	resolved := Report{e.key, e.grant, s, e.response}
	if o.index.resolve(e.key, e.grant, s, e.hasResponse, e.response) {
		o.queueReport(now, resolved)
		o.decideWaiters(now, e.key)
	}
}

func (o *Owner) handleEntryTerminated(e EntryTerminated) {
	if len(o.terminated) >= maxTerminated {
		clear(o.terminated)
	}
	o.terminated[e.entry] = true
}

// reconcile queries the agents of old unresolved records that no attempt waits
// for.
func (o *Owner) reconcile(now clock.Millis) {
	if o.phase != phaseReady || now-o.lastReconciledAt < reconcileInterval {
		return
	}
	o.lastReconciledAt = now
	unresolved := o.index.unresolved(now, o.waiting)
	for _, k := range unresolved[:min(len(unresolved), maxReconcileQueries)] {
		r := o.index.live[k]
		r.nextReconcileAt = now + reconcileQueryInterval
		o.actions = append(o.actions, Query{k, r.grant, r.upstream})
	}
}

func (o *Owner) reply(a Acquire, r Reply) {
	o.actions = append(o.actions, OwnerReply{a.attempt, a.key, r})
}

func (o *Owner) refuse(a Acquire, c outcome.Code, oc outcome.Outcome, retryAfterMs int64) {
	o.reply(a, Refused{outcome.Refuse(c, oc, retryAfterMs)})
}
