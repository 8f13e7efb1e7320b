package mapchange

import (
	"fmt"
	"math/bits"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/version/rank"
)

// Size of an exploration.
const (
	exploredRanks = 3
	// lastStep is the step at which an exploration ends. A change proposed in
	// step 0 takes effect in step 1 or 2.
	lastStep = 2
	// sentWords limits the distinct messages of an exploration to 64 per word.
	sentWords = 4
)

// errTooManyMessages means that sentWords is too small for the exploration.
var errTooManyMessages = errors.New("exploration has more distinct messages than sentWords allows")

// Exploration is an exhaustive search of the reachable states of the protocol
// in a small group. The network keeps every message that was ever sent and may
// deliver it at any time, repeatedly or never, which covers every reordering,
// loss and duplication.
type Exploration struct {
	// Name describes the exploration in reports.
	Name string
	// Owners is the number of concurrent owners, each with its own fencing token.
	Owners int
	// Crash allows one agent to die at any point, including between two actions
	// of one transition, and to restart.
	Crash bool
	// Lead is the owners' rank.Owner.Lead.
	Lead int64
	// StartArmed starts with the first owner's change prepared at all ranks and
	// its votes requested, which omits the interleavings of the preparation.
	StartArmed bool
	// RepeatPrepare allows the Prepare messages of an armed start to be delivered
	// again, so that a restarted agent may load the map again.
	RepeatPrepare bool
	// QuickRecovery replies to a restarted agent's query for fencing tokens
	// immediately, which omits the interleavings of these messages.
	QuickRecovery bool
	// Crashable is a bit set of the members that may crash; zero means all.
	// Since at most one agent dies, one search per member covers together what
	// a single search with all members covers.
	Crashable uint8
	// LastStep ends the exploration earlier than lastStep, if not zero.
	LastStep int64
	// IgnoreHolds breaks the protocol on purpose: rank 0 enters the step that it
	// holds before.
	IgnoreHolds bool
	// KeepIncarnation breaks the protocol on purpose: a restarted agent keeps
	// its incarnation.
	KeepIncarnation bool

	agents      table[*agentState]
	engines     table[*engineState]
	packets     table[packet]
	transitions map[transitionKey]transition
	overflow    bool
	settingUp   bool
}

// ExplorationResult is the result of an exploration.
type ExplorationResult struct {
	States    int
	Mixed     int
	Stuck     int
	Committed int
	// Example describes the first state that violates an invariant.
	Example string
}

// table assigns small IDs to values; equal values share one ID.
type table[T any] struct {
	index  map[string]int32
	values []T
}

// intern returns the ID of the value with the given key.
func (t *table[T]) intern(key []byte, v T) int32 {
	if id, ok := t.index[string(key)]; ok {
		return id
	}
	if t.index == nil {
		t.index = map[string]int32{}
	}
	id := int32(len(t.values))
	t.index[string(key)] = id
	t.values = append(t.values, v)
	return id
}

// agentState is an agent: the protocol state of its rank, and the owner if it
// runs one.
type agentState struct {
	self  rank.Member
	rank  *rank.Rank
	owner *rank.Owner
}

func (a *agentState) clone() *agentState {
	c := &agentState{self: a.self, rank: a.rank.Clone()}
	if a.owner != nil {
		c.owner = a.owner.Clone()
	}
	return c
}

// engineState is an engine with the map that it used in each step.
type engineState struct {
	engine
	usedMaps [lastStep + 1]rank.MapID
}

type packet struct {
	from, to rank.Member
	message  rank.Message
}

// agentDown is the ID of an agent that is down.
const agentDown int32 = -1

// sent is a bit set of messages by their ID in Exploration.packets.
type sent [sentWords]uint64

