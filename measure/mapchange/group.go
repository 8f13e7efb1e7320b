package mapchange

import (
	"math/rand/v2"

	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// Group is a simulated group without faults whose map changes follow the
// protocol; other measurements drive their changes through it.
type Group struct {
	world *world
}

// NewGroup returns a group of ranks. The weight store gives the whole group
// one expert weight per load time.
func NewGroup(seed uint64, ranks int, loadTime clock.Millis) *Group {
	w := newWorld(rand.New(rand.NewPCG(seed, 0x6709)), ranks)
	w.manualProposals = true
	w.storeLoadTime = loadTime
	w.agents[w.ownerMember].owner.PrepareTimeout = clock.Minute
	return &Group{world: w}
}

// RunUntil moves the group to an instant; its clock starts at zero.
func (g *Group) RunUntil(now clock.Millis) { g.world.runUntil(now) }

// Propose starts a change of the map in use, with the experts to load per
// rank.
func (g *Group) Propose(experts [][]rank.Expert) {
	a := g.world.agents[g.world.ownerMember]
	current, _ := a.rank.Current()
	g.world.lastFinished = rank.Finished{}
	g.world.executeActions(g.world.ownerMember, a.owner.Handle(rank.Tick{Now: g.world.now}))
	g.world.executeActions(g.world.ownerMember, a.owner.Handle(rank.Propose{Base: current, Experts: experts}))
}

// Finished reports whether the proposed change has ended, and whether the
// group uses the new map.
func (g *Group) Finished() (ended, committed bool) {
	f := g.world.lastFinished
	if f.To == (rank.MapID{}) {
		return false, false
	}
	if f.Outcome != rank.Committed {
		return true, false
	}
	current, _ := g.world.agents[g.world.ownerMember].rank.Current()
	return current == f.To, true
}

// Steps returns the number of steps that the group has ended, and the number
// of steps in which ranks used different maps.
func (g *Group) Steps() (steps, mixed int) { return g.world.result.steps, g.world.result.mixed }
