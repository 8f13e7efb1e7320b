package rank

import "slices"

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
