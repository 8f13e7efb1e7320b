package rank

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
