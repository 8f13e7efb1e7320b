package mapchange

import (
	"fmt"

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

// Inputs of an agent other than packets, whose IDs start at 0.
const (
	inputEntered int32 = -1 - iota
	inputBoundary
	inputPropose
	// inputRestart must be the last: inputRestart - f is a restart in which the
	// highest fencing token of the peers is f.
	inputRestart
)

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
