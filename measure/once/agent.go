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
	// heartbeatInterval is the interval from agent to entry.
	heartbeatInterval = 250 * clock.Millis(1)
	// noticeDuration is how long heartbeats repeat a crash.
	noticeDuration = 5 * clock.Second
	// refusedPercent is the share of submits that admission refuses.
	refusedPercent = 4
)

// execution is one run of a request, as the plain service's ledger lists it.
type execution struct {
	callerAttempt int
	key           string
	body          string
	upstream      string
	at            clock.Millis
}

// job is one submitted request.
type job struct {
	id            uint64 // request id on the wire, used once per attempt
	callerAttempt int
	key           string // the caller's key, for the ledger only
	body          string
	crashes       bool
	claimKey      string
	print         suspect.Fingerprint
	suspect       bool
}

// agentReply is what an agent answers to a submit.
type agentReply struct {
	failure     int
	response    string
	superseded  bool
	upstream    string // the upstream that crashed
	incarnation uint64 // its incarnation
}

// Kinds of verdict.
const (
	completed = iota
	refusedNotRun
	refusedUnknown
	upstreamFailed
)

// agent is a fake agent around the claim table, with its upstream.
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

// crashNotice is the last crash, which heartbeats repeat for a while so that
// one late or lost frame does not keep an entry ignorant.
type crashNotice struct {
	incarnation  uint64
	fingerprints []suspect.Fingerprint
	until        clock.Millis
}

// requestRecord is what the agent keeps of a request id.
type requestRecord struct {
	job    job
	reply  func(agentReply)
	result *agentReply
	gone   bool
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

// sendHeartbeat sends a heartbeat to all entries.
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

// submit handles a submit frame; reply sends a frame back.
func (a *agent) submit(j job, reply func(agentReply)) {
	if a.requests[j.id] != nil {
		return // a repeated frame, or one that Gone overtook
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

// blocks tells whether the job may not run because of a crash.
func (a *agent) blocks(j job) bool {
	_, blocked := a.gate.Handle(a.engine.now, agentsuspect.NewSubmitted(j.print, j.suspect)).(agentsuspect.Refuse)
	return blocked
}

func (a *agent) tableEvent(j job, e agentclaim.Event) {
	if j.claimKey != "" {
		a.table.Handle(a.engine.now, e)
	}
}

// execute starts the job at the upstream, which outlives its agent.
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

// crashUpstream ends the upstream with everything it runs, and tells entries.
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

// resume answers an entry that lost its connection while a request was open.
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

// query answers a claimQuery frame.
func (a *agent) query(q claim.Query) claim.AgentState {
	reply := a.table.Handle(a.engine.now, agentclaim.NewQueried(q.Grant().String())).(agentclaim.StateReply)
	response := stored.New(reply.Answer().Status(), nil, reply.Answer().Body())
	return claim.NewAgentState(q, a.number, claim.ParseState(string(reply.State())), reply.Answer().Status() != 0, response)
}

// kill ends the agent's process; its upstream goes on.
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

// stop ends the agent gracefully: it refuses new work and finishes what it has.
func (a *agent) stop() {
	a.draining = true
	a.engine.after(2*clock.Second, func() {
		if a.alive && a.draining {
			a.boot()
		}
	})
}

// refusal is the refusal that a verdict stands for.
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
