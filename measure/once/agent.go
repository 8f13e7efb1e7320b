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
	upstreamRestart = clock.Second
	agentRestart    = clock.Second
	// heartbeat is the interval from agent to entry.
	heartbeat = 250 * clock.Millis(1)
	// noticeSpan is how long heartbeats repeat a crash.
	noticeSpan = 5 * clock.Second
	// refusedPercent is the share of submits that admission refuses.
	refusedPercent = 4
)

// execution is one run of a request, as the plain service's ledger lists it.
type execution struct {
	sending  int
	key      string
	body     string
	upstream string
	at       clock.Millis
}

// job is one submitted request.
type job struct {
	id       uint64 // request id on the wire, used once per attempt
	sending  int
	key      string // the caller's key, for the ledger only
	body     string
	crashes  bool
	claimKey string
	print    suspect.Fingerprint
	suspect  bool
}

// verdict is what an agent answers to a submit.
type verdict struct {
	failure    int
	answer     string
	superseded bool
	upstream   string // the upstream that crashed
	crashed    uint64 // its incarnation
}

// Kinds of verdict.
const (
	answered = iota
	refusedNotRun
	refusedUnknown
	upstreamFailed
)

// agent is a fake agent around the claim table, with its upstream.
type agent struct {
	process
	world   *world
	number  uint64 // incarnation
	table   *agentclaim.Table
	gate    *agentsuspect.Gate
	seen    map[uint64]*held
	leaving bool

	upstreamLife int
	upstreamUp   bool
	holds        int
	notice       crashNotice
}

// crashNotice is the last crash, which heartbeats repeat for a while so that
// one late or lost frame does not keep an entry ignorant.
type crashNotice struct {
	incarnation uint64
	prints      []suspect.Fingerprint
	until       clock.Millis
}

// held is what the agent keeps of a request id.
type held struct {
	job    job
	reply  func(verdict)
	result *verdict
	gone   bool
}

func (a *agent) boot() {
	a.start()
	a.notice = crashNotice{}
	a.heartbeats()
	a.number++
	a.table = agentclaim.New()
	a.gate = &agentsuspect.Gate{}
	a.seen = map[uint64]*held{}
	a.leaving = false
}

func (a *agent) heartbeats() {
	a.later(heartbeat, func() {
		a.beat()
		a.heartbeats()
	})
}

// beat sends a heartbeat to all entries.
func (a *agent) beat() {
	n := a.notice
	for _, e := range a.world.entries {
		a.world.network.send(&a.process, &e.process, func() {
			e.tracker.Handle(e.engine.now, suspect.HeartbeatReceived{})
			if a.engine.now < n.until {
				e.upstreamCrashed(a.name, n.incarnation, n.prints)
			}
		})
	}
}

// submit handles a submit frame; reply sends a frame back.
func (a *agent) submit(j job, reply func(verdict)) {
	if a.seen[j.id] != nil {
		return // a repeated frame, or one that Gone overtook
	}
	h := &held{job: j, reply: reply}
	a.seen[j.id] = h
	if j.claimKey != "" {
		if r, refused := a.table.Handle(a.engine.now, agentclaim.NewSubmitted(j.claimKey)).(agentclaim.Refuse); refused {
			failure := refusedUnknown
			if r.NotRun() {
				failure = refusedNotRun
			}
			a.settle(h, verdict{failure: failure, superseded: r.Superseded()})
			return
		}
	}
	if a.leaving || !a.upstreamUp || a.engine.chance(refusedPercent) || a.bars(j) {
		a.tableEvent(j, agentclaim.NewRejected(j.claimKey))
		a.settle(h, verdict{failure: refusedNotRun})
		return
	}
	a.execute(h)
}

// bars tells whether the job may not run because of a crash.
func (a *agent) bars(j job) bool {
	_, barred := a.gate.Handle(a.engine.now, agentsuspect.NewSubmitted(j.print, j.suspect)).(agentsuspect.Refuse)
	return barred
}

