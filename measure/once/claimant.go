package once

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/claim"
)

// clientEvent passes an event to the claim client and runs the resulting actions.
func (e *entry) clientEvent(event claim.ClientEvent) {
	for _, a := range e.client.Handle(e.engine.now, event) {
		switch a := a.(type) {
		case claim.SendAcquire:
			e.sendToOwner(a.Acquire().Key().Shard(), a.Acquire())
		case claim.SendReport:
			e.sendToOwner(a.Report().Key().Shard(), a.Report())
		case claim.SendWithdraw:
			e.sendToOwner(a.Withdraw().Key().Shard(), a.Withdraw())
		case claim.Submit:
			e.submitClaimed(a)
		case claim.Deliver:
			if w := e.pending[a.Request()]; w != nil {
				e.deliver(w, string(a.Response().Body()))
			}
		case claim.Refuse:
			if w := e.pending[a.Request()]; w != nil {
				e.refuse(w, a.Refusal())
			}
		}
	}
}

func (e *entry) submitClaimed(a claim.Submit) {
	w := e.pending[a.Request()]
	if w == nil {
		return
	}
	w.upstream = a.Upstream().Name()
	e.submit(w, a.Grant().String())
}

// sendToOwner sends an event to the owner of a shard according to the entry's list
// of live entries.
func (e *entry) sendToOwner(shard int, event claim.Event) {
	owner := e.world.entryNamed(e.ownerOf(shard))
	if owner == e {
		e.ownerEvent(shard, event)
		return
	}
	e.world.network.send(&e.process, &owner.process, func() { owner.ownerEvent(shard, event) })
}

func (e *entry) ownerEvent(shard int, event claim.Event) {
	e.ownerActions(shard, e.owners[shard].Handle(e.engine.now, event))
}

func (e *entry) ownerActions(shard int, actions []claim.Action) {
	s := e.world.store
	for _, a := range actions {
		switch a := a.(type) {
		case claim.OwnerReply:
			e.routeReply(a)
		case claim.Query:
			e.query(shard, a)
		case claim.List:
			s.list(&e.process, a, func(r claim.ListResult) { e.ownerEvent(shard, r) })
		case claim.Read:
			s.get(&e.process, a, func(r claim.ReadResult) { e.ownerEvent(shard, r) })
		case claim.Write:
			s.put(&e.process, a, func(r claim.WriteResult) { e.ownerEvent(shard, r) })
		case claim.Wake:
			e.wakeOwner(shard, a.At())
		}
	}
}

// wakeOwner schedules a tick of an owner. Only the earliest timer is kept.
func (e *entry) wakeOwner(shard int, at clock.Millis) {
	if pending := e.wakeTimes[shard]; pending > e.engine.now && pending <= at {
		return
	}
	e.wakeTimes[shard] = at
	e.later(max(1, at-e.engine.now), func() {
		if e.wakeTimes[shard] == at {
			e.ownerEvent(shard, claim.Tick{})
		}
	})
}

// routeReply sends an owner's reply to the entry that requested it.
func (e *entry) routeReply(a claim.OwnerReply) {
	for _, other := range e.world.entries {
		if other.incarnation != a.AttemptID().Entry() {
			continue
		}
		decidedAt := e.engine.now
		if other == e {
			e.receiveOwnerReply(a, decidedAt)
			return
		}
		e.world.network.send(&e.process, &other.process, func() { other.receiveOwnerReply(a, decidedAt) })
	}
}

// receiveOwnerReply handles an owner's reply. A refusal states the outcome as of
// decidedAt, because a concurrent attempt may run while the reply is in transit.
func (e *entry) receiveOwnerReply(a claim.OwnerReply, decidedAt clock.Millis) {
	e.decidedAt = decidedAt
	e.clientEvent(claim.NewReplyReceived(a))
	e.decidedAt = 0
}

// query requests the state of a claim from an agent.
func (e *entry) query(shard int, q claim.Query) {
	a := e.world.agents[q.Upstream().Name()]
	resolved := false
	resolve := func(state claim.AgentState) {
		if !resolved {
			resolved = true
			e.ownerEvent(shard, state)
		}
	}
	e.world.network.send(&e.process, &a.process, func() {
		state := a.query(q)
		e.world.network.send(&a.process, &e.process, func() { resolve(state) })
	})
	e.later(queryTimeout, func() { resolve(claim.NewAgentUnreachable(q)) })
}
