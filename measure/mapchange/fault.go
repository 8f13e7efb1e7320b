package mapchange

import (
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
)

// Times of a schedule.
const (
	faultsFrom  = clock.Second
	faultsUntil = 6 * clock.Second
	// quietUntil ends the faults; the group must then move on.
	quietFrom = 10 * clock.Second
	endAt     = 18 * clock.Second
)

// fault is one kind of fault; run starts it and arranges its end.
type fault struct {
	name string
	run  func(w *world)
}

// faults lists the kinds that a schedule draws from.
var faults = []fault{
	{"loss", func(w *world) { w.disturb(network{loss: 0.2}) }},
	{"late", func(w *world) { w.disturb(network{lateMost: 300}) }},
	{"duplicate", func(w *world) { w.disturb(network{duplicate: 0.5, lateMost: 500}) }},
	{"ownerDeath", func(w *world) { w.restart(w.holder) }},
	{"ownerPause", func(w *world) { w.pause(w.holder) }},
	{"secondOwner", func(w *world) { w.takeOver() }},
	{"agentRestart", func(w *world) { w.restart(w.member()) }},
	{"agentPause", func(w *world) { w.pause(w.member()) }},
	{"rankStall", func(w *world) { w.engines[w.member()].stallUntil = w.now + w.span(50, 2000) }},
	{"rankDeath", func(w *world) { w.die(w.member()) }},
	{"platformDown", func(w *world) {
		w.platformUp = false
		w.after(w.span(500, 4000), func() { w.platformUp = true })
	}},
}

func (w *world) span(least, most clock.Millis) clock.Millis {
	return least + clock.Millis(w.random.Int64N(int64(most-least)))
}

func (w *world) member() rank.Member {
	return w.record.members[w.random.IntN(len(w.record.members))]
}

func (w *world) disturb(n network) {
	w.net = n
	w.after(w.span(200, 2000), func() { w.net = network{} })
}

func (w *world) restart(m rank.Member) {
	w.killAgent(m)
	w.after(w.span(50, 1500), func() { w.startAgent(m) })
}

func (w *world) pause(m rank.Member) {
	a := w.agents[m]
	if !a.up || a.paused {
		return
	}
	incarnation := a.incarnation
	a.paused = true
	w.after(w.span(100, 2500), func() {
		if a.up && a.incarnation == incarnation {
			w.wakeAgent(m)
		}
	})
}

func (w *world) die(m rank.Member) {
	w.engines[m].dead = true
	w.killAgent(m)
}

// schedule is one seeded run of a group.
type schedule struct {
	size         int
	faults       int
	platformDown bool
	checking     int
	deaf         bool
}

func (s schedule) run(w *world) scheduleResult {
	for i, e := range w.engines {
		e.checks = i%4 < s.checking
		e.deaf = s.deaf && i == 0
	}
	if s.platformDown {
		w.platformUp = false
	}
	for range s.faults {
		f := faults[w.random.IntN(len(faults))]
		w.after(w.span(faultsFrom, faultsUntil), func() { f.run(w) })
	}
	w.runUntil(quietFrom)
	w.platformUp = true
	w.net = network{}
	w.runUntil((quietFrom + endAt) / 2)
	before := w.lastStep
	w.runUntil(endAt)
	w.result.stuck = before == w.lastStep
	return w.result
}