func (a *agent) tableEvent(j job, e agentclaim.Event) {
	if j.claimKey != "" {
		a.table.Handle(a.engine.now, e)
	}
}

// execute starts the job at the upstream, which outlives its agent.
func (a *agent) execute(h *held) {
	j := h.job
	w := a.world
	w.ledger = append(w.ledger, execution{j.sending, j.key, j.body, a.name, a.engine.now})
	number := len(w.ledger)
	life := a.upstreamLife
	a.holds++
	if j.crashes {
		a.engine.after(a.engine.between(5, 30), func() {
			if a.upstreamLife == life && a.upstreamUp {
				w.lost[j.print] = append(w.lost[j.print], a.name)
				a.crashUpstream()
			}
		})
		return
	}
	a.later(a.engine.between(5, 400), func() {
		if a.upstreamLife != life || !a.upstreamUp || h.result != nil {
			return
		}
		a.holds--
		a.gate.Handle(a.engine.now, agentsuspect.NewEnded(j.print))
		body := fmt.Sprintf("%s#%d", j.body, number)
		a.tableEvent(j, agentclaim.NewFinished(j.claimKey, stored.New(200, nil, []byte(body))))
		a.settle(h, verdict{failure: answered, answer: body})
	})
}

func (a *agent) settle(h *held, v verdict) {
	h.result = &v
	h.reply(v)
}

// crashUpstream ends the upstream with everything it runs, and tells entries.
func (a *agent) crashUpstream() {
	if !a.upstreamUp {
		return
	}
	a.upstreamUp = false
	crashed := a.upstreamLife
	a.holds = 0
	var prints []suspect.Fingerprint
	var failed []*held
	for _, id := range sortedIDs(a.seen) {
		h := a.seen[id]
		if h.result == nil && !h.gone {
			prints = append(prints, h.job.print)
			failed = append(failed, h)
		}
	}
	a.gate.Handle(a.engine.now, agentsuspect.NewCrashed(prints))
	a.notice = crashNotice{uint64(crashed), prints, a.engine.now + noticeSpan}
	if a.alive {
		a.beat()
	}
	for _, h := range failed {
		a.tableEvent(h.job, agentclaim.NewFailed(h.job.claimKey))
		a.settle(h, verdict{failure: upstreamFailed, upstream: a.name, crashed: uint64(crashed)})
	}
	a.engine.after(upstreamRestart, func() {
		a.upstreamLife++
		a.upstreamUp = true
	})
}

// resume answers an entry that lost its connection while a request was open.
func (a *agent) resume(id uint64, reply func(verdict), gone func()) {
	h := a.seen[id]
	switch {
	case h == nil:
		a.seen[id] = &held{gone: true}
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
	told := a.table.Handle(a.engine.now, agentclaim.NewQueried(q.Grant().String())).(agentclaim.StateReply)
	answer := stored.New(told.Answer().Status(), nil, told.Answer().Body())
	return claim.NewAgentState(q, a.number, claim.ParseState(string(told.State())), told.Answer().Status() != 0, answer)
}

// kill ends the agent's process; its upstream goes on.
func (a *agent) kill() {
	if !a.alive {
		return
	}
	open, number := a.seen, a.number
	a.die()
	for _, e := range a.world.entries {
		a.engine.after(a.engine.between(1, 60), func() { e.agentDied(a.name, number, open) })
	}
	a.engine.after(agentRestart, a.boot)
}

// stop ends the agent gracefully: it refuses new work and finishes what it has.
func (a *agent) stop() {
	a.leaving = true
	a.engine.after(2*clock.Second, func() {
		if a.alive && a.leaving {
			a.boot()
		}
	})
}

// refusal is the refusal that a verdict stands for.
func (v verdict) refusal() (outcome.Code, bool) {
	switch v.failure {
	case refusedNotRun:
		return outcome.Overloaded, true
	case refusedUnknown:
		return outcome.ClaimUnresolved, false
	}
	return outcome.UpstreamFailed, false
}

func sortedIDs(m map[uint64]*held) []uint64 { return slices.Sorted(maps.Keys(m)) }
