// Package cold measures cold starts: whether an engine ever receives more work
// than it can handle and how long the warm-up takes, compared with a time-based
// ramp. It also compares memory reservation with a fixed concurrency limit.
package cold

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/agent/request/admission"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// ErrInvariant reports a cold engine that received more work than it can handle,
// an engine that ran out of memory, or a request without an outcome.
var ErrInvariant = errors.New("cold measurement violates an invariant")

const (
	// rate is the load in requests/s, half the capacity of twelve engines.
	rate            = 30
	warmUp          = 60 * clock.Second
	measureDuration = 120 * clock.Second
	// completionTime lets the last requests complete.
	completionTime = 60 * clock.Second
	// slowRampInterval and fastRampInterval are the times in which a time-based
	// ramp doubles its limit. The slow ramp is long enough for the slowest engine
	// measured; the fast ramp fits the default engine.
	slowRampInterval = 20 * clock.Second
	fastRampInterval = 5 * clock.Second
)

// fault is a scenario in which engines become cold.
type fault struct {
	name    string
	engine  func() engine.Options
	entries int
	apply   func(f *fleet.Fleet)
	affects func(i int) bool
}

func onlyIndex3(i int) bool { return i == 3 }
func allIndexes(int) bool   { return true }

var faults = []fault{
	{name: "crash and restart", apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().Crash() }, affects: onlyIndex3},
	{name: "sudden, unannounced", apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().TurnCold() }, affects: onlyIndex3},
	{name: "sudden, reports lag 1 s", engine: laggingReports, apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().TurnCold() }, affects: onlyIndex3},
	{name: "sudden, reports never say so", engine: hiddenCold, apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().TurnCold() }, affects: onlyIndex3},
	{name: "crash, agent restarts too", apply: crashEngineAndAgent, affects: onlyIndex3},
	{name: "agent restarts under load", apply: func(f *fleet.Fleet) { f.Agents()[3].Restart() }, affects: onlyIndex3},
	{name: "agent restarts, engine turns cold", apply: func(f *fleet.Fleet) {
		f.Agents()[3].Engine().TurnCold()
		f.Agents()[3].Restart()
	}, affects: onlyIndex3},
	{name: "cold twice", apply: coldTwice, affects: onlyIndex3},
	{name: "six entries", entries: 6, apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().Crash() }, affects: onlyIndex3},
	{name: "all together", apply: crashAll, affects: allIndexes},
	{name: "slow to warm up", engine: slowWarming, apply: func(f *fleet.Fleet) { f.Agents()[3].Engine().Crash() }, affects: onlyIndex3},
}

func laggingReports() engine.Options {
	o := engine.DefaultOptions()
	o.ReportLag = 1 * clock.Second
	return o
}

func hiddenCold() engine.Options {
	o := engine.DefaultOptions()
	o.OmitCold = true
	return o
}

// slowWarming returns an engine that gains one slot per two completions, half of
// the gain that doubling by completions assumes.
func slowWarming() engine.Options {
	o := engine.DefaultOptions()
	o.WarmPerCompletion = 0.5
	return o
}

func crashEngineAndAgent(f *fleet.Fleet) {
	a := f.Agents()[3]
	a.Engine().Crash()
	f.Sim.After(2*clock.Second, a.Restart)
}

func coldTwice(f *fleet.Fleet) {
	a := f.Agents()[3]
	a.Engine().TurnCold()
	f.Sim.After(15*clock.Second, a.Engine().Crash)
}

func crashAll(f *fleet.Fleet) {
	for _, a := range f.Agents() {
		a.Engine().Crash()
	}
}

// gate is an admission policy under test.
type gate struct {
	name string
	make func(clock.Millis, admission.Limits) fleet.Gate
}

func gates() []gate {
	o := engine.DefaultOptions()
	return []gate{
		{"product", fleet.NewAdmissionGate},
		{"ramp of 60 s", fixedRamp(o.ColdCapacity, o.Batch, slowRampInterval)},
		{"ramp of 15 s", fixedRamp(o.ColdCapacity, o.Batch, fastRampInterval)},
	}
}

