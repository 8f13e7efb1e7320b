package mapchange

import (
	"goldcrestshore/agent/version/rank"
)

// engine is the part of a model engine that a map change affects. Its held and
// scheduled changes and a pause survive a restart of the agent.
type engine struct {
	step      int64
	current   rank.MapID
	held      rank.Change
	scheduled rank.Change
	paused    bool
	// ignoresHolds breaks the protocol on purpose: the engine enters the step
	// that it holds before.
	ignoresHolds bool
	// checksTokens makes the engine refuse orders with a stale fencing token.
	checksTokens bool
	fencingToken uint64
}

// accepts records the fencing token of an order and reports whether the engine
// executes the order.
func (e *engine) accepts(fencingToken uint64) bool {
	if e.checksTokens && fencingToken < e.fencingToken {
		return false
	}
	e.fencingToken = max(e.fencingToken, fencingToken)
	return true
}

// hold makes the engine stop before the step of a change. It reports false if
// the engine has already entered that step.
func (e *engine) hold(c rank.Change) bool {
	if c.Step() <= e.step {
		return false
	}
	e.held = c
	return true
}

func (e *engine) release(c rank.Change) {
	if e.held == c {
		e.held = rank.Change{}
	}
}

func (e *engine) activate(c rank.Change) {
	e.release(c)
	if c.Step() > e.step {
		e.scheduled = c
	}
}

// stopped reports whether the engine may not enter its next step.
func (e *engine) stopped() bool { return e.paused || e.atHold() }

// atHold reports whether the engine is waiting for the outcome of its held
// change.
func (e *engine) atHold() bool {
	return !e.ignoresHolds && !e.held.IsZero() && e.held.Step() == e.step+1
}

// enter moves the engine to its next step, where it applies a scheduled change
// that is due and drops an outdated hold.
func (e *engine) enter() {
	e.step++
	if !e.scheduled.IsZero() && e.scheduled.Step() <= e.step {
		e.current = e.scheduled.To()
		e.scheduled = rank.Change{}
	}
	if !e.held.IsZero() && e.held.Step() <= e.step {
		e.held = rank.Change{}
	}
}

func (e *engine) state() rank.EngineState {
	return rank.EngineState{Step: e.step, Current: e.current, Held: e.held, Scheduled: e.scheduled, FencingToken: e.fencingToken}
}
