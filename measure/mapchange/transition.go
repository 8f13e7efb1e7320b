package mapchange

import "goldcrestshore/agent/version/rank"

type transitionKey struct {
	agent, engine, input int32
	member               int8
}

// crashPoint is the effect of the first actions of a transition.
type crashPoint struct {
	engine int32
	sent   sent
}

// transition is the effect of one input on an agent and its engine. crashPoints
// are the intermediate states in which the agent could die.
type transition struct {
	agent       int32
	engine      int32
	sent        sent
	crashPoints []crashPoint
}

// computeTransition returns the effect of an input. It removes an owner that has
// requested the votes on its only proposal or abandoned it: such an owner sends
// nothing more that affects a rank, and states that differ only in its state
// become equal.
func (x *Exploration) computeTransition(key transitionKey) transition {
	if r, ok := x.transitions[key]; ok {
		return r
	}
	run := &transitionRun{x: x, member: rank.Member(key.member)}
	e := *x.engines.values[key.engine]
	run.engine = &e
	if key.input <= inputRestart {
		run.restart(uint64(inputRestart - key.input))
	} else {
		run.agent = x.agents.values[key.agent].clone()
		run.input(key.input)
	}
	if o := run.agent.owner; o != nil && o.Proposed() && (o.Armed() || o.Idle() || o.Stopped()) {
		run.agent.owner = nil
	}
	r := transition{x.internAgent(run.agent), x.internEngine(run.engine), run.sent, run.crashPoints}
	x.transitions[key] = r
	return r
}

// transitionRun executes the actions of one transition in sequence.
type transitionRun struct {
	x           *Exploration
	member      rank.Member
	agent       *agentState
	engine      *engineState
	sent        sent
	crashPoints []crashPoint
}

// restart starts a new incarnation of the agent. With QuickRecovery its peers
// report token immediately.
func (s *transitionRun) restart(token uint64) {
	incarnation := uint64(2)
	if s.x.KeepIncarnation {
		incarnation = 1
	}
	s.agent = &agentState{self: s.member, rank: s.x.newRank(s.member, incarnation)}
	s.actions(s.agent.rank.Start(0))
	if !s.x.QuickRecovery {
		return
	}
	for _, m := range exploredMembers() {
		if m != s.member {
			s.receive(m, rank.NewRefuse(rank.Change{}, token))
		}
	}
}

func (s *transitionRun) input(input int32) {
	s.recordCrashPoint()
	switch input {
	case inputEntered:
		s.event(rank.Entered{Step: s.engine.step})
	case inputBoundary:
		s.event(rank.AtBoundary{Change: s.engine.held})
	case inputPropose:
		if s.agent.owner != nil && !s.agent.owner.Proposed() {
			s.actions(s.agent.owner.Handle(rank.Propose{Base: rank.NewMapID(1, 0)}))
		}
	default:
		p := s.x.packets.values[input]
		s.receive(p.from, p.message)
	}
}

// recordCrashPoint records the current state as one in which the agent could
// die.
func (s *transitionRun) recordCrashPoint() {
	s.crashPoints = append(s.crashPoints, crashPoint{s.x.internEngine(s.copyEngine()), s.sent})
}

func (s *transitionRun) copyEngine() *engineState {
	e := *s.engine
	return &e
}

func (s *transitionRun) event(e rank.Event) { s.actions(s.agent.rank.Handle(e)) }

func (s *transitionRun) receive(from rank.Member, m rank.Message) {
	e := rank.Received{From: from, Message: m}
	if s.agent.owner != nil {
		s.actions(s.agent.owner.Handle(e))
	}
	s.event(e)
}

func (s *transitionRun) actions(actions []rank.Action) {
	for _, a := range actions {
		s.action(a)
	}
}

func (s *transitionRun) action(a rank.Action) {
	switch a := a.(type) {
	case rank.Send:
		s.send(a.To, a.Message)
	case rank.Broadcast:
		if s.agent.owner != nil {
			s.actions(s.agent.owner.Handle(rank.Received{From: s.member, Message: a.Message}))
		}
		for _, m := range exploredMembers() {
			if m != s.member {
				s.send(m, a.Message)
			}
		}
	case rank.QueryEngine:
		s.event(s.engine.state())
	case rank.Pause:
		s.engine.paused = true
		s.recordCrashPoint()
	case rank.Resume:
		s.engine.paused = false
		s.recordCrashPoint()
	case rank.Hold:
		ok := s.engine.hold(a.Change)
		s.recordCrashPoint()
		s.event(rank.HoldPlaced{Change: a.Change, OK: ok})
	case rank.Release:
		s.engine.release(a.Change)
		s.recordCrashPoint()
	case rank.Activate:
		s.engine.activate(a.Change)
		s.recordCrashPoint()
	case rank.LoadExperts:
		s.event(rank.Loaded{To: a.To})
	}
}

func (s *transitionRun) send(to rank.Member, m rank.Message) {
	if query, ok := m.(rank.Query); ok && query.Change().IsZero() && s.x.QuickRecovery {
		return
	}
	id := s.x.internPacket(packet{s.member, to, m})
	if id >= sentWords*64 {
		s.x.overflow = true
		return
	}
	s.sent[id/64] |= 1 << (id % 64)
	s.recordCrashPoint()
}