func (s sent) union(o sent) sent {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// node is one state of the exploration. Agents and engines are IDs of the
// tables.
type node struct {
	agents  [exploredRanks]int32
	engines [exploredRanks]int32
	sent    sent
	crashed bool
}

// Inputs of an agent other than packets, whose IDs start at 0.
const (
	inputEntered int32 = -1 - iota
	inputBoundary
	inputPropose
	// inputRestart must be the last: inputRestart - f is a restart in which the
	// highest fencing token of the peers is f.
	inputRestart
)

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

// Run visits all reachable states.
func (x *Exploration) Run() (ExplorationResult, error) {
	x.transitions = map[transitionKey]transition{}
	initialNode := x.initialNode()
	seen := map[node]struct{}{initialNode: {}}
	stack := []node{initialNode}
	var result ExplorationResult
	var next []node
	for len(stack) > 0 {
		n := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		x.checkNode(n, &result)
		next = x.successors(n, next[:0])
		advances := false
		for _, s := range next {
			if s == n {
				continue
			}
			advances = true
			if _, ok := seen[s]; !ok {
				seen[s] = struct{}{}
				stack = append(stack, s)
			}
		}
		if !advances && !x.finished(n) {
			result.Stuck++
			result.recordExample("stuck", x.describe(n))
		}
		if x.overflow {
			return result, errTooManyMessages
		}
	}
	result.States = len(seen)
	return result, nil
}

func (r *ExplorationResult) recordExample(what, example string) {
	if r.Example == "" {
		r.Example = what + ": " + example
	}
}

func (x *Exploration) internAgent(a *agentState) int32 {
	b := a.rank.AppendKey([]byte{byte(a.self)})
	if a.owner != nil {
		b = a.owner.AppendKey(append(b, 'o'))
	}
	return x.agents.intern(b, a)
}

func (x *Exploration) internEngine(e *engineState) int32 {
	return x.engines.intern(fmt.Appendf(nil, "%v", *e), e)
}

func (x *Exploration) internPacket(p packet) int32 {
	return x.packets.intern(rank.AppendMessage([]byte{byte(p.from), byte(p.to)}, p.message), p)
}

func exploredMembers() []rank.Member {
	var members []rank.Member
	for m := range exploredRanks {
		members = append(members, rank.Member(m))
	}
	return members
}

func (x *Exploration) newRank(m rank.Member, incarnation uint64) *rank.Rank {
	return &rank.Rank{Self: m, Members: exploredMembers(), Epoch: 1, Incarnation: incarnation}
}

// initialNode returns the state in which all agents have recovered and no owner
// has made a proposal. With StartArmed the first owner's change is prepared.
func (x *Exploration) initialNode() node {
	base := rank.NewMapID(1, 0)
	var ranks [exploredRanks]*rank.Rank
	for m := range ranks {
		ranks[m] = x.newRank(rank.Member(m), 1)
		ranks[m].Start(0)
		ranks[m].Handle(rank.EngineState{Current: base})
	}
	for m, r := range ranks {
		for peer, other := range ranks {
			if m == peer {
				continue
			}
			for _, a := range other.Handle(rank.Received{From: rank.Member(m), Message: rank.NewQuery(1, rank.Change{})}) {
				r.Handle(rank.Received{From: rank.Member(peer), Message: a.(rank.Send).Message})
			}
		}
	}
	var n node
	for m, r := range ranks {
		a := &agentState{self: rank.Member(m), rank: r}
		if m < x.Owners {
			a.owner = &rank.Owner{
				Self: a.self, Members: exploredMembers(), Epoch: 1,
				FencingToken: uint64(m + 1), Lead: x.Lead, PrepareTimeout: 1 << 40,
			}
		}
		e := &engineState{}
		e.current = base
		e.ignoresHolds = x.IgnoreHolds && m == 0
		e.usedMaps[0] = base
		n.agents[m] = x.internAgent(a)
		n.engines[m] = x.internEngine(e)
	}
	if x.StartArmed {
		x.settingUp = true
		n = x.prepareFirstOwner(n)
		x.settingUp = false
	}
	return n
}

// prepareFirstOwner starts the first owner's proposal and delivers its Prepare
// and Prepared messages.
func (x *Exploration) prepareFirstOwner(n node) node {
	n = x.apply(n, 0, inputPropose, nil)[0]
	for range 2 {
		for id := range int32(len(x.packets.values)) {
			if n.sent[id/64]&(1<<(id%64)) == 0 {
				continue
			}
			switch p := x.packets.values[id]; p.message.(type) {
			case rank.Prepare, rank.Prepared:
				n = x.apply(x.consume(n, id), int(p.to), id, nil)[0]
			}
		}
	}
	return n
}

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

// checkNode counts n as mixed if two ranks used different maps in the same step,
// and as committed if n is finished and rank 0 has a new map.
func (x *Exploration) checkNode(n node, result *ExplorationResult) {
	if e := x.engines.values[n.engines[0]]; x.finished(n) && e.current != e.usedMaps[0] {
		result.Committed++
	}
	for i, id := range n.engines {
		for _, other := range n.engines[i+1:] {
			if mixed(x.engines.values[id], x.engines.values[other]) {
				result.Mixed++
				result.recordExample("mixed map", x.describe(n))
				return
			}
		}
	}
}

// mixed reports whether two engines used different maps in a step that both
// entered.
func mixed(a, b *engineState) bool {
	for step := int64(0); step <= min(a.step, b.step); step++ {
		if a.usedMaps[step] != b.usedMaps[step] {
			return true
		}
	}
	return false
}

// finished reports whether all agents are up and all engines have reached the
// end step.
func (x *Exploration) finished(n node) bool {
	for m, id := range n.engines {
		if x.engines.values[id].step < x.endStep() || n.agents[m] == agentDown {
			return false
		}
	}
	return true
}

func (x *Exploration) describe(n node) string {
	description := ""
	for m, id := range n.engines {
		e := x.engines.values[id]
		description += fmt.Sprintf("rank %d step %d maps %v held %v scheduled %v; ", m, e.step, e.usedMaps[:e.step+1], e.held, e.scheduled)
	}
	return description
}
