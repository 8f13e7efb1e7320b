package rank

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// Limits of an Owner.
const (
	// resendInterval is the time between repeated requests to a silent rank.
	resendInterval clock.Millis = 100
	// voteTimeout bounds the wait for votes; the ranks settle the change among
	// themselves whether or not the owner learns the outcome.
	voteTimeout clock.Millis = 3 * clock.Second
	// DefaultLeadSteps is the number of steps between the latest step known and the
	// first step with the new map: 220 ms at 55 ms a step, time for the Arm,
	// the votes and one repetition of both.
	DefaultLeadSteps = 4
)

// stage is how far an owner's proposal has come.
type stage byte

const (
	stageIdle stage = iota
	stagePreparing
	stageArmed
)

// Owner proposes map changes to a group. It keeps no state that the ranks
// need: they settle an armed change without it. Set the exported fields before
// the first event.
type Owner struct {
	// Self is the member in whose agent the owner runs.
	Self Member
	// Members are all members of the group, ascending.
	Members []Member
	// Epoch is the formation of the group.
	Epoch uint64
	// FencingToken is the fencing token from the platform. An owner that restarts
	// takes a new one.
	FencingToken uint64
	// Lead is the number of steps between the latest step known and the
	// change's step.
	Lead int64
	// PrepareTimeout bounds the loading of experts at all ranks.
	PrepareTimeout clock.Millis

	now          clock.Millis
	stageStart   clock.Millis
	lastSend     clock.Millis
	stage        stage
	version      uint64
	proposal     Propose
	to           MapID
	step         int64
	incarnations []uint64
	ready        []bool
	votes        ballot
	superseded   bool
}

// Idle reports whether the owner can take a proposal.
func (o *Owner) Idle() bool { return o.stage == stageIdle && !o.superseded }

// Proposed reports whether the owner has made a proposal.
func (o *Owner) Proposed() bool { return o.version > 0 }

// Stopped reports whether a higher fencing token has ended the owner's duty.
func (o *Owner) Stopped() bool { return o.superseded }

// Armed reports whether the owner has asked for votes on its proposal. From
// then on the ranks settle the change without it.
func (o *Owner) Armed() bool { return o.stage == stageArmed }

// Handle returns the actions that follow from e.
func (o *Owner) Handle(e Event) []Action {
	if o.superseded {
		return nil
	}
	switch e := e.(type) {
	case Propose:
		return o.handlePropose(e)
	case Received:
		return o.handleMessage(e.From, e.Message)
	case Tick:
		return o.handleTick(e.Now)
	case MembershipChanged:
		o.Epoch = e.Epoch
		o.Members = e.Members
		o.stage = stageIdle
	}
	return nil
}

func (o *Owner) handlePropose(p Propose) []Action {
	if o.stage != stageIdle {
		return nil
	}
	o.version++
	o.to = MapID{o.FencingToken, o.version}
	o.stage = stagePreparing
	o.proposal = p
	o.stageStart = o.now
	o.lastSend = o.now
	o.step = 0
	size := int(slices.Max(o.Members)) + 1
	o.incarnations = make([]uint64, size)
	o.ready = make([]bool, size)
	return o.sendPrepare()
}

func (o *Owner) sendPrepare() []Action {
	var actions []Action
	for _, m := range o.Members {
		if o.ready[m] {
			continue
		}
		var experts []Expert
		if int(m) < len(o.proposal.Experts) {
			experts = o.proposal.Experts[m]
		}
		actions = append(actions, Send{m, NewPrepare(o.Epoch, o.to, o.proposal.Base, experts, o.proposal.EncodedMap)})
	}
	return actions
}

func (o *Owner) sendArm() []Action {
	var actions []Action
	for _, m := range o.votes.missing(o.Members) {
		actions = append(actions, Send{m, Arm{o.votes.change, o.incarnations[m]}})
	}
	return actions
}

func (o *Owner) handleMessage(from Member, m Message) []Action {
	switch m := m.(type) {
	case Prepared:
		return o.handlePrepared(from, m)
	case Armed:
		return o.recordVote(from, m.change, voteYes)
	case Decide:
		return o.handleDecide(m)
	case Refuse:
		if m.fencingToken > o.FencingToken {
			o.superseded = true
			return []Action{Superseded{m.fencingToken}}
		}
		if m.change.step != 0 {
			return o.recordVote(from, m.change, voteNo)
		}
		if o.stage == stagePreparing && m.change.epoch == o.Epoch && m.change.to == o.to {
			return o.finish(Abandoned)
		}
	}
	return nil
}

// handlePrepared records a loaded rank and arms the change once all have loaded. The
// step told last is fresh, and lock-step keeps the others within one of it.
func (o *Owner) handlePrepared(from Member, m Prepared) []Action {
	if o.stage != stagePreparing || m.epoch != o.Epoch || m.to != o.to {
		return nil
	}
	o.step = max(o.step, m.step)
	o.ready[from] = true
	o.incarnations[from] = m.incarnation
	for _, member := range o.Members {
		if !o.ready[member] {
			return nil
		}
	}
	o.stage = stageArmed
	o.stageStart = o.now
	o.lastSend = o.now
	o.votes = newBallot(Change{o.Epoch, o.to, o.step + o.Lead}, len(o.ready))
	return o.sendArm()
}

func (o *Owner) recordVote(from Member, c Change, v vote) []Action {
	if o.stage != stageArmed || c != o.votes.change {
		return nil
	}
	o.votes.set(from, v)
	switch o.votes.outcome(o.Members) {
	case voteYes:
		return o.finish(Committed)
	case voteNo:
		return o.finish(Abandoned)
	}
	return nil
}

func (o *Owner) handleDecide(m Decide) []Action {
	if o.stage != stageArmed || m.change != o.votes.change {
		return nil
	}
	if m.commit {
		return o.finish(Committed)
	}
	return o.finish(Abandoned)
}

func (o *Owner) finish(outcome Outcome) []Action {
	o.stage = stageIdle
	return []Action{Finished{o.to, outcome}}
}

func (o *Owner) handleTick(now clock.Millis) []Action {
	o.now = now
	switch o.stage {
	case stagePreparing:
		if now-o.stageStart >= o.PrepareTimeout {
			return o.finish(Abandoned)
		}
		if now-o.lastSend >= resendInterval {
			o.lastSend = now
			return o.sendPrepare()
		}
	case stageArmed:
		if now-o.stageStart >= voteTimeout {
			return o.finish(Unknown)
		}
		if now-o.lastSend >= resendInterval {
			o.lastSend = now
			return o.sendArm()
		}
	}
	return nil
}
