package mapchange

import (
	"math/bits"

	"goldcrestshore/agent/version/rank"
)

// successors appends the states that one event leads to from n.
func (x *Exploration) successors(n node, to []node) []node {
	for m := range exploredRanks {
		if n.agents[m] == agentDown {
			to = x.restart(n, m, to)
		}
		to = x.engineSuccessors(n, m, to)
	}
	for word, set := range n.sent {
		for ; set != 0; set &= set - 1 {
			id := int32(word*64 + bits.TrailingZeros64(set))
			m := int(x.packets.values[id].to)
			if n.agents[m] != agentDown {
				to = x.apply(x.consume(n, id), m, id, to)
			}
		}
	}
	for m := range x.Owners {
		if n.agents[m] != agentDown {
			to = x.apply(n, m, inputPropose, to)
		}
	}
	return to
}

// consume removes a Prepared, or a Prepare of an owner that has not requested
// votes, from the network, so that these are delivered at most once. Otherwise
// every step would add one Prepared per rank and the search would not end in
// time. All other messages remain.
func (x *Exploration) consume(n node, id int32) node {
	switch m := x.packets.values[id].message.(type) {
	case rank.Prepared:
		n.sent[id/64] &^= 1 << (id % 64)
	case rank.Prepare:
		if !x.RepeatPrepare || m.To().FencingToken() != armedFencingToken {
			n.sent[id/64] &^= 1 << (id % 64)
		}
	}
	return n
}

// armedFencingToken is the fencing token of the owner that StartArmed prepares.
const armedFencingToken = 1

// engineSuccessors appends the states after the engine of rank m enters its
// next step, or reports that it is held at the boundary.
func (x *Exploration) engineSuccessors(n node, m int, to []node) []node {
	e := x.engines.values[n.engines[m]]
	if e.step >= x.endStep() || !x.allEntered(n, e.step) {
		return to
	}
	if e.atHold() && n.agents[m] != agentDown {
		to = x.apply(n, m, inputBoundary, to)
	}
	if e.stopped() {
		return to
	}
	entered := *e
	entered.enter()
	entered.usedMaps[entered.step] = entered.current
	n.engines[m] = x.internEngine(&entered)
	if n.agents[m] == agentDown {
		return append(to, n)
	}
	return x.apply(n, m, inputEntered, to)
}

func (x *Exploration) endStep() int64 {
	if x.LastStep > 0 {
		return x.LastStep
	}
	return lastStep
}

// allEntered reports whether every rank has entered step, so that the step can
// end.
func (x *Exploration) allEntered(n node, step int64) bool {
	for _, id := range n.engines {
		if x.engines.values[id].step < step {
			return false
		}
	}
	return true
}

// apply appends the states after an input to one agent: the completed
// transition and, if the agent may still crash, one state per crash point.
func (x *Exploration) apply(n node, m int, input int32, to []node) []node {
	r := x.computeTransition(transitionKey{n.agents[m], n.engines[m], input, int8(m)})
	if x.mayCrash(n, m) {
		for _, p := range r.crashPoints {
			dead := n
			dead.crashed = true
			dead.agents[m] = agentDown
			dead.engines[m] = p.engine
			dead.sent = n.sent.union(p.sent)
			to = append(to, dead)
		}
	}
	n.agents[m] = r.agent
	n.engines[m] = r.engine
	n.sent = n.sent.union(r.sent)
	return append(to, x.dropIneffective(n))
}

// mayCrash reports whether the agent of m may crash from n on.
func (x *Exploration) mayCrash(n node, m int) bool {
	return x.Crash && !n.crashed && !x.settingUp && (x.Crashable == 0 || x.Crashable&(1<<m) != 0)
}

// dropIneffective removes the messages that no longer have an effect on their
// receiver, so that states that differ only in them become equal.
func (x *Exploration) dropIneffective(n node) node {
	for word, set := range n.sent {
		for ; set != 0; set &= set - 1 {
			id := int32(word*64 + bits.TrailingZeros64(set))
			m := x.packets.values[id].to
			if n.agents[m] != agentDown && x.hasNoEffect(n, m, id) {
				n.sent[word] &^= 1 << (id % 64)
			}
		}
	}
	return n
}

// hasNoEffect reports whether the delivery of a packet to m can no longer have
// an effect, or only causes replies that have none.
func (x *Exploration) hasNoEffect(n node, m rank.Member, id int32) bool {
	a := x.agents.values[n.agents[m]]
	p := x.packets.values[id]
	ownerDone := a.owner == nil
	switch message := p.message.(type) {
	case rank.Armed:
		return ownerDone && a.rank.Resolved(message.Change())
	case rank.Decide:
		return ownerDone && a.rank.Resolved(message.Change())
	case rank.Refuse:
		return ownerDone && x.refusalHasNoEffect(n, m, message)
	case rank.Query:
		c := message.Change()
		if c.IsZero() {
			return x.recovered(n, p.from)
		}
		return a.rank.Resolved(c) && x.resolved(n, p.from, c)
	case rank.Prepared:
		return ownerDone
	case rank.Arm:
		return !x.mayCrash(n, int(m)) && a.rank.Resolved(message.Change()) && x.ownerDone(n, p.from)
	}
	return false
}

// refusalHasNoEffect reports whether the rank of m ignores a Refuse.
func (x *Exploration) refusalHasNoEffect(n node, m rank.Member, message rank.Refuse) bool {
	r := x.agents.values[n.agents[m]].rank
	if message.FencingToken() > r.FencingToken() {
		return false
	}
	if message.Change().Step() != 0 {
		return r.Resolved(message.Change())
	}
	return x.recovered(n, m)
}

// recovered reports whether the agent of m needs no further replies to its
// queries after a restart.
func (x *Exploration) recovered(n node, m rank.Member) bool {
	return n.agents[m] != agentDown && x.agents.values[n.agents[m]].rank.Running() && !x.mayCrash(n, int(m))
}

// resolved reports whether the rank of m has the outcome of c.
func (x *Exploration) resolved(n node, m rank.Member, c rank.Change) bool {
	return n.agents[m] != agentDown && x.agents.values[n.agents[m]].rank.Resolved(c)
}

// ownerDone reports whether the agent of m is up and no longer runs an owner.
func (x *Exploration) ownerDone(n node, m rank.Member) bool {
	return n.agents[m] != agentDown && x.agents.values[n.agents[m]].owner == nil
}

// restart appends the states after a restart of the agent of m.
func (x *Exploration) restart(n node, m int, to []node) []node {
	token := int32(0)
	for _, id := range n.agents {
		if x.QuickRecovery && id != agentDown {
			token = max(token, int32(x.agents.values[id].rank.FencingToken()))
		}
	}
	return x.apply(n, m, inputRestart-token, to)
}
