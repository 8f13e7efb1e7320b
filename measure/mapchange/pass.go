package mapchange

import (
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

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
