package routing

import (
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// Rates in requests/s for twelve engines, whose capacity is about 65 requests/s.
const (
	halfRate = 30
	highRate = 45
	peakRate = 55
)

// Durations of the phases of a run.
const (
	warmUp          = 120 * clock.Second
	measureDuration = 120 * clock.Second
	completionTime  = 60 * clock.Second // lets the last requests complete
)

// scenario is a workload and, optionally, a kind of engine and a fault.
type scenario struct {
	name      string
	rate      float64
	customers func() []engine.Customer
	engine    func(i int) engine.Options
	fault     func(f *fleet.Fleet)
}

// scenarios lists the scenarios in which every policy is measured.
var scenarios = []scenario{
	{name: "steady, half load", rate: halfRate},
	{name: "steady, high load", rate: highRate},
	{name: "steady, peak load", rate: peakRate},
	{name: "one customer with 60%", rate: highRate, customers: oneLargeCustomer},
	{name: "no shared prompts", rate: halfRate, customers: unsharedPrompts},
	{name: "two engines at half speed", rate: highRate, engine: twoSlowEngines},
	{name: "late reports, lost events", rate: highRate, engine: lateReports},
	{name: "two engines crash", rate: highRate, fault: crashTwoEngines},
}

func oneLargeCustomer() []engine.Customer {
	customers := engine.Customers()
	for i := range customers {
		customers[i].Share = 0.4 / float64(len(customers)-1)
	}
	customers[0].Share = 0.6
	return customers
}

func unsharedPrompts() []engine.Customer {
	customers := engine.Customers()
	for i := range customers {
		customers[i].Templates = 100_000
	}
	return customers
}

func twoSlowEngines(i int) engine.Options {
	o := engine.DefaultOptions()
	if i < 2 {
		o.Slowdown = 2
	}
	return o
}

func lateReports(int) engine.Options {
	o := engine.DefaultOptions()
	o.ReportLag = 1 * clock.Second
	o.EventDelay = 3 * clock.Second
	o.EventLossPercent = 20
	return o
}

func crashTwoEngines(f *fleet.Fleet) {
	f.Sim.After(warmUp+20*clock.Second, f.Agents()[3].Engine().Crash)
	f.Sim.After(warmUp+60*clock.Second, f.Agents()[7].Engine().Crash)
}

// run measures one policy in the scenario.
func (s scenario) run(seed uint64, p policy) measurement {
	o := fleet.DefaultOptions(seed)
	if s.engine != nil {
		o.Engine = s.engine
	}
	if p.choose != nil {
		o.Router = func(entry, _ string, _ *fleet.Table) fleet.Router {
			names, dataCentres := fleet.Upstreams(o)
			return newBaseline(p.choose, names, dataCentres, rand.New(rand.NewPCG(seed, uint64(len(entry))+7)))
		}
	}
	customers := engine.Customers
	if s.customers != nil {
		customers = s.customers
	}
	f := fleet.New(o)
	if s.fault != nil {
		s.fault(f)
	}
	w := engine.NewWorkload(customers(), rand.New(rand.NewPCG(seed, 5)))
	start := f.Sim.Now() + warmUp
	f.Load(w, warmUp+measureDuration, s.rate)
	f.Sim.Run(warmUp)
	before := cacheCounts(f)
	f.Sim.Run(measureDuration + completionTime)
	counts := cacheCounts(f)
	return measurement{
		summary:     fleet.Summarize(f.Records(), func(rec *fleet.Record) bool { return rec.Arrived >= start }),
		cachedRatio: float64(counts.CachedTokens-before.CachedTokens) / float64(max(counts.PromptTokens-before.PromptTokens, 1)),
		retryRatio:  f.RetryRatio(),
		overLimit:   counts.OverLimit,
	}
}

func cacheCounts(f *fleet.Fleet) engine.Counts {
	var sum engine.Counts
	for _, a := range f.Agents() {
		c := a.Engine().Counts()
		sum.CachedTokens += c.CachedTokens
		sum.PromptTokens += c.PromptTokens
		sum.OverLimit += c.OverLimit
	}
	return sum
}
