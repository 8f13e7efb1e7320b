package once

import (
	"goldcrestshore/core/process/clock"
)

// fault is a kind of injected fault.
type fault int

const (
	entryDeath fault = iota
	ownerDeath
	agentDeath
	upstreamDeath
	platformDown
	platformSlow
	lostAnswer
	lateWrite
	pausedOwner
	silentConnection
	lateFrames
	crashingRequest
	plannedEntryStop
	plannedAgentStop
	faultKinds
)

var faultNames = [...]string{"entryDeath", "ownerDeath", "agentDeath", "upstreamDeath", "platformDown",
	"platformSlow", "lostAnswer", "lateWrite", "pausedOwner", "silentConnection", "lateFrames",
	"crashingRequest", "plannedEntryStop", "plannedAgentStop"}

// String returns the name of the fault.
func (f fault) String() string { return faultNames[f] }

// scheduledFault is a fault and when it is injected, relative to the start of the
// traffic.
type scheduledFault struct {
	fault fault
	at    clock.Millis
}

// scheduleFaults schedules two to five random faults within window. In 40% of the
// schedules the second fault is of the same kind as the first.
func (w *world) scheduleFaults(window clock.Millis) {
	rng := w.engine.rng
	count := 2 + rng.IntN(4)
	for i := range count {
		p := scheduledFault{fault(rng.IntN(int(faultKinds))), w.engine.between(0, window)}
		if i == 1 && rng.IntN(5) < 2 {
			p.fault = w.faults[0].fault
		}
		w.faults = append(w.faults, p)
		w.engine.after(p.at, func() { w.inject(p.fault) })
	}
}

// inject injects a fault now.
func (w *world) inject(f fault) {
	e := w.engine
	switch f {
	case entryDeath:
		w.entries[e.rng.IntN(len(w.entries))].kill()
	case ownerDeath:
		w.randomOwner().kill()
	case agentDeath:
		w.agents[w.randomUpstream()].kill()
	case upstreamDeath:
		w.agents[w.randomUpstream()].crashUpstream()
	case platformDown:
		w.store.downUntil = max(w.store.downUntil, e.now+e.between(500, 6000))
	case platformSlow:
		w.store.slowUntil = max(w.store.slowUntil, e.now+e.between(500, 4000))
	case lostAnswer:
		w.store.resultsToLose += 1 + e.rng.IntN(3)
	case lateWrite:
		w.store.lateWrites += 1 + e.rng.IntN(2)
	case pausedOwner:
		w.pauseOwner()
	case silentConnection:
		w.connectionOutage()
	case lateFrames:
		w.network.disorderedUntil = max(w.network.disorderedUntil, e.now+e.between(500, 3000))
	case crashingRequest:
		w.startCrashingCaller()
	case plannedEntryStop:
		if o := w.entries[e.rng.IntN(len(w.entries))]; o.alive && !o.paused && !o.stopping && len(w.listed) > 1 {
			o.stop()
		}
	case plannedAgentStop:
		if a := w.agents[w.randomUpstream()]; a.alive {
			a.stop()
		}
	}
}

// randomOwner returns the owner of a random shard according to the list of the
// first entry.
func (w *world) randomOwner() *entry {
	return w.entryNamed(w.entries[0].ownerOf(w.engine.rng.IntN(8)))
}

func (w *world) randomUpstream() string {
	names := w.upstreamNames()
	return names[w.engine.rng.IntN(len(names))]
}

// pauseOwner pauses the owner of a random shard. If the pause is longer than
// listLag, the platform removes the entry from its list meanwhile.
func (w *world) pauseOwner() {
	o := w.randomOwner()
	if !o.alive || o.paused {
		return
	}
	o.pause()
	generation := o.generation
	duration := w.engine.between(1000, 6000)
	w.engine.after(listLag, func() {
		if o.paused && o.generation == generation && duration > listLag {
			w.unlistNow(o.name)
		}
	})
	w.engine.after(duration, func() {
		if o.generation == generation && o.alive {
			o.unpause()
			w.list(o.name)
		}
	})
}

// connectionOutage blocks a connection of an entry to an agent or to an entry.
func (w *world) connectionOutage() {
	a := w.entries[w.engine.rng.IntN(len(w.entries))].name
	b := w.randomUpstream()
	if w.engine.chance(40) {
		b = w.entries[w.engine.rng.IntN(len(w.entries))].name
	}
	w.network.blockedUntil[pair(a, b)] = w.engine.now + connectionOutage
}

// startCrashingCaller sends a request that crashes its upstream five times, each
// time as a new call through any entry.
func (w *world) startCrashingCaller() {
	body := "crash" + string(rune('a'+len(w.crashBodies)))
	w.crashBodies = append(w.crashBodies, body)
	for i := range clock.Millis(5) {
		c := &call{
			world:      w,
			id:         1000 + len(w.calls),
			customer:   "customer0",
			body:       body,
			idempotent: w.engine.chance(50),
			crashes:    true,
			timeout:    2 * clock.Second,
			open:       map[int]bool{},
		}
		w.calls = append(w.calls, c)
		w.engine.after(i*w.engine.between(100, 900), c.send)
	}
}
