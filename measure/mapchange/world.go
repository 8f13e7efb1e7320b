package mapchange

import (
	"container/heap"
	"math/rand/v2"
	"slices"

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

// rankEngine is one engine of the group. All engines advance in lockstep.
type rankEngine struct {
	engine
	epoch      uint64
	dead       bool
	stallUntil clock.Millis
	// notified is the held change of the last boundary notification.
	notified rank.Change
}

// groupStep identifies a step of one membership epoch.
type groupStep struct {
	epoch uint64
	step  int64
}

// progress is the progress of the ranks in a step.
type progress struct {
	usedMap rank.MapID
	mixed   bool
	entered int
	members int
	ended   bool
	endedAt clock.Millis
	// stalled is the longest delay of a rank between the end of the previous
	// step and its entry into this one.
	stalled clock.Millis
}

// timedAction is an action of the simulation at a point in time. seq orders
// actions at the same time.
type timedAction struct {
	at  clock.Millis
	seq uint64
	run func()
}

// actionQueue is a heap of actions, the earliest first.
type actionQueue []timedAction

func (t actionQueue) Len() int { return len(t) }
func (t actionQueue) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t actionQueue) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *actionQueue) Push(x any)   { *t = append(*t, x.(timedAction)) }
func (t *actionQueue) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

