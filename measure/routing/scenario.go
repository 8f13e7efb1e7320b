package routing

import (
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// Rates in requests/s for twelve engines, which carry about 65 when saturated.
const (
	halfRate = 30
	highRate = 45
	peakRate = 55
)

// Spans of one run.
const (
	warmUp   = 120 * clock.Second
	measured = 120 * clock.Second
	settle   = 60 * clock.Second
)

// row is one workload of the table.
type row struct {
	name      string
	rate      float64
	customers func() []engine.Customer
	engine    func(i int) engine.Options
	fault     func(f *fleet.Fleet)
}

// rows are the workloads that every policy runs.
var rows = []row{
	{name: "steady, half load", rate: halfRate},
	{name: "steady, high load", rate: highRate},
	{name: "steady, peak load", rate: peakRate},
	{name: "one customer with 60%", rate: highRate, customers: oneLarge},
	{name: "no shared prompts", rate: halfRate, customers: unshared},
	{name: "two engines at half speed", rate: highRate, engine: twoSlow},
	{name: "late reports, lost events", rate: highRate, engine: lateReports},
	{name: "two engines crash", rate: highRate, fault: crashTwo},
}

func oneLarge() []engine.Customer {
	customers := engine.Customers()
	for i := range customers {
		customers[i].Share = 0.4 / float64(len(customers)-1)
	}
	customers[0].Share = 0.6
	return customers
}

func unshared() []engine.Customer {
	customers := engine.Customers()
	for i := range customers {
		customers[i].Templates = 100_000
	}
	return customers
}

func twoSlow(i int) engine.Options {
	o := engine.DefaultOptions()
	if i < 2 {
		o.Speed = 2
	}
	return o
}

func lateReports(int) engine.Options {
	o := engine.DefaultOptions()
	o.ReportLag = 1 * clock.Second
	o.EventDelay = 3 * clock.Second
	o.GapPercent = 20
	return o
}

func crashTwo(f *fleet.Fleet) {
	f.Sim.After(warmUp+20*clock.Second, f.Agents()[3].Engine().Crash)
	f.Sim.After(warmUp+60*clock.Second, f.Agents()[7].Engine().Crash)
}

// run measures one policy on one row.
func (r row) run(seed uint64, p policy) outcome {
	o := fleet.DefaultOptions(seed)
	if r.engine != nil {
		o.Engine = r.engine
	}
	if p.choose != nil {
		o.Router = func(entry, _ string, _ *fleet.Table) fleet.Router {
			names, centres := fleet.Upstreams(o)
			return newBaseline(p.choose, names, centres, rand.New(rand.NewPCG(seed, uint64(len(entry))+7)))
		}
	}
	customers := engine.Customers
	if r.customers != nil {
		customers = r.customers
	}
	f := fleet.New(o)
	if r.fault != nil {
		r.fault(f)
	}
	w := engine.NewWorkload(customers(), rand.New(rand.NewPCG(seed, 5)))
	from := f.Sim.Now() + warmUp
	f.Load(w, warmUp+measured, r.rate)
	f.Sim.Run(warmUp)
	before := cacheCounts(f)
	f.Sim.Run(measured + settle)
	counts := cacheCounts(f)
	return outcome{
		summary: fleet.Summarize(f.Records(), func(rec *fleet.Record) bool { return rec.Arrived >= from }),
		cached:  float64(counts.CachedTokens-before.CachedTokens) / float64(max(counts.PromptTokens-before.PromptTokens, 1)),
		retries: f.RetryShare(),
		over:    counts.OverLimit,
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
