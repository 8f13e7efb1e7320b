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

// preparation is the state of a map that the rank is loading or has loaded.
type preparation struct {
	to     MapID
	base   MapID
	owner  Member
	loaded bool
}

// decision is the outcome of a change that this rank voted on.
type decision struct {
	change Change
	commit bool
}

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

// handlePrepare starts to load a map. A rank with a change in progress refuses,
// since the proposal is based on a map that is about to be replaced.
func (r *Rank) handlePrepare(from Member, m Prepare) []Action {
	if m.epoch != r.Epoch || r.phase == phaseEngine {
		return nil
	}
	refuse := []Action{Send{from, Refuse{Change{r.Epoch, m.to, 0}, max(r.fencingToken, m.to.fencingToken)}}}
	if m.to.fencingToken < r.fencingToken {
		return refuse
	}
	r.raiseFencingToken(m.to.fencingToken)
	switch {
	case r.phase != phaseRunning, r.open.isOpen(), !r.scheduled.IsZero():
		return refuse
	case m.base != r.current, !m.to.After(r.highestVoted):
		return refuse
	case r.prep.to == m.to && r.prep.loaded:
		return []Action{Send{from, r.preparedMessage()}}
	case r.prep.to == m.to:
		return nil
	}
	r.prep = preparation{to: m.to, base: m.base, owner: from}
	return []Action{LoadExperts{m.to, m.experts, m.encodedMap, r.fencingToken}}
}

func (r *Rank) preparedMessage() Prepared {
	return Prepared{r.Epoch, r.prep.to, r.Incarnation, r.step}
}

func (r *Rank) loaded(to MapID) []Action {
	if r.prep.to != to || r.prep.loaded {
		return nil
	}
	r.prep.loaded = true
	return []Action{Send{r.prep.owner, r.preparedMessage()}}
}

// handleArm votes on a change. A yes vote is sent only after the engine has
// stored the hold, so that neither a crash of the agent nor a late message lets
// the rank enter the step of the change before the outcome is known.
func (r *Rank) handleArm(from Member, m Arm) []Action {
	c := m.change
	if c.epoch != r.Epoch || r.phase == phaseEngine {
		return nil
	}
	if r.open.change == c {
		if r.open.votes[r.Self] == voteYes {
			return []Action{Send{from, Armed{c}}}
		}
		return nil
	}
	if !c.to.After(r.highestVoted) {
		return r.reply(from, c)
	}
	r.raiseFencingToken(c.to.fencingToken)
	if !r.mayVoteYes(m) {
		return r.refuse(c)
	}
	r.raiseHighestVoted(c.to)
	r.open = newBallot(c, r.tableSize())
	if r.earlyVotes.change == c {
		r.open.votes = r.earlyVotes.votes
	}
	r.earlyVotes = ballot{}
	return []Action{Hold{c, r.fencingToken}}
}

// mayVoteYes reports whether the rank is prepared for the change and free to
// vote yes on it.
func (r *Rank) mayVoteYes(m Arm) bool {
	c := m.change
	switch {
	case r.phase != phaseRunning, r.open.isOpen(), !r.scheduled.IsZero():
		return false
	case c.to.fencingToken < r.fencingToken, m.incarnation != r.Incarnation:
		return false
	case r.prep.to != c.to, !r.prep.loaded, r.prep.base != r.current:
		return false
	}
	return c.step > r.step
}

// refuse casts a final no vote and broadcasts it, so that armed ranks receive
// the outcome before they reach the step of the change.
func (r *Rank) refuse(c Change) []Action {
	r.raiseHighestVoted(c.to)
	return []Action{Broadcast{Refuse{c, r.fencingToken}}}
}

func (r *Rank) handleHoldPlaced(e HoldPlaced) []Action {
	if r.open.change != e.Change || r.open.votes[r.Self] != voteMissing {
		return nil
	}
	if !e.OK {
		c := r.open.change
		r.recordDecision(c, false)
		r.open = ballot{}
		return []Action{Broadcast{Refuse{c, r.fencingToken}}}
	}
	r.open.votes[r.Self] = voteYes
	return append([]Action{Broadcast{Armed{e.Change}}}, r.tally()...)
}

// vote records a peer's vote. A vote can arrive before the Arm for its change;
// votes on the latest such change are kept until the Arm arrives.
func (r *Rank) vote(from Member, c Change, v vote) []Action {
	if c.epoch != r.Epoch {
		return nil
	}
	if r.open.change == c {
		r.open.set(from, v)
		return r.tally()
	}
	if !c.to.After(r.highestVoted) || r.phase == phaseEngine {
		return nil
	}
	if !r.earlyVotes.isOpen() || c.to.After(r.earlyVotes.change.to) {
		r.earlyVotes = newBallot(c, r.tableSize())
	}
	if r.earlyVotes.change == c {
		r.earlyVotes.set(from, v)
	}
	return nil
}

func (r *Rank) handleRefuse(from Member, m Refuse) []Action {
	r.raiseFencingToken(m.fencingToken)
	if m.change.step != 0 {
		return r.vote(from, m.change, voteNo)
	}
	if !m.change.IsZero() || r.phase != phasePeers {
		return nil
	}
	r.fencingTokenReceived[from] = true
	return r.finishRecovery()
}

// tally resolves the open change if its votes determine the outcome.
func (r *Rank) tally() []Action {
	switch r.open.outcome(r.Members) {
	case voteYes:
		return r.resolve(true)
	case voteNo:
		return r.resolve(false)
	}
	return nil
}

