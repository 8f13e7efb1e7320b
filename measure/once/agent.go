package once

import (
	"fmt"
	"maps"
	"slices"

	agentclaim "goldcrestshore/agent/request/claim"
	agentsuspect "goldcrestshore/agent/request/suspect"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
	"goldcrestshore/entry/request/suspect"
)

const (
	upstreamRestartDelay = clock.Second
	agentRestartDelay    = clock.Second
	// heartbeatInterval is the interval between heartbeats of an agent to each entry.
	heartbeatInterval = 250 * clock.Millis(1)
	// noticeDuration is how long heartbeats repeat the notice of a crash.
	noticeDuration = 5 * clock.Second
	// refusedPercent is the share of submits that admission refuses.
	refusedPercent = 4
)

// execution is one run of a request, as recorded in the ledger of the plain
// services.
type execution struct {
	callerAttempt int
	key           string
	body          string
	upstream      string
	at            clock.Millis
}

// job is a request submitted to an agent.
type job struct {
	id            uint64 // request ID on the wire, unique per attempt of an entry
	callerAttempt int
	key           string // the caller's idempotency key, only recorded in the ledger
	body          string
	crashes       bool
	claimKey      string
	print         suspect.Fingerprint
	suspect       bool
}

// agentReply is the reply of an agent to a submit.
type agentReply struct {
	failure     int
	response    string
	superseded  bool
	upstream    string // the crashed upstream, if any
	incarnation uint64 // its incarnation
}

// Values of agentReply.failure.
const (
	completed = iota
	refusedNotRun
	refusedUnknown
	upstreamFailed
)

// agent is a fake agent around the real claim table, together with its upstream.
type agent struct {
	process
	world    *world
	number   uint64 // incarnation
	table    *agentclaim.Table
	gate     *agentsuspect.Gate
	requests map[uint64]*requestRecord
	draining bool

	upstreamIncarnation int
	upstreamUp          bool
	inFlight            int
	notice              crashNotice
}

// crashNotice describes the last crash of the upstream. Heartbeats repeat it until
// a deadline, so that entries receive it even if a frame is late or lost.
type crashNotice struct {
	incarnation  uint64
	fingerprints []suspect.Fingerprint
	until        clock.Millis
}

// requestRecord is the state that the agent keeps per request ID.
type requestRecord struct {
	job    job
	reply  func(agentReply)
	result *agentReply
	gone   bool // reported as unknown to an entry, so it must not run later
}

func (a *agent) boot() {
	a.start()
	a.notice = crashNotice{}
	a.scheduleHeartbeats()
	a.number++
	a.table = agentclaim.New()
	a.gate = &agentsuspect.Gate{}
	a.requests = map[uint64]*requestRecord{}
	a.draining = false
}

func (a *agent) scheduleHeartbeats() {
	a.later(heartbeatInterval, func() {
		a.sendHeartbeat()
		a.scheduleHeartbeats()
	})
}

// sendHeartbeat sends a heartbeat to all entries, with the notice of a recent crash.
func (a *agent) sendHeartbeat() {
	n := a.notice
	for _, e := range a.world.entries {
		a.world.network.send(&a.process, &e.process, func() {
			e.tracker.Handle(e.engine.now, suspect.HeartbeatReceived{})
			if a.engine.now < n.until {
				e.upstreamCrashed(a.name, n.incarnation, n.fingerprints)
			}
		})
	}
}

// submit handles a submit frame. The reply is sent through reply.
func (a *agent) submit(j job, reply func(agentReply)) {
	if a.requests[j.id] != nil {
		return // a duplicate frame, or one that arrived after Gone was sent
	}
	h := &requestRecord{job: j, reply: reply}
	a.requests[j.id] = h
	if j.claimKey != "" {
		if r, refused := a.table.Handle(a.engine.now, agentclaim.NewSubmitted(j.claimKey)).(agentclaim.Refuse); refused {
			failure := refusedUnknown
			if r.NotRun() {
				failure = refusedNotRun
			}
			a.resolve(h, agentReply{failure: failure, superseded: r.Superseded()})
			return
		}
	}
	if a.draining || !a.upstreamUp || a.engine.chance(refusedPercent) || a.blocks(j) {
		a.tableEvent(j, agentclaim.NewRejected(j.claimKey))
		a.resolve(h, agentReply{failure: refusedNotRun})
		return
	}
	a.execute(h)
}

// blocks reports whether the job must not run because of an earlier crash.
func (a *agent) blocks(j job) bool {
	_, blocked := a.gate.Handle(a.engine.now, agentsuspect.NewSubmitted(j.print, j.suspect)).(agentsuspect.Refuse)
	return blocked
}

