package once

import (
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/suspect"
)

const (
	entryRestartDelay = 2 * clock.Second
	// listLag is the maximum delay until the platform removes an entry from its list.
	listLag = 1500 * clock.Millis(1)
	// connectionOutage is the duration of an injected connection outage, and the
	// time after which an entry resumes an open attempt.
	connectionOutage = 2 * clock.Second
	// queryTimeout is the timeout of an owner's query to an agent.
	queryTimeout = 1500 * clock.Millis(1)
)

// pendingRequest is one attempt of a caller at the entry that received it.
type pendingRequest struct {
	call          *call
	callerAttempt int
	request       retry.Request
	print         suspect.Fingerprint
	deadline      clock.Millis
	upstream      string
	suspect       bool
	attemptID     uint64 // request ID of the current attempt at an agent, 0 for none
	number        uint64
	done          bool
}

// entry is a fake entry process around the real decision packages.
type entry struct {
	process
	world       *world
	incarnation uint64
	liveEntries []string
	client      *claim.Client
	owners      [claim.Shards]*claim.Owner
	wakeTimes   [claim.Shards]clock.Millis
	budget      *retry.Budget
	tracker     *suspect.Tracker
	pending     map[uint64]*pendingRequest
	lastNumber  uint64
	stopping    bool
	decidedAt   clock.Millis // when the owner decided the reply being handled, 0 for none
}

func (e *entry) ownerOf(shard int) string {
	owners := rendezvous.Top("claim shard "+string(rune('0'+shard)), e.liveEntries, 1)
	if len(owners) == 0 {
		return e.name
	}
	return owners[0]
}

// accept starts to process an attempt of a caller.
func (e *entry) accept(c *call, callerAttempt int) {
	e.lastNumber++
	w := &pendingRequest{
		call:          c,
		callerAttempt: callerAttempt,
		number:        e.lastNumber,
		request:       retry.NewRequest(c.idempotent),
		print:         fingerprint.Of(c.customer, []byte(c.body)),
		deadline:      e.engine.now + c.timeout,
	}
	e.pending[w.number] = w
	e.budget.Handle(retry.FirstAttempt{})
	e.attempt(w)
}

// attempt chooses an upstream and submits w to its agent. A keyed request acquires
// a claim first.
func (e *entry) attempt(w *pendingRequest) {
	names := e.world.upstreamNames()
	w.suspect = false
	switch a := e.tracker.Handle(e.engine.now, suspect.NewArrived(w.print, names))[0].(type) {
	case suspect.Refuse:
		e.abandon(w, e.refusalOf(w, a.Refusal()))
		return
	case suspect.Isolate:
		w.upstream = a.Upstream()
		w.suspect = true
	case suspect.Wait:
		e.later(50, func() {
			if !w.done {
				e.attempt(w)
			}
		})
		return
	default:
		w.upstream = names[e.engine.rng.IntN(len(names))]
	}
	target := e.world.agents[w.upstream]
	if w.call.key == "" {
		e.submit(w, "")
		return
	}
	e.clientEvent(claim.NewBegin(w.number, claim.KeyOf(w.call.customer, w.call.key),
		claim.HashRequest("POST", "/", []byte(w.call.body)), claim.NewUpstream(w.upstream, target.number), w.deadline))
}

// refusalOf returns r with the outcome "unknown" if an earlier attempt of w may
// have run.
func (e *entry) refusalOf(w *pendingRequest, r *outcome.Refusal) *outcome.Refusal {
	if !w.request.MayHaveRun() {
		return r
	}
	return outcome.Refuse(r.Code(), outcome.Unknown, r.RetryAfterMs())
}

// submit sends the request to the agent.
func (e *entry) submit(w *pendingRequest, claimKey string) {
	e.world.attempts++
	id := e.world.attempts
	w.attemptID = id
	e.tracker.Handle(e.engine.now, suspect.NewSent(id, w.print, w.upstream))
	a := e.world.agents[w.upstream]
	j := job{id, w.callerAttempt, w.call.key, w.call.body, w.call.crashes, claimKey, w.print, w.suspect}
	generation := a.generation
	if !a.alive {
		// The dial failed, so nothing was sent.
		e.later(1, func() { e.attemptEnded(w, id, retry.LostBeforeSubmit, outcome.NoUpstream, false) })
		return
	}
	reply := func(v agentReply) {
		e.world.network.send(&a.process, &e.process, func() { e.agentReply(w, id, v) })
	}
	e.world.network.send(&e.process, &a.process, func() { a.submit(j, reply) })
	e.watch(w, id, a, generation, reply)
}

// watch resumes an open attempt after a connection outage, or ends it if the agent
// has restarted.
func (e *entry) watch(w *pendingRequest, id uint64, a *agent, generation int, reply func(agentReply)) {
	e.later(connectionOutage+e.engine.between(1, 100), func() {
		if w.attemptID != id || w.done {
			return
		}
		if !a.alive || a.generation != generation {
			e.attemptEnded(w, id, retry.LostAfterSubmit, outcome.ConnectionLost, false)
			return
		}
		notRun := func() {
			e.world.network.send(&a.process, &e.process, func() { e.attemptEnded(w, id, retry.RefusedNotRun, outcome.ConnectionLost, false) })
		}
		e.world.network.send(&e.process, &a.process, func() { a.resume(id, reply, notRun) })
		e.watch(w, id, a, generation, reply)
	})
}