// network sets the faults of messages between agents.
type network struct {
	// loss and duplicate are probabilities per message.
	loss      float64
	duplicate float64
	// maxExtraDelay bounds the additional delay of one in four deliveries.
	maxExtraDelay clock.Millis
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

// broadcast passes a message to the owner of the same agent, if there is one,
// and sends it to all other members.
func (w *world) broadcast(m rank.Member, message rank.Message) {
	if o := w.agents[m].owner; o != nil {
		w.executeActions(m, o.Handle(rank.Received{From: m, Message: message}))
	}
	for _, to := range w.agents[m].rank.Members {
		if to != m {
			w.send(m, to, message)
		}
	}
}

func (w *world) send(from, to rank.Member, message rank.Message) {
	deliverMessage := func() { w.deliver(to, 0, func() { w.receive(from, to, message) }) }
	if from == to {
		w.after(0, deliverMessage)
		return
	}
	copies := 1
	if w.random.Float64() < w.net.loss {
		copies = 0
	}
	if w.random.Float64() < w.net.duplicate {
		copies++
	}
	for range copies {
		delay := minLatency + clock.Millis(w.random.Int64N(int64(maxLatency-minLatency+1)))
		if w.net.maxExtraDelay > 0 && w.random.IntN(4) == 0 {
			delay += clock.Millis(w.random.Int64N(int64(w.net.maxExtraDelay)))
		}
		w.after(delay, deliverMessage)
	}
}

// Engines.

// executeOrder executes an agent's order. The reply is delivered only to the
// incarnation that sent the order. Orders take effect even if the agent has
// died since.
func (w *world) executeOrder(m rank.Member, incarnation uint64, a rank.Action) {
	e := w.engines[m]
	if e.dead {
		return
	}
	reply := func(event rank.Event) {
		w.after(engineDelay, func() { w.deliver(m, incarnation, func() { w.event(m, event) }) })
	}
	switch a := a.(type) {
	case rank.QueryEngine:
		reply(e.state())
	case rank.Pause:
		if e.accepts(a.FencingToken) {
			e.paused = true
		}
	case rank.Resume:
		if e.accepts(a.FencingToken) {
			e.paused = false
		}
	case rank.Hold:
		ok := a.Change.Epoch() == e.epoch && e.accepts(a.FencingToken) && e.hold(a.Change)
		reply(rank.HoldPlaced{Change: a.Change, OK: ok})
	case rank.Release:
		if e.accepts(a.FencingToken) {
			e.release(a.Change)
		}
	case rank.Activate:
		if a.Change.Epoch() == e.epoch && e.accepts(a.FencingToken) {
			e.activate(a.Change)
		}
	case rank.LoadExperts:
		to := a.To
		w.after(w.loadDuration(len(a.Experts)), func() { reply(rank.Loaded{To: to}) })
	}
	w.tryEnter(m)
}

// loadDuration returns the time until the weights of a load are available.
func (w *world) loadDuration(experts int) clock.Millis {
	if w.storeLoadTime == 0 {
		return clock.Millis(w.random.Int64N(int64(maxLoadTime)))
	}
	if experts == 0 {
		return 0
	}
	w.storeFreeAt = max(w.now, w.storeFreeAt) + clock.Millis(experts)*w.storeLoadTime
	return w.storeFreeAt - w.now
}

// tryEnter lets an engine enter its next step if the current one has ended and
// the engine is neither stalled, paused nor held.
func (w *world) tryEnter(m rank.Member) {
	e := w.engines[m]
	p := w.steps[groupStep{e.epoch, e.step}]
	if e.dead || p == nil || !p.ended {
		return
	}
	if e.stallUntil > w.now {
		w.after(e.stallUntil-w.now, func() { w.tryEnter(m) })
		return
	}
	if e.atHold() {
		w.notifyBoundary(m)
	}
	if e.stopped() {
		return
	}
	next := w.step(groupStep{e.epoch, e.step + 1})
	next.stalled = max(next.stalled, w.now-p.endedAt)
	e.enter()
	w.enter(m)
}

// notifyBoundary reports a boundary unless the agent is up and the boundary has
// already been reported.
func (w *world) notifyBoundary(m rank.Member) {
	e := w.engines[m]
	if e.notified == e.held && w.agents[m].up {
		return
	}
	w.reportBoundary(m)
}

// reportBoundary notifies the agent that its engine has stopped before the step
// of the held change.
func (w *world) reportBoundary(m rank.Member) {
	e := w.engines[m]
	e.notified = e.held
	held := e.held
	w.after(engineDelay, func() {
		w.deliver(m, 0, func() { w.event(m, rank.AtBoundary{Change: held}) })
	})
}

// step returns the progress of a step and creates it on first use.
func (w *world) step(key groupStep) *progress {
	p := w.steps[key]
	if p == nil {
		p = &progress{members: len(w.record.members)}
		w.steps[key] = p
	}
	return p
}

// enter records that an engine has entered its current step, and checks that it
// uses the same map there as the other ranks.
func (w *world) enter(m rank.Member) {
	e := w.engines[m]
	key := groupStep{e.epoch, e.step}
	p := w.step(key)
	if p.entered == 0 {
		p.usedMap = e.current
	}
	if p.usedMap != e.current && !p.mixed {
		p.mixed = true
		w.result.mixed++
	}
	p.entered++
	step := e.step
	w.after(engineDelay, func() { w.deliver(m, 0, func() { w.event(m, rank.Entered{Step: step}) }) })
	if p.entered == p.members {
		w.after(stepDuration, func() { w.endStep(key) })
	}
}

// endStep ends a step that all members have entered and lets them enter the
// next one. It ignores steps of earlier membership epochs.
func (w *world) endStep(key groupStep) {
	p := w.steps[key]
	if key.epoch != w.record.epoch {
		return
	}
	p.ended = true
	p.endedAt = w.now
	w.lastStep = key
	w.result.steps++
	w.result.longest = max(w.result.longest, p.stalled)
	if p.stalled > maxRoundTrip {
		w.result.stalled++
	}
	delete(w.steps, groupStep{key.epoch, key.step - 2})
	for _, m := range w.record.members {
		w.tryEnter(m)
	}
}

// Platform and supervision.

func (w *world) makeOwner(m rank.Member) {
	a := w.agents[m]
	w.holder = m
	a.proposedAt = w.now
	a.owner = &rank.Owner{
		Self: m, Members: w.record.members, Epoch: a.rank.Epoch, FencingToken: w.fencingToken,
		Lead: rank.DefaultLeadSteps, PrepareTimeout: prepareTimeout,
	}
}

// transferOwnership makes another agent the owner by a conditional update that
// raises the fencing token. The previous holder is not notified.
func (w *world) transferOwnership() {
	if !w.platformUp {
		return
	}
	start := w.random.IntN(len(w.record.members))
	for i := range w.record.members {
		m := w.record.members[(start+i)%len(w.record.members)]
		a := w.agents[m]
		if m != w.holder && a.up && !a.paused && a.owner == nil && a.rank.Running() {
			w.fencingToken++
			w.makeOwner(m)
			return
		}
	}
}

func (w *world) tick() {
	for i, a := range w.agents {
		m := rank.Member(i)
		if !a.up || a.paused {
			continue
		}
		w.event(m, rank.Tick{Now: w.now})
		if a.owner == nil {
			continue
		}
		w.executeActions(m, a.owner.Handle(rank.Tick{Now: w.now}))
		if !w.manualProposals && a.owner != nil && a.owner.Idle() && a.rank.Running() && w.now-a.proposedAt >= proposeInterval {
			a.proposedAt = w.now
			w.result.proposals++
			current, _ := a.rank.Current()
			w.executeActions(m, a.owner.Handle(rank.Propose{Base: current}))
		}
	}
}

// supervise simulates the platform's instance list and the process that
// maintains the membership: it replaces a lost owner and removes members that
// are dead or unresponsive.
func (w *world) supervise() {
	for i, e := range w.engines {
		if e.atHold() && w.agents[i].up {
			w.reportBoundary(rank.Member(i))
		}
	}
	if !w.platformUp {
		return
	}
	holder := w.agents[w.holder]
	if !holder.up || holder.paused || holder.owner == nil {
		w.holderLost += supervisionInterval
	} else {
		w.holderLost = 0
	}
	if w.holderLost >= ownerTimeout {
		w.holderLost = 0
		w.transferOwnership()
	}
	w.removeFailedMembers()
	for _, m := range w.record.members {
		if w.engines[m].epoch != w.record.epoch {
			w.join(m)
		}
	}
}

// removeFailedMembers starts a new membership epoch without the members that are
// dead or reported as unresponsive.
func (w *world) removeFailedMembers() {
	remaining := slices.DeleteFunc(slices.Clone(w.record.members), func(m rank.Member) bool {
		return w.engines[m].dead || slices.Contains(w.unresponsive, m)
	})
	w.unresponsive = nil
	if len(remaining) == len(w.record.members) || len(remaining) == 0 {
		return
	}
	for _, m := range w.record.members {
		if !slices.Contains(remaining, m) {
			w.engines[m].dead = true
			w.killAgent(m)
		}
	}
	w.result.reforms++
	w.fencingToken++
	step := int64(0)
	for _, e := range w.engines {
		step = max(step, e.step+1)
	}
	w.record = membership{w.record.epoch + 1, remaining, rank.NewMapID(w.fencingToken, 0), step}
	if !slices.Contains(remaining, w.holder) {
		w.holder = remaining[0]
	}
}

// join moves a member's agent and engine to the recorded membership epoch after
// a random delay.
func (w *world) join(m rank.Member) {
	record := w.record
	w.after(clock.Millis(w.random.Int64N(int64(maxJoinDelay))), func() {
		w.deliver(m, 0, func() {
			e := w.engines[m]
			if e.dead || e.epoch >= record.epoch {
				return
			}
			e.epoch = record.epoch
			e.step = record.step
			e.current = record.current
			e.held = rank.Change{}
			e.scheduled = rank.Change{}
			e.paused = false
			change := rank.MembershipChanged{
				Epoch: record.epoch, Members: record.members, Current: record.current, Step: record.step,
			}
			w.event(m, change)
			if o := w.agents[m].owner; o != nil {
				w.executeActions(m, o.Handle(change))
			}
			w.enter(m)
		})
	})
}
