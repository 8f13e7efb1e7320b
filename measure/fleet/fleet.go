// Package fleet simulates engines, agents and entries in virtual time. Agents and
// entries decide with the packages of the product, or with baselines in their
// place.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"goldcrestshore/agent/request/admission"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/measure/engine"
)

// Service is the name of the modelled service.
const Service = "asistente"

// Intervals and delays of the modelled processes. Messages take localDelay within
// a data centre and remoteDelay between two.
const (
	heartbeatInterval = 250 * clock.Millis(1)
	pollInterval      = 200 * clock.Millis(1)
	tickInterval      = 50 * clock.Millis(1)
	sharesInterval    = 1 * clock.Second
	localDelay        = 1 * clock.Millis(1)
	remoteDelay       = 2 * clock.Millis(1)
	// minDrainFlagDelay and maxDrainFlagDelay bound the time in which a drain flag
	// reaches a process; the goal for the configuration is 3 s.
	minDrainFlagDelay = 50 * clock.Millis(1)
	maxDrainFlagDelay = 2500 * clock.Millis(1)
)

// DrainGracePeriod is the time after which a drained data centre must receive no
// new work.
const DrainGracePeriod = 3 * clock.Second

// Options configures a fleet. Set the fields before calling New.
type Options struct {
	Seed                   uint64
	Entries                int
	DataCentres            []string
	UpstreamsPerDataCentre int
	Limits                 admission.Limits
	Deadline               clock.Millis // time from the arrival of a request to its deadline
	Customers              []customer.Limits
	Engine                 func(i int) engine.Options
	Gate                   func(now clock.Millis, limits admission.Limits) Gate
	Router                 func(entry, dataCentre string, table *Table) Router
}

// DefaultOptions returns the deployment of the users: two entries and three data
// centres with four upstreams each.
func DefaultOptions(seed uint64) Options {
	o := engine.DefaultOptions()
	return Options{
		Seed:                   seed,
		Entries:                2,
		DataCentres:            []string{"bilbao", "oviedo", "pamplona"},
		UpstreamsPerDataCentre: 4,
		Limits:                 admission.NewLimits(o.ColdCapacity, o.Batch, 1, o.BudgetTokens),
		Deadline:               30 * clock.Second,
		Engine:                 func(int) engine.Options { return engine.DefaultOptions() },
		Gate:                   NewAdmissionGate,
		Router:                 func(_, _ string, table *Table) Router { return table },
	}
}

// Fleet is a running simulation.
type Fleet struct {
	Sim           *engine.Simulation
	options       Options
	random        *rand.Rand
	agents        []*Agent
	entries       []*Entry
	records       []*Record
	firstAttempts int
	retries       int
	lateStarts    int
}

// New starts a fleet whose processes already have their configuration and the
// list of upstreams.
func New(options Options) *Fleet {
	f := &Fleet{
		Sim:     engine.NewSimulation(),
		options: options,
		random:  rand.New(rand.NewPCG(options.Seed, 11)),
	}
	var upstreams []route.Upstream
	for i := range options.UpstreamsPerDataCentre * len(options.DataCentres) {
		a := newAgent(f, i)
		f.agents = append(f.agents, a)
		upstreams = append(upstreams, route.NewUpstream(a.name, Service, a.dataCentre))
	}
	for i := range options.Entries {
		f.entries = append(f.entries, newEntry(f, i, upstreams))
	}
	for _, a := range f.agents {
		a.run()
	}
	for _, e := range f.entries {
		e.run()
	}
	f.Sim.Every(sharesInterval, f.exchangeShares)
	return f
}

// Agents returns the agents, ordered by the names of their upstreams.
func (f *Fleet) Agents() []*Agent { return f.agents }

func (f *Fleet) agent(name string) *Agent {
	return f.agents[slices.IndexFunc(f.agents, func(a *Agent) bool { return a.name == name })]
}

// Entries returns the entries.
func (f *Fleet) Entries() []*Entry { return f.entries }

// Records returns the history of each request, in order of arrival.
func (f *Fleet) Records() []*Record { return f.records }

// LateNewWork returns how many requests were started by upstreams whose data
// centre had been drained for more than DrainGracePeriod.
func (f *Fleet) LateNewWork() int { return f.lateStarts }

// RetryRatio returns the ratio of retries to first attempts.
func (f *Fleet) RetryRatio() float64 { return float64(f.retries) / float64(max(f.firstAttempts, 1)) }

// delay returns the delay of a message from one data centre to another.
func (f *Fleet) delay(a, b string) clock.Millis {
	if a == b {
		return localDelay
	}
	return remoteDelay
}

// afterDrainFlagDelay calls fn after the random time that a drain flag takes to
// reach a process.
func (f *Fleet) afterDrainFlagDelay(fn func()) {
	f.Sim.After(minDrainFlagDelay+clock.Millis(f.random.Int64N(int64(maxDrainFlagDelay-minDrainFlagDelay))), fn)
}

// SetDrained drains a data centre or returns it to service.
func (f *Fleet) SetDrained(dataCentre string, drained bool) {
	now := f.Sim.Now()
	for _, a := range f.agents {
		if a.dataCentre != dataCentre {
			continue
		}
		a.drainedSince = 0
		if drained {
			a.drainedSince = now
		}
		f.afterDrainFlagDelay(func() { a.applyVerdicts(a.gate.DrainChanged(f.Sim.Now(), drained)) })
	}
	for _, e := range f.entries {
		f.afterDrainFlagDelay(func() {
			e.router.DrainChanged(f.Sim.Now(), dataCentre, drained)
			e.table.DrainChanged(f.Sim.Now(), dataCentre, drained)
			e.dispatch()
		})
	}
}

// exchangeShares sends the customer shares of each entry to the others.
func (f *Fleet) exchangeShares() {
	for _, e := range f.entries {
		shares := e.queue.Shares(f.Sim.Now())
		for _, other := range f.entries {
			if other != e {
				f.Sim.After(remoteDelay, func() {
					other.applyActions(other.queue.Apply(f.Sim.Now(), customer.NewShares(e.name, shares)))
				})
			}
		}
	}
}

// Offer sends a request to a random entry.
func (f *Fleet) Offer(r engine.Request) *Record {
	e := f.entries[f.random.IntN(len(f.entries))]
	return e.arrive(r)
}

// Load offers requests of w at the given mean rate for the given duration.
func (f *Fleet) Load(w *engine.Workload, duration clock.Millis, perSecond float64) {
	end := f.Sim.Now() + duration
	var offerNext func()
	offerNext = func() {
		if f.Sim.Now() >= end {
			return
		}
		f.Offer(w.Next())
		f.Sim.After(w.InterarrivalTime(perSecond), offerNext)
	}
	f.Sim.After(w.InterarrivalTime(perSecond), offerNext)
}

// requestOptions returns the options that an agent receives with a request.
func (f *Fleet) requestOptions(r *Record, now clock.Millis) frame.RequestOptions {
	return frame.NewRequestOptions(int64(r.Deadline-now), r.Request.Priority, true, true, "")
}

func upstreamName(i int) string { return fmt.Sprintf("upstream-%02d", i) }

// Upstreams returns the names and data centres of the upstreams that a fleet
// with these options has.
func Upstreams(o Options) (names, dataCentres []string) {
	for i := range o.UpstreamsPerDataCentre * len(o.DataCentres) {
		names = append(names, upstreamName(i))
		dataCentres = append(dataCentres, o.DataCentres[i%len(o.DataCentres)])
	}
	return names, dataCentres
}