// agentReply handles the agent's reply to an attempt.
func (e *entry) agentReply(w *pendingRequest, id uint64, v agentReply) {
	if w.attemptID != id || w.done {
		return
	}
	if v.failure == completed {
		e.suspectActions(e.tracker.Handle(e.engine.now, suspect.NewCompleted(id)))
		if w.call.key != "" {
			e.clientEvent(claim.NewFinished(w.number, stored.New(200, nil, []byte(v.response))))
		}
		e.deliver(w, v.response)
		return
	}
	if v.failure == upstreamFailed {
		// Record the crash before the attempt ends. Otherwise a retry would run
		// without the restrictions on suspects.
		e.upstreamCrashed(v.upstream, v.incarnation, []suspect.Fingerprint{w.print})
	}
	code, notRun := v.refusal()
	switch {
	case notRun:
		e.attemptEnded(w, id, retry.RefusedNotRun, code, v.superseded)
	case v.failure == refusedUnknown:
		e.attemptEnded(w, id, retry.RefusedUnknown, code, false)
	default:
		e.attemptEnded(w, id, retry.FailedBeforeBytes, code, false)
	}
}

// attemptEnded handles an attempt that ended without a response.
func (e *entry) attemptEnded(w *pendingRequest, id uint64, f retry.Failure, code outcome.Code, superseded bool) {
	if w.attemptID != id || w.done {
		return
	}
	w.attemptID = 0
	e.tracker.Handle(e.engine.now, suspect.NewEnded(id))
	if e.world.retryWithoutClaim && f != retry.RefusedNotRun && f != retry.LostBeforeSubmit {
		// Violates the at-most-once rule: retries after dispatch without a claim.
		e.attemptUnclaimed(w)
		return
	}
	if w.call.key != "" && superseded {
		e.clientEvent(claim.NewAgentRefused(w.number, true))
		return
	}
	if w.call.key != "" && f != retry.RefusedNotRun && f != retry.LostBeforeSubmit {
		e.clientEvent(claim.NewOutcomeUnknown(w.number))
		return
	}
	if w.call.key != "" {
		e.clientEvent(claim.NewAgentRefused(w.number, false))
	}
	e.retryOrAbandon(w, f, code)
}

// retryOrAbandon retries w if the retry budget allows it.
func (e *entry) retryOrAbandon(w *pendingRequest, f retry.Failure, code outcome.Code) {
	switch a := e.budget.Handle(retry.NewFailed(w.request, f, code, 100, w.deadline-e.engine.now)).(type) {
	case retry.Retry:
		w.request = a.Request()
		e.attempt(w)
	case retry.Abandon:
		e.abandon(w, a.Refusal())
	}
}

// abandon refuses w. The claim client first checks the refusal of a keyed request.
func (e *entry) abandon(w *pendingRequest, r *outcome.Refusal) {
	if w.call.key != "" {
		e.clientEvent(claim.NewAbandoned(w.number, claim.KeyOf(w.call.customer, w.call.key), r))
		return
	}
	e.refuse(w, r)
}

func (e *entry) attemptUnclaimed(w *pendingRequest) {
	names := e.world.upstreamNames()
	w.upstream = names[e.engine.rng.IntN(len(names))]
	e.submit(w, "")
}

// agentTerminated ends the open attempts at an agent whose connection broke because
// it terminated.
func (e *entry) agentTerminated(name string, incarnation uint64, records map[uint64]*requestRecord) {
	if !e.alive || e.paused {
		return // watch detects the restart of the agent
	}
	// A request may have crashed the whole instance, including its agent.
	e.upstreamCrashed(name+" agent", incarnation, e.tracker.InFlight(name))
	for _, n := range slices.Sorted(maps.Keys(e.pending)) {
		w := e.pending[n]
		if w.upstream == name && w.attemptID != 0 && records[w.attemptID] != nil {
			e.attemptEnded(w, w.attemptID, retry.LostAfterSubmit, outcome.ConnectionLost, false)
		}
	}
}

func (e *entry) upstreamCrashed(name string, incarnation uint64, fingerprints []suspect.Fingerprint) {
	e.suspectActions(e.tracker.Handle(e.engine.now, suspect.NewCrashed(name, incarnation, fingerprints)))
}

func (e *entry) suspectActions(actions []suspect.Action) {
	for _, a := range actions {
		if _, ok := a.(suspect.Announce); ok {
			e.sendVerdicts()
		}
	}
}

func (e *entry) deliver(w *pendingRequest, response string) {
	e.finish(w, func(c *call, callerAttempt int) { c.receiveResponse(callerAttempt, response) })
}

func (e *entry) refuse(w *pendingRequest, r *outcome.Refusal) {
	at := e.engine.now
	if e.decidedAt != 0 {
		at = e.decidedAt
	}
	e.finish(w, func(c *call, callerAttempt int) { c.receiveRefusal(callerAttempt, r, at) })
}

func (e *entry) finish(w *pendingRequest, notify func(*call, int)) {
	if w.done {
		return
	}
	w.done = true
	delete(e.pending, w.number)
	e.engine.after(e.engine.between(1, 3), func() { notify(w.call, w.callerAttempt) })
}