func (a *agent) tableEvent(j job, e agentclaim.Event) {
	if j.claimKey != "" {
		a.table.Handle(a.engine.now, e)
	}
}

// execute runs the job at the upstream, which keeps running if the agent terminates.
func (a *agent) execute(h *requestRecord) {
	j := h.job
	w := a.world
	w.ledger = append(w.ledger, execution{j.callerAttempt, j.key, j.body, a.name, a.engine.now})
	number := len(w.ledger)
	incarnation := a.upstreamIncarnation
	a.inFlight++
	if j.crashes {
		a.engine.after(a.engine.between(5, 30), func() {
			if a.upstreamIncarnation == incarnation && a.upstreamUp {
				w.upstreamsLost[j.print] = append(w.upstreamsLost[j.print], a.name)
				a.crashUpstream()
			}
		})
		return
	}
	a.later(a.engine.between(5, 400), func() {
		if a.upstreamIncarnation != incarnation || !a.upstreamUp || h.result != nil {
			return
		}
		a.inFlight--
		a.gate.Handle(a.engine.now, agentsuspect.NewEnded(j.print))
		body := fmt.Sprintf("%s#%d", j.body, number)
		a.tableEvent(j, agentclaim.NewFinished(j.claimKey, stored.New(200, nil, []byte(body))))
		a.resolve(h, agentReply{failure: completed, response: body})
	})
}

func (a *agent) resolve(h *requestRecord, v agentReply) {
	h.result = &v
	h.reply(v)
}

// crashUpstream terminates the upstream with all requests in flight, notifies the
// entries and restarts the upstream after a delay.
func (a *agent) crashUpstream() {
	if !a.upstreamUp {
		return
	}
	a.upstreamUp = false
	incarnation := a.upstreamIncarnation
	a.inFlight = 0
	var fingerprints []suspect.Fingerprint
	var failed []*requestRecord
	for _, id := range sortedIDs(a.requests) {
		h := a.requests[id]
		if h.result == nil && !h.gone {
			fingerprints = append(fingerprints, h.job.print)
			failed = append(failed, h)
		}
	}
	a.gate.Handle(a.engine.now, agentsuspect.NewCrashed(fingerprints))
	a.notice = crashNotice{uint64(incarnation), fingerprints, a.engine.now + noticeDuration}
	if a.alive {
		a.sendHeartbeat()
	}
	for _, h := range failed {
		a.tableEvent(h.job, agentclaim.NewFailed(h.job.claimKey))
		a.resolve(h, agentReply{failure: upstreamFailed, upstream: a.name, incarnation: uint64(incarnation)})
	}
	a.engine.after(upstreamRestartDelay, func() {
		a.upstreamIncarnation++
		a.upstreamUp = true
	})
}

// resume continues a request whose entry lost the connection. If the agent has no
// record of the request, it calls gone and will not run the request later.
func (a *agent) resume(id uint64, reply func(agentReply), gone func()) {
	h := a.requests[id]
	switch {
	case h == nil:
		a.requests[id] = &requestRecord{gone: true}
		gone()
	case h.gone:
		gone()
	default:
		h.reply = reply
		if h.result != nil {
			reply(*h.result)
		}
	}
}

// query handles a claimQuery frame.
func (a *agent) query(q claim.Query) claim.AgentState {
	reply := a.table.Handle(a.engine.now, agentclaim.NewQueried(q.Grant().String())).(agentclaim.StateReply)
	response := stored.New(reply.Response().Status(), nil, reply.Response().Body())
	return claim.NewAgentState(q, a.number, claim.ParseState(string(reply.State())), reply.Response().Status() != 0, response)
}

// kill terminates and later restarts the agent, while its upstream keeps running.
func (a *agent) kill() {
	if !a.alive {
		return
	}
	records, number := a.requests, a.number
	a.terminate()
	for _, e := range a.world.entries {
		a.engine.after(a.engine.between(1, 60), func() { e.agentTerminated(a.name, number, records) })
	}
	a.engine.after(agentRestartDelay, a.boot)
}

// stop drains the agent, which refuses new requests and completes those in flight,
// and restarts it.
func (a *agent) stop() {
	a.draining = true
	a.engine.after(2*clock.Second, func() {
		if a.alive && a.draining {
			a.boot()
		}
	})
}

// refusal returns the refusal code of a failed attempt and whether it is certain
// that the attempt did not run.
func (v agentReply) refusal() (outcome.Code, bool) {
	switch v.failure {
	case refusedNotRun:
		return outcome.Overloaded, true
	case refusedUnknown:
		return outcome.ClaimUnresolved, false
	}
	return outcome.UpstreamFailed, false
}

func sortedIDs(m map[uint64]*requestRecord) []uint64 { return slices.Sorted(maps.Keys(m)) }
