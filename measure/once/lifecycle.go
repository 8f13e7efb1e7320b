package once

import (
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/claim"
	"goldcrestshore/entry/request/retry"
	"goldcrestshore/entry/request/suspect"
)

func (e *entry) boot() {
	e.start()
	e.world.incarnations++
	e.incarnation = e.world.incarnations
	e.client = claim.NewClient(e.incarnation)
	e.budget = &retry.Budget{}
	for range 50 {
		// The schedules are short; an entry in production has already accumulated
		// a retry budget.
		e.budget.Handle(retry.FirstAttempt{})
	}
	e.tracker = suspect.New()
	e.pending = map[uint64]*pendingRequest{}
	e.stopping = false
	for i := range e.owners {
		e.owners[i] = claim.NewOwner(i, e.incarnation)
		e.wakeTimes[i] = 0
	}
	e.refreshList()
	e.scheduleClientTick()
	e.scheduleVerdicts()
	for _, other := range e.world.entries {
		if other != e && other.alive {
			// An entry sends its verdicts first on each new connection to an entry.
			other.sendVerdicts()
		}
	}
}

// scheduleClientTick drives the timers of the claim client.
func (e *entry) scheduleClientTick() {
	e.later(50, func() {
		e.clientEvent(claim.ClientTick{})
		e.scheduleClientTick()
	})
}

// scheduleVerdicts sends the verdicts with each heartbeat.
func (e *entry) scheduleVerdicts() {
	e.later(clock.Second, func() {
		e.sendVerdicts()
		e.scheduleVerdicts()
	})
}

func (e *entry) sendVerdicts() {
	verdicts := e.tracker.Verdicts(e.engine.now)
	if len(verdicts) == 0 {
		return
	}
	for _, other := range e.world.entries {
		if other != e {
			e.world.network.send(&e.process, &other.process, func() {
				other.suspectActions(other.tracker.Handle(other.engine.now, suspect.NewVerdictsReceived(verdicts)))
			})
		}
	}
}

// refreshList reads the platform's list, which lags behind, and opens the owned
// shards before the first request needs them.
func (e *entry) refreshList() {
	e.liveEntries = e.world.liveList()
	for shard, o := range e.owners {
		if e.ownerOf(shard) == e.name {
			e.ownerActions(shard, o.Handle(e.engine.now, claim.Open{}))
		}
	}
	e.later(500, e.refreshList)
}

// kill terminates the entry without draining and restarts it after a delay.
func (e *entry) kill() {
	if !e.alive {
		return
	}
	e.breakConnections(false)
	e.terminate()
	terminated := e.incarnation
	for _, other := range e.world.entries {
		if other != e {
			other.later(e.engine.between(1, 60), func() {
				for shard := range other.owners {
					other.ownerEvent(shard, claim.NewEntryTerminated(terminated))
				}
			})
		}
	}
	e.world.unlist(e.name)
	e.engine.after(entryRestartDelay, e.boot)
	e.engine.after(entryRestartDelay, func() { e.world.list(e.name) })
}

// breakConnections ends all pending requests by breaking the connections of their
// callers.
func (e *entry) breakConnections(planned bool) {
	for _, n := range slices.Sorted(maps.Keys(e.pending)) {
		w := e.pending[n]
		if planned {
			e.world.cutByPlannedStop++
		}
		w.done = true
		e.engine.after(1, func() { w.call.connectionBroken(w.callerAttempt) })
	}
	e.pending = map[uint64]*pendingRequest{}
}

// stop drains and restarts the entry: the load balancer sends no new requests, and
// the process ends when all pending requests have completed.
func (e *entry) stop() {
	e.stopping = true
	e.world.unlist(e.name)
	e.drain()
}

func (e *entry) drain() {
	e.later(100, func() {
		if len(e.pending) > 0 {
			e.drain()
			return
		}
		e.terminate()
		e.engine.after(entryRestartDelay, e.boot)
		e.engine.after(entryRestartDelay, func() { e.world.list(e.name) })
	})
}
