package mapchange

import (
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// Phases of a schedule, from its start.
const (
	faultsStart = clock.Second
	faultsEnd   = 6 * clock.Second
	// recoveryStart ends all faults; the group must make progress after it.
	recoveryStart = 10 * clock.Second
	scheduleEnd   = 18 * clock.Second
)

// fault is one kind of fault. run injects it and schedules its end.
type fault struct {
	name string
	run  func(w *world)
}

// faults lists the kinds of faults that a schedule selects from at random.
var faults = []fault{
	{"loss", func(w *world) { w.setNetworkFaults(network{loss: 0.2}) }},
	{"late", func(w *world) { w.setNetworkFaults(network{maxExtraDelay: 300}) }},
	{"duplicate", func(w *world) { w.setNetworkFaults(network{duplicate: 0.5, maxExtraDelay: 500}) }},
	{"ownerDeath", func(w *world) { w.restartAgent(w.holder) }},
	{"ownerPause", func(w *world) { w.pauseAgent(w.holder) }},
	{"secondOwner", func(w *world) { w.transferOwnership() }},
	{"agentRestart", func(w *world) { w.restartAgent(w.randomMember()) }},
	{"agentPause", func(w *world) { w.pauseAgent(w.randomMember()) }},
	{"rankStall", func(w *world) { w.engines[w.randomMember()].stallUntil = w.now + w.randomDuration(50, 2000) }},
	{"rankDeath", func(w *world) { w.killRank(w.randomMember()) }},
	{"platformDown", func(w *world) {
		w.platformUp = false
		w.after(w.randomDuration(500, 4000), func() { w.platformUp = true })
	}},
}

func (w *world) randomDuration(shortest, longest clock.Millis) clock.Millis {
	return shortest + clock.Millis(w.random.Int64N(int64(longest-shortest)))
}

// randomMember returns a random member of the current membership epoch.
func (w *world) randomMember() rank.Member {
	return w.record.members[w.random.IntN(len(w.record.members))]
}

// setNetworkFaults applies n for 200 to 2000 ms.
func (w *world) setNetworkFaults(n network) {
	w.net = n
	w.after(w.randomDuration(200, 2000), func() { w.net = network{} })
}

// restartAgent kills an agent and starts it after 50 to 1500 ms.
func (w *world) restartAgent(m rank.Member) {
	w.killAgent(m)
	w.after(w.randomDuration(50, 1500), func() { w.startAgent(m) })
}

// pauseAgent suspends an agent process for 100 to 2500 ms.
func (w *world) pauseAgent(m rank.Member) {
	a := w.agents[m]
	if !a.up || a.paused {
		return
	}
	incarnation := a.incarnation
	a.paused = true
	w.after(w.randomDuration(100, 2500), func() {
		if a.up && a.incarnation == incarnation {
			w.resumeAgent(m)
		}
	})
}

// killRank kills an engine and its agent permanently.
func (w *world) killRank(m rank.Member) {
	w.engines[m].dead = true
	w.killAgent(m)
}

// schedule describes one seeded run of a group.
type schedule struct {
	size   int
	faults int
	// platformDown makes the platform unavailable until recoveryStart.
	platformDown bool
	// checkingOfFour is how many of every four engines check fencing tokens.
	checkingOfFour int
	// ignoresHolds breaks the protocol on purpose: engine 0 ignores holds.
	ignoresHolds bool
}

func (s schedule) run(w *world) scheduleResult {
	for i, e := range w.engines {
		e.checksTokens = i%4 < s.checkingOfFour
		e.ignoresHolds = s.ignoresHolds && i == 0
	}
	if s.platformDown {
		w.platformUp = false
	}
	for range s.faults {
		f := faults[w.random.IntN(len(faults))]
		w.after(w.randomDuration(faultsStart, faultsEnd), func() { f.run(w) })
	}
	w.runUntil(recoveryStart)
	w.platformUp = true
	w.net = network{}
	w.runUntil((recoveryStart + scheduleEnd) / 2)
	before := w.lastStep
	w.runUntil(scheduleEnd)
	w.result.stuck = before == w.lastStep
	return w.result
}