// measurement is the result of one run.
type measurement struct {
	overLimit       int
	crashes         int
	engineWarmAfter clock.Millis // time until the affected engines are warm, 0 for never
	limitWarmAfter  clock.Millis // time until the agents admit the warm limit, 0 for never
	summary         fleet.Summary
}

// Run measures every fault with every gate, then memory reservation, and writes
// the report to out.
func Run(seed uint64, out io.Writer) error {
	tested := gates()
	results := make([][]measurement, len(faults))
	var group errgroup.Group
	group.SetLimit(4)
	for i, f := range faults {
		results[i] = make([]measurement, len(tested))
		for j, g := range tested {
			group.Go(func() error {
				results[i][j] = f.run(seed, g)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	overLimit, lost := 0, 0
	var warmUpTime, rampTime clock.Millis
	for i, f := range faults {
		fmt.Fprintln(out, f.name)
		for j, m := range results[i] {
			fmt.Fprintf(out, "  %-14s overLimit=%d crashes=%d engineWarmMs=%d limitWarmMs=%d p95=%dms notInTime=%d\n",
				tested[j].name, m.overLimit, m.crashes, m.engineWarmAfter, m.limitWarmAfter, m.summary.P95, m.summary.Requests-m.summary.InTime)
		}
		overLimit += results[i][0].overLimit
		lost += results[i][0].summary.Lost
	}
	warmUpTime, rampTime = results[0][0].limitWarmAfter, results[0][1].limitWarmAfter
	memory, err := measureMemory(seed, out)
	fmt.Fprintf(out, "result cold overLimit=%d lost=%d warmUpMs=%d fixedRampMs=%d workInTimeVsConcurrency=%.2f outgrew=%d\n",
		overLimit, lost, warmUpTime, rampTime, memory.ratio, memory.outOfMemory)
	if err != nil {
		return err
	}
	if overLimit > 0 || lost > 0 || memory.outOfMemory > 0 {
		return errors.Wrapf(ErrInvariant, "overLimit=%d lost=%d outgrew=%d", overLimit, lost, memory.outOfMemory)
	}
	return nil
}

func (c fault) run(seed uint64, g gate) measurement {
	o := fleet.DefaultOptions(seed)
	o.Gate = g.make
	if c.engine != nil {
		o.Engine = func(int) engine.Options { return c.engine() }
	}
	if c.entries > 0 {
		o.Entries = c.entries
	}
	f := fleet.New(o)
	w := engine.NewWorkload(engine.Customers(), rand.New(rand.NewPCG(seed, 5)))
	f.Load(w, warmUp+measureDuration, rate)
	f.Sim.Run(warmUp)
	start := f.Sim.Now()
	c.apply(f)
	result := measurement{}
	for f.Sim.Now() < start+measureDuration {
		f.Sim.Run(100)
		elapsed := f.Sim.Now() - start
		enginesWarm, limitsWarm := c.warm(f)
		result.engineWarmAfter = holdingSince(result.engineWarmAfter, enginesWarm, elapsed)
		result.limitWarmAfter = holdingSince(result.limitWarmAfter, limitsWarm, elapsed)
	}
	f.Sim.Run(completionTime)
	for _, a := range f.Agents() {
		counts := a.Engine().Counts()
		result.overLimit += counts.OverLimit
		result.crashes += counts.Crashes
	}
	result.summary = fleet.Summarize(f.Records(), func(r *fleet.Record) bool { return r.Arrived >= start })
	return result
}

// warm reports whether the affected engines are warm and whether their agents
// admit the warm limit.
func (c fault) warm(f *fleet.Fleet) (enginesWarm, limitsWarm bool) {
	enginesWarm, limitsWarm = true, true
	for i, a := range f.Agents() {
		if !c.affects(i) {
			continue
		}
		enginesWarm = enginesWarm && a.Engine().Up() && !a.Engine().Cold()
		limitsWarm = limitsWarm && a.Limit() == engine.DefaultOptions().Batch
	}
	return enginesWarm, limitsWarm
}

// holdingSince returns the time since which a condition has held without
// interruption, or 0 if it does not hold now.
func holdingSince(previous clock.Millis, holds bool, elapsed clock.Millis) clock.Millis {
	switch {
	case !holds:
		return 0
	case previous == 0:
		return elapsed
	}
	return previous
}
