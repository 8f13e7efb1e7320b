package rank

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// Timeouts and limits of a Rank.
const (
	// queryInterval is the time between repeated queries. It is several round
	// trips within a region, so that a late reply does not cause a second
	// query.
	queryInterval clock.Millis = 20
	// replyTimeout bounds the wait for a peer's reply. It is the time
	// after which an unresponsive connection is replaced plus one attempt on
	// the new connection.
	replyTimeout clock.Millis = 3 * clock.Second
	// maxPastDecisions is the number of decided changes whose outcome a rank
	// still reports. A peer that needs an outcome is at most one step behind.
	maxPastDecisions = 4
)

// phase is the progress of an agent's recovery after its start.
type phase byte

const (
	// phaseEngine waits for the engine's state. The rank does not vote, since
	// it may have voted yes before the restart.
	phaseEngine phase = iota
	// phasePeers waits for every peer's fencing token.
	phasePeers
	phaseRunning
)

// Rank is the protocol state machine of one rank. The exported fields must be
// set before Start is called.
type Rank struct {
	// Self is the number of this rank.
	Self Member
	// Members lists all members of the group, including Self, in ascending
	// order.
	Members []Member
	// Epoch is the membership epoch of the group.
	Epoch uint64
	// Incarnation identifies this run of the agent.
	Incarnation uint64

	now   clock.Millis
	phase phase
	// fencingTokenReceived marks, during phasePeers, the members that have
	// reported their fencing token.
	fencingTokenReceived []bool
	fencingToken         uint64
	// highestVoted is the latest map that the rank has voted on or used. It
	// gives no new yes vote to this map or an earlier one.
	highestVoted MapID
	step         int64
	current      MapID
	scheduled    Change
	prep         preparation
	open         ballot
	// earlyVotes has the votes on a change whose Arm has not arrived.
	earlyVotes    ballot
	pastDecisions []decision
	// waitingForOutcome is set while the engine is stopped at the step of the
	// open change.
	waitingForOutcome bool
	waitStart         clock.Millis
	lastQuery         clock.Millis
}

// Start begins the recovery of a started or restarted agent and returns its
// first actions. Once the engine has reported the fencing token that orders to
// it need, the engine is paused at its next step boundary until all peers have
// replied.
func (r *Rank) Start(now clock.Millis) []Action {
	r.now = now
	r.waitStart = now
	r.lastQuery = now
	r.phase = phaseEngine
	r.fencingTokenReceived = make([]bool, r.tableSize())
	return []Action{QueryEngine{}}
}

// Current returns the map in use and the last step entered, as last reported.
func (r *Rank) Current() (MapID, int64) { return r.current, r.step }

// FencingToken returns the highest fencing token seen.
func (r *Rank) FencingToken() uint64 { return r.fencingToken }

// Running reports whether the agent has completed its recovery.
func (r *Rank) Running() bool { return r.phase == phaseRunning }

// Resolved reports whether no further vote on c and no outcome of c can change
// the state of this rank.
func (r *Rank) Resolved(c Change) bool { return !c.to.After(r.highestVoted) && r.open.change != c }

// Handle processes an event and returns the resulting actions.
func (r *Rank) Handle(e Event) []Action {
	switch e := e.(type) {
	case Received:
		return r.handleMessage(e.From, e.Message)
	case EngineState:
		return r.handleEngineState(e)
	case HoldPlaced:
		return r.handleHoldPlaced(e)
	case Loaded:
		return r.loaded(e.To)
	case AtBoundary:
		return r.handleAtBoundary(e.Change)
	case Entered:
		return r.handleEntered(e.Step)
	case Tick:
		return r.handleTick(e.Now)
	case MembershipChanged:
		return r.handleMembershipChanged(e)
	}
	return nil
}

func (r *Rank) handleMessage(from Member, m Message) []Action {
	if !slices.Contains(r.Members, from) {
		return nil
	}
	switch m := m.(type) {
	case Prepare:
		return r.handlePrepare(from, m)
	case Arm:
		return r.handleArm(from, m)
	case Armed:
		return r.vote(from, m.change, voteYes)
	case Refuse:
		return r.handleRefuse(from, m)
	case Query:
		return r.handleQuery(from, m)
	case Decide:
		return r.handleDecide(m.change, m.commit)
	}
	return nil
}

// tableSize returns the length of a slice that is indexed by member number.
func (r *Rank) tableSize() int { return int(slices.Max(r.Members)) + 1 }

func (r *Rank) raiseFencingToken(fencingToken uint64) {
	r.fencingToken = max(r.fencingToken, fencingToken)
}

func (r *Rank) raiseHighestVoted(id MapID) {
	if id.After(r.highestVoted) {
		r.highestVoted = id
	}
}

// handleEntered tracks the steps of the engine. An engine that has entered the
// step of the open change carried out an order of the agent's previous
// incarnation, which knew the outcome; recovery reads it from the engine.
func (r *Rank) handleEntered(step int64) []Action {
	r.step = max(r.step, step)
	r.waitingForOutcome = false
	if r.open.isOpen() && r.step >= r.open.change.step {
		r.open = ballot{}
		return r.Start(r.now)
	}
	if !r.scheduled.IsZero() && r.step >= r.scheduled.step {
		r.current = r.scheduled.to
		r.scheduled = Change{}
		r.prep = preparation{}
	}
	return nil
}

func (r *Rank) handleTick(now clock.Millis) []Action {
	r.now = now
	if now-r.lastQuery < queryInterval {
		return nil
	}
	switch {
	case r.phase == phaseEngine:
		r.lastQuery = now
		return []Action{QueryEngine{}}
	case r.phase == phasePeers:
		return r.repeatQuery(r.missingFencingTokens(), Change{})
	case r.waitingForOutcome:
		return r.repeatQuery(r.open.missing(r.Members), r.open.change)
	}
	return nil
}

// handleMembershipChanged resets the rank to the recorded membership. Votes of
// the previous epoch have no effect, since each message carries its epoch.
func (r *Rank) handleMembershipChanged(e MembershipChanged) []Action {
	if e.Epoch <= r.Epoch {
		return nil
	}
	r.Epoch = e.Epoch
	r.Members = e.Members
	r.phase = phaseRunning
	r.fencingTokenReceived = make([]bool, r.tableSize())
	r.raiseFencingToken(e.Current.fencingToken)
	r.raiseHighestVoted(e.Current)
	r.current = e.Current
	r.step = e.Step
	r.scheduled = Change{}
	r.prep = preparation{}
	r.open = ballot{}
	r.earlyVotes = ballot{}
	r.pastDecisions = nil
	r.waitingForOutcome = false
	return nil
}
