package fleet

import (
	"math/rand/v2"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/measure/engine"
)

// Agent models the agent process of one engine.
type Agent struct {
	fleet        *Fleet
	name         string
	dataCentre   string
	engine       *engine.Engine
	gate         Gate
	calls        map[frame.ID]*call
	restarts     int          // callbacks from before the last restart are ignored
	drainedSince clock.Millis // 0 while not drained
}

// call is a request that an agent received and has not ended.
type call struct {
	id     frame.ID
	entry  *Entry
	record *Record
}

func newAgent(f *Fleet, i int) *Agent {
	dataCentres := f.options.DataCentres
	a := &Agent{
		fleet:      f,
		name:       upstreamName(i),
		dataCentre: dataCentres[i%len(dataCentres)],
		engine:     engine.New(f.Sim, f.options.Engine(i), rand.New(rand.NewPCG(f.options.Seed, 100+uint64(i)))),
		calls:      make(map[frame.ID]*call),
	}
	a.gate = f.options.Gate(f.Sim.Now(), f.options.Limits)
	return a
}

func (a *Agent) run() {
	sim := a.fleet.Sim
	a.engine.OnCacheEvent = func(e engine.CacheEvent) {
		for _, entry := range a.fleet.entries {
			sim.After(a.fleet.delay(a.dataCentre, entry.dataCentre), func() {
				entry.router.CacheEvent(sim.Now(), a.name, e)
			})
		}
	}
	// Processes are not synchronized: each starts its timers at a random offset.
	sim.After(clock.Millis(a.fleet.random.Int64N(int64(pollInterval))), func() { sim.Every(pollInterval, a.poll) })
	sim.After(clock.Millis(a.fleet.random.Int64N(int64(heartbeatInterval))), func() { sim.Every(heartbeatInterval, a.sendHeartbeats) })
	sim.Every(tickInterval, func() { a.applyVerdicts(a.gate.Tick(sim.Now())) })
}

// Name returns the name of the upstream.
func (a *Agent) Name() string { return a.name }

// DataCentre returns the data centre of the upstream.
func (a *Agent) DataCentre() string { return a.dataCentre }

// Engine returns the engine of the upstream.
func (a *Agent) Engine() *engine.Engine { return a.engine }

// Limit returns the number of requests that the agent admits concurrently.
func (a *Agent) Limit() int { return a.gate.Load(a.fleet.Sim.Now()).Occupancy().Limit() }

// Cold reports whether the agent considers its upstream cold.
func (a *Agent) Cold() bool { return a.gate.Load(a.fleet.Sim.Now()).Condition().Cold() }

// Restart replaces the agent process. Its responses are interrupted, while the
// engine continues the jobs that it has.
func (a *Agent) Restart() {
	a.restarts++
	calls := a.calls
	a.calls = make(map[frame.ID]*call)
	a.gate = a.fleet.options.Gate(a.fleet.Sim.Now(), a.fleet.options.Limits)
	for _, id := range sortedIDs(calls) {
		c := calls[id]
		a.reply(c, func() { c.entry.ended(c.id, false) })
	}
	a.sendHeartbeats()
}

// poll passes a load report of the engine, or its crash, to the gate.
func (a *Agent) poll() {
	load, ok := a.engine.Load()
	if !ok {
		a.applyVerdicts(a.gate.Crash(a.fleet.Sim.Now()))
		return
	}
	a.applyVerdicts(a.gate.Report(a.fleet.Sim.Now(), load))
}

// sendHeartbeats sends the load of the upstream to every entry.
func (a *Agent) sendHeartbeats() {
	load := a.gate.Load(a.fleet.Sim.Now())
	for _, e := range a.fleet.entries {
		a.fleet.Sim.After(a.fleet.delay(a.dataCentre, e.dataCentre), func() { e.heartbeat(a, load) })
	}
}

// submit passes a request of an entry to the gate.
func (a *Agent) submit(c *call) {
	a.calls[c.id] = c
	now := a.fleet.Sim.Now()
	size := frame.NewSize(c.record.Request.Prompt, c.record.Request.MaxTokens)
	a.applyVerdicts(a.gate.Submit(now, c.id, a.fleet.requestOptions(c.record, now), size))
}

// applyVerdicts starts the admitted requests and refuses the others. It then
// sends heartbeats if the gate requires them.
func (a *Agent) applyVerdicts(verdicts []Verdict) {
	for _, v := range verdicts {
		c := a.calls[v.ID]
		if c == nil {
			continue
		}
		if v.Code != "" {
			a.refuse(c, v.Code)
			continue
		}
		a.start(c)
	}
	if a.gate.TakeHeartbeatDue() {
		a.sendHeartbeats()
	}
}

func (a *Agent) refuse(c *call, code outcome.Code) {
	delete(a.calls, c.id)
	a.reply(c, func() { c.entry.refused(c.id, a, code) })
}

// start passes an admitted request to the engine.
func (a *Agent) start(c *call) {
	sim, restarts := a.fleet.Sim, a.restarts
	if a.drainedSince > 0 && sim.Now() > a.drainedSince+DrainGracePeriod {
		a.fleet.lateStarts++
	}
	r := c.record.Request
	job := &engine.Job{Prompt: r.Prompt, Prefixes: r.Prefixes, Output: r.Output, Priority: r.Priority}
	job.OnFirstToken = func() {
		if a.restarts == restarts {
			a.reply(c, func() { c.entry.firstToken(c.id) })
			a.applyVerdicts(a.gate.FirstToken(sim.Now(), c.id))
		}
	}
	job.OnEnd = func(ok bool) {
		if a.restarts == restarts {
			a.end(c, ok)
		}
	}
	if !a.engine.Submit(job) {
		a.applyVerdicts(a.gate.Crash(sim.Now()))
		a.applyVerdicts(a.gate.Complete(sim.Now(), c.id, false))
		a.refuse(c, outcome.NoUpstream)
	}
}

func (a *Agent) end(c *call, ok bool) {
	delete(a.calls, c.id)
	a.reply(c, func() { c.entry.ended(c.id, ok) })
	now := a.fleet.Sim.Now()
	if !ok {
		a.applyVerdicts(a.gate.Crash(now))
	}
	a.applyVerdicts(a.gate.Complete(now, c.id, ok))
}

// reply calls deliver after the delay of a message to the entry of the call.
func (a *Agent) reply(c *call, deliver func()) {
	a.fleet.Sim.After(a.fleet.delay(a.dataCentre, c.entry.dataCentre), deliver)
}
