package mapchange

import (
	"container/heap"
	"math/rand/v2"

	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// Parameters of the simulated group.
const (
	groupRanks                = 32
	stepDuration clock.Millis = 55
	minLatency   clock.Millis = 1
	maxLatency   clock.Millis = 2
	// maxRoundTrip is the longest round trip between two ranks without faults.
	maxRoundTrip               = 2 * maxLatency
	engineDelay                = clock.Millis(1)
	tickInterval               = clock.Millis(10)
	proposeInterval            = clock.Millis(400)
	maxLoadTime                = clock.Millis(600)
	prepareTimeout             = 2 * clock.Second
	ownerTimeout               = clock.Second
	supervisionInterval        = clock.Millis(100)
	maxJoinDelay               = clock.Millis(20)
	firstFencingToken   uint64 = 1
	firstEpoch          uint64 = 1
	firstIncarnation    uint64 = 1
)

// membership is the platform's record of the group: the members, and the map
// and step at which a membership epoch starts.
type membership struct {
	epoch   uint64
	members []rank.Member
	current rank.MapID
	step    int64
}

// agentProcess is one agent. inbox queues its inputs while the process is
// paused.
type agentProcess struct {
	up          bool
	paused      bool
	incarnation uint64
	rank        *rank.Rank
	owner       *rank.Owner
	proposedAt  clock.Millis
	inbox       []func()
}

// world simulates a group of ranks with its agents, network and platform.
type world struct {
	random       *rand.Rand
	now          clock.Millis
	seq          uint64
	queue        actionQueue
	agents       []*agentProcess
	engines      []*rankEngine
	net          network
	platformUp   bool
	record       membership
	fencingToken uint64
	holder       rank.Member
	// holderLost is for how long the holder has been down, paused or superseded.
	holderLost   clock.Millis
	unresponsive []rank.Member
	steps        map[groupStep]*progress
	lastStep     groupStep
	result       scheduleResult
	lastFinished rank.Finished
	// manualProposals turns off the periodic proposals; the caller proposes.
	manualProposals bool
	// storeLoadTime is the time per expert weight of the group's weight store,
	// which serves one load after the other. If it is zero, each load takes a
	// random time.
	storeLoadTime clock.Millis
	storeFreeAt   clock.Millis
}

// scheduleResult is the result of one schedule. Its field names are printed.
type scheduleResult struct {
	steps      int
	mixed      int
	stalled    int
	longest    clock.Millis
	proposals  int
	committed  int
	abandoned  int
	undecided  int
	reforms    int
	superseded int
	stuck      bool
}

func newWorld(random *rand.Rand, size int) *world {
	w := &world{
		random: random, platformUp: true, fencingToken: firstFencingToken, steps: map[groupStep]*progress{},
	}
	base := rank.NewMapID(firstFencingToken, 0)
	w.record = membership{epoch: firstEpoch, current: base}
	for m := range size {
		w.record.members = append(w.record.members, rank.Member(m))
	}
	for m := range size {
		e := &rankEngine{epoch: firstEpoch}
		e.current = base
		w.engines = append(w.engines, e)
		w.agents = append(w.agents, &agentProcess{incarnation: firstIncarnation})
		w.startAgent(rank.Member(m))
	}
	for m := range size {
		w.enter(rank.Member(m))
	}
	w.makeOwner(0)
	w.every(tickInterval, w.tick)
	w.every(supervisionInterval, w.supervise)
	return w
}

func (w *world) after(d clock.Millis, run func()) {
	w.seq++
	heap.Push(&w.queue, timedAction{w.now + d, w.seq, run})
}

func (w *world) every(d clock.Millis, run func()) {
	w.after(d, func() {
		run()
		w.every(d, run)
	})
}

// runUntil executes all actions up to end and advances the time to it.
func (w *world) runUntil(end clock.Millis) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(timedAction)
		w.now = next.at
		next.run()
	}
	w.now = end
}

// Agents.

func (w *world) startAgent(m rank.Member) {
	a := w.agents[m]
	e := w.engines[m]
	if a.up || e.dead {
		return
	}
	a.up = true
	a.paused = false
	a.inbox = nil
	a.owner = nil
	a.rank = &rank.Rank{Self: m, Members: w.record.members, Epoch: e.epoch, Incarnation: a.incarnation}
	w.executeActions(m, a.rank.Start(w.now))
}

func (w *world) killAgent(m rank.Member) {
	a := w.agents[m]
	a.up = false
	a.owner = nil
	a.inbox = nil
	a.incarnation++
}

func (w *world) resumeAgent(m rank.Member) {
	a := w.agents[m]
	a.paused = false
	inbox := a.inbox
	a.inbox = nil
	for _, run := range inbox {
		run()
	}
}

// deliver runs an input of an agent, after the resumption if the agent is
// paused. It drops the input if the agent is down or, unless incarnation is
// zero, has another incarnation.
func (w *world) deliver(m rank.Member, incarnation uint64, run func()) {
	a := w.agents[m]
	if !a.up || (incarnation != 0 && a.incarnation != incarnation) {
		return
	}
	if a.paused {
		a.inbox = append(a.inbox, run)
		return
	}
	run()
}

func (w *world) event(m rank.Member, e rank.Event) {
	w.executeActions(m, w.agents[m].rank.Handle(e))
}

// receive passes a message to the owner, if the agent runs it, and to the rank.
func (w *world) receive(from, m rank.Member, message rank.Message) {
	a := w.agents[m]
	e := rank.Received{From: from, Message: message}
	if a.owner != nil {
		w.executeActions(m, a.owner.Handle(e))
	}
	w.event(m, e)
}

func (w *world) executeActions(m rank.Member, actions []rank.Action) {
	for _, a := range actions {
		w.executeAction(m, a)
	}
}

func (w *world) executeAction(m rank.Member, a rank.Action) {
	switch a := a.(type) {
	case rank.Send:
		w.send(m, a.To, a.Message)
	case rank.Broadcast:
		w.broadcast(m, a.Message)
	case rank.MembersUnresponsive:
		w.result.undecided++
		w.unresponsive = append(w.unresponsive, a.Missing...)
	case rank.Finished:
		w.recordOutcome(m, a)
	case rank.Superseded:
		w.result.superseded++
		w.agents[m].owner = nil
	default:
		w.after(engineDelay, func() { w.executeOrder(m, w.agents[m].incarnation, a) })
	}
}

// recordOutcome counts the outcome of a proposal.
func (w *world) recordOutcome(m rank.Member, f rank.Finished) {
	w.agents[m].proposedAt = w.now
	w.lastFinished = f
	switch f.Outcome {
	case rank.Committed:
		w.result.committed++
	case rank.Abandoned:
		w.result.abandoned++
	}
}