// resolve applies the outcome of the open change and closes its ballot.
func (r *Rank) resolve(commit bool) []Action {
	c := r.open.change
	r.open = ballot{}
	r.waitingForOutcome = false
	r.recordDecision(c, commit)
	if !commit {
		return []Action{Release{c, r.fencingToken}}
	}
	r.scheduled = c
	return []Action{Activate{c, r.fencingToken}}
}

func (r *Rank) recordDecision(c Change, commit bool) {
	r.pastDecisions = append(r.pastDecisions, decision{c, commit})
	if len(r.pastDecisions) > maxPastDecisions {
		r.pastDecisions = slices.Delete(r.pastDecisions, 0, 1)
	}
}

func (r *Rank) handleDecide(c Change, commit bool) []Action {
	if c.epoch != r.Epoch || r.open.change != c {
		return nil
	}
	if commit && r.open.votes[r.Self] != voteYes {
		return nil
	}
	return r.resolve(commit)
}

// handleQuery replies to a peer that requests a vote or the fencing token.
func (r *Rank) handleQuery(from Member, m Query) []Action {
	if m.epoch != r.Epoch {
		return nil
	}
	if m.change.IsZero() {
		return []Action{Send{from, Refuse{Change{}, r.fencingToken}}}
	}
	if r.phase == phaseEngine {
		return nil
	}
	return r.reply(from, m.change)
}

// reply sends the outcome of c if it is known, else this rank's vote; a rank
// that has not voted votes no. A restarted agent recovers a yes vote from its
// engine as a hold, a scheduled change or the map in use. A change that is none
// of these never received a yes vote from this rank, or is known to be refused.
func (r *Rank) reply(from Member, c Change) []Action {
	if r.open.change == c {
		if r.open.votes[r.Self] == voteYes {
			return []Action{Send{from, Armed{c}}}
		}
		return nil
	}
	for _, p := range r.pastDecisions {
		if p.change == c {
			return []Action{Send{from, Decide{c, p.commit}}}
		}
	}
	if r.scheduled == c || r.current == c.to {
		return []Action{Send{from, Decide{c, true}}}
	}
	if c.to.After(r.highestVoted) {
		return r.refuse(c)
	}
	return []Action{Send{from, Refuse{c, r.fencingToken}}}
}

// handleEngineState restores the state that the engine has stored and requests
// the fencing tokens of all peers.
func (r *Rank) handleEngineState(e EngineState) []Action {
	if r.phase != phaseEngine {
		return nil
	}
	r.phase = phasePeers
	r.step = e.Step
	r.current = e.Current
	r.scheduled = e.Scheduled
	r.raiseFencingToken(e.FencingToken)
	for _, id := range []MapID{e.Current, e.Held.to, e.Scheduled.to} {
		r.raiseFencingToken(id.fencingToken)
		r.raiseHighestVoted(id)
	}
	actions := []Action{Pause{r.fencingToken}, Broadcast{Query{r.Epoch, Change{}}}}
	if !e.Held.IsZero() {
		r.open = newBallot(e.Held, r.tableSize())
		r.open.votes[r.Self] = voteYes
		actions = append(actions, Broadcast{Armed{e.Held}})
		actions = append(actions, r.queryMissing()...)
	}
	return append(actions, r.finishRecovery()...)
}

// finishRecovery resumes the engine once all peers have reported their fencing
// tokens.
func (r *Rank) finishRecovery() []Action {
	if len(r.missingFencingTokens()) > 0 {
		return nil
	}
	r.phase = phaseRunning
	clear(r.fencingTokenReceived)
	return []Action{Resume{r.fencingToken}}
}

func (r *Rank) missingFencingTokens() []Member {
	var missing []Member
	for _, m := range r.Members {
		if m != r.Self && !r.fencingTokenReceived[m] {
			missing = append(missing, m)
		}
	}
	return missing
}

// handleAtBoundary queries the peers whose vote is missing. The hold of a change
// that is not open was placed by an order in flight when the agent restarted.
func (r *Rank) handleAtBoundary(c Change) []Action {
	if r.phase == phaseEngine || c.epoch != r.Epoch {
		return nil
	}
	if r.open.change != c {
		return r.resolveStaleHold(c)
	}
	if !r.waitingForOutcome {
		r.waitingForOutcome = true
		r.waitStart = r.now
	}
	r.lastQuery = r.now
	return r.queryMissing()
}

// resolveStaleHold activates a held change that is already scheduled, and
// releases the hold of any other.
func (r *Rank) resolveStaleHold(c Change) []Action {
	if r.scheduled == c {
		return []Action{Activate{c, r.fencingToken}}
	}
	r.raiseHighestVoted(c.to)
	return []Action{Release{c, r.fencingToken}}
}

func (r *Rank) queryMissing() []Action {
	var actions []Action
	for _, m := range r.open.missing(r.Members) {
		if m != r.Self {
			actions = append(actions, Send{m, Query{r.Epoch, r.open.change}})
		}
	}
	return actions
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

// repeatQuery sends a query again to the members that have not replied, and
// reports these members once replyTimeout has passed.
func (r *Rank) repeatQuery(missing []Member, c Change) []Action {
	r.lastQuery = r.now
	var actions []Action
	for _, m := range missing {
		actions = append(actions, Send{m, Query{r.Epoch, c}})
	}
	if r.open.isOpen() && r.phase == phasePeers {
		actions = append(actions, r.queryMissing()...)
	}
	if r.now-r.waitStart >= replyTimeout {
		actions = append(actions, MembersUnresponsive{missing})
	}
	return actions
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
