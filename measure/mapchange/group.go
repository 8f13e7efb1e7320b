package mapchange

import (
	"math/rand/v2"

	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// Group is a simulated group without faults that changes maps by the protocol.
// Other measurements use it to activate their maps.
type Group struct {
	w *world
}

// NewGroup returns a group of ranks. The weight store serves the whole group at
// a rate of one expert weight per loadTime.
func NewGroup(seed uint64, ranks int, loadTime clock.Millis) *Group {
	w := newWorld(rand.New(rand.NewPCG(seed, 0x6709)), ranks)
	w.manualProposals = true
	w.storeLoadTime = loadTime
	w.agents[w.holder].owner.PrepareTimeout = clock.Minute
	return &Group{w: w}
}

// RunUntil advances the virtual time of the group, which starts at zero, to now.
func (g *Group) RunUntil(now clock.Millis) { g.w.runUntil(now) }

// Propose starts a change of the current map. experts lists the experts to load
// for each rank.
func (g *Group) Propose(experts [][]rank.Expert) {
	a := g.w.agents[g.w.holder]
	current, _ := a.rank.Current()
	g.w.lastFinished = rank.Finished{}
	g.w.executeActions(g.w.holder, a.owner.Handle(rank.Tick{Now: g.w.now}))
	g.w.executeActions(g.w.holder, a.owner.Handle(rank.Propose{Base: current, Experts: experts}))
}

// Finished reports whether the proposed change has ended, and whether it was
// committed. A committed change has ended once the holder uses the new map.
func (g *Group) Finished() (ended, committed bool) {
	f := g.w.lastFinished
	if f.To == (rank.MapID{}) {
		return false, false
	}
	if f.Outcome != rank.Committed {
		return true, false
	}
	current, _ := g.w.agents[g.w.holder].rank.Current()
	return current == f.To, true
}

// Steps returns the number of completed steps, and the number of steps in which
// ranks used different maps.
func (g *Group) Steps() (steps, mixed int) { return g.w.result.steps, g.w.result.mixed }
