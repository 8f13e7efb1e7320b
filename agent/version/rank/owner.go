package rank

import (
	"slices"

	"goldcrestshore/core/process/clock"
)

// Timeouts and intervals of an Owner.
const (
	// resendInterval is the time between repeated requests to a rank that has
	// not replied.
	resendInterval clock.Millis = 100
	// voteTimeout bounds the wait for votes. The ranks resolve the change among
	// themselves whether or not the owner receives the outcome.
	voteTimeout clock.Millis = 3 * clock.Second
	// DefaultLeadSteps is the default of Owner.Lead: 220 ms at 55 ms a step,
	// enough for the Arm, the votes and one retransmission of both.
	DefaultLeadSteps = 4
)

// stage is the progress of an owner's proposal.
type stage byte

const (
	stageIdle stage = iota
	stagePreparing
	stageArmed
)

// Owner proposes map changes to a group. It holds no state that the ranks need:
// they resolve an armed change without it. The exported fields must be set
// before the first event.
type Owner struct {
	// Self is the member whose agent runs the owner.
	Self Member
	// Members lists all members of the group in ascending order.
	Members []Member
	// Epoch is the membership epoch of the group.
	Epoch uint64
	// FencingToken is issued by the platform. A restarted owner obtains a new
	// one.
	FencingToken uint64
	// Lead is the number of steps between the latest reported step and the
	// first step with the new map.
	Lead int64
	// PrepareTimeout bounds the time in which all ranks load their experts.
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

// Idle reports whether the owner accepts a proposal.
func (o *Owner) Idle() bool { return o.stage == stageIdle && !o.superseded }

// Proposed reports whether the owner has made a proposal.
func (o *Owner) Proposed() bool { return o.version > 0 }

// Stopped reports whether the owner has been superseded by a higher fencing
// token.
func (o *Owner) Stopped() bool { return o.superseded }

// Armed reports whether the owner has requested votes on its proposal. From
// then on the ranks can resolve the change without it.
func (o *Owner) Armed() bool { return o.stage == stageArmed }

// Handle processes an event and returns the resulting actions.
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

// handlePrepared marks a rank as ready and arms the change once all ranks are
// ready. The last rank to report sends a current step, and the other ranks are
// within one step of it since the group runs in lock-step.
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
