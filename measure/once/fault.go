package once

import (
	"goldcrestshore/core/process/clock"
)

// fault is one kind of failure; the numbers document a schedule.
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

// planned is a fault at an instant of a schedule.
type planned struct {
	fault fault
	at    clock.Millis
}

// plan draws two to five faults. In two of five schedules the second one is the
// first one again.
func (w *world) plan(over clock.Millis) {
	rng := w.engine.rng
	count := 2 + rng.IntN(4)
	for i := range count {
		p := planned{fault(rng.IntN(int(faultKinds))), w.engine.between(0, over)}
		if i == 1 && rng.IntN(5) < 2 {
			p.fault = w.faults[0].fault
		}
		w.faults = append(w.faults, p)
		w.engine.after(p.at, func() { w.inject(p.fault) })
	}
}

// inject makes a fault happen now.
func (w *world) inject(f fault) {
	e := w.engine
	switch f {
	case entryDeath:
		w.entries[e.rng.IntN(len(w.entries))].kill()
	case ownerDeath:
		w.someOwner().kill()
	case agentDeath:
		w.agents[w.someUpstream()].kill()
	case upstreamDeath:
		w.agents[w.someUpstream()].crashUpstream()
	case platformDown:
		w.store.down = max(w.store.down, e.now+e.between(500, 6000))
	case platformSlow:
		w.store.slow = max(w.store.slow, e.now+e.between(500, 4000))
	case lostAnswer:
		w.store.lose += 1 + e.rng.IntN(3)
	case lateWrite:
		w.store.latePut += 1 + e.rng.IntN(2)
	case pausedOwner:
		w.pauseOwner()
	case silentConnection:
		w.silence()
	case lateFrames:
		w.network.disordered = max(w.network.disordered, e.now+e.between(500, 3000))
	case crashingRequest:
		w.crashingCaller()
	case plannedEntryStop:
		if o := w.entries[e.rng.IntN(len(w.entries))]; o.alive && !o.paused && !o.stopping && len(w.listed) > 1 {
			o.stop()
		}
	case plannedAgentStop:
		if a := w.agents[w.someUpstream()]; a.alive {
			a.stop()
		}
	}
}

// someOwner returns an entry that holds a shard, by the first entry's list.
func (w *world) someOwner() *entry {
	return w.entryNamed(w.entries[0].ownerOf(w.engine.rng.IntN(8)))
}

func (w *world) someUpstream() string {
	names := w.upstreamNames()
	return names[w.engine.rng.IntN(len(names))]
}

// pauseOwner stops an owner for longer than the list takes to drop it.
func (w *world) pauseOwner() {
	o := w.someOwner()
	if !o.alive || o.paused {
		return
	}
	o.pause()
	life := o.life
	length := w.engine.between(1000, 6000)
	w.engine.after(listLag, func() {
		if o.paused && o.life == life && length > listLag {
			w.unlistNow(o.name)
		}
	})
	w.engine.after(length, func() {
		if o.life == life && o.alive {
			o.wake()
			w.list(o.name)
		}
	})
}

// silence stops a connection of an entry to an agent or to another entry.
func (w *world) silence() {
	a := w.entries[w.engine.rng.IntN(len(w.entries))].name
	b := w.someUpstream()
	if w.engine.chance(40) {
		b = w.entries[w.engine.rng.IntN(len(w.entries))].name
	}
	w.network.silent[pair(a, b)] = w.engine.now + silence
}

// crashingCaller sends a request that crashes upstreams, as a new call each
// time, through any entry, until it gives up.
func (w *world) crashingCaller() {
	body := "crash" + string(rune('a'+len(w.crashBodies)))
	w.crashBodies = append(w.crashBodies, body)
	for i := range clock.Millis(5) {
		c := &call{
			world:      w,
			id:         1000 + len(w.all),
			customer:   "customer0",
			body:       body,
			idempotent: w.engine.chance(50),
			crashes:    true,
			patience:   2 * clock.Second,
			open:       map[int]bool{},
		}
		w.all = append(w.all, c)
		w.engine.after(i*w.engine.between(100, 900), c.send)
	}
}
