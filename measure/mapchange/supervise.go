package mapchange

import (
	"slices"

	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

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
