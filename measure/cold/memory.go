package cold

import (
	"fmt"
	"io"
	"math/rand/v2"

	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// memoryRate saturates twelve engines with the mixed sizes of this case.
const memoryRate = 60

// memoryResult is the work done in time with memory reservation.
type memoryResult struct {
	ratio   float64 // over the best plain limit
	outgrew int
}

// mixedSizes are customers of which one sends prompts of twelve times the
// usual length, so that a count of requests says little about memory.
func mixedSizes() []engine.Customer {
	customers := engine.Customers()
	customers[9].Share = 0.06
	customers[9].Prefix = 6000
	customers[9].Prompt = 14_000
	customers[9].Output = 400
	return customers
}

// measureMemory compares reservation with plain limits that are safe for the
// largest requests, for the mean, and in between.
func measureMemory(seed uint64, out io.Writer) (memoryResult, error) {
	gates := []gate{
		{"reservation", fleet.NewAdmissionGate},
		{"limit 4", concurrency(4)},
		{"limit 8", concurrency(8)},
		{"limit 16", concurrency(16)},
		{"limit 32", concurrency(32)},
	}
	work := make([]float64, len(gates))
	outgrew := make([]int, len(gates))
	summaries := make([]fleet.Summary, len(gates))
	var group errgroup.Group
	group.SetLimit(4)
	for i, g := range gates {
		group.Go(func() error {
			work[i], outgrew[i], summaries[i] = memoryRun(seed, g)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return memoryResult{}, err
	}
	best := 0.0
	fmt.Fprintln(out, "memory, mixed sizes, saturated")
	for i, g := range gates {
		s := summaries[i]
		fmt.Fprintf(out, "  %-14s workInTime=%.0f tokens/s outgrew=%d broken=%d refused=%d\n", g.name, work[i], outgrew[i], s.Broken, s.Refused)
		if i > 0 {
			best = max(best, work[i])
		}
	}
	return memoryResult{ratio: work[0] / best, outgrew: outgrew[0]}, nil
}

// memoryRun returns the tokens/s of requests that were answered in time and how
// many engines died of their memory.
func memoryRun(seed uint64, g gate) (float64, int, fleet.Summary) {
	o := fleet.DefaultOptions(seed)
	o.Gate = g.make
	f := fleet.New(o)
	w := engine.NewWorkload(mixedSizes(), rand.New(rand.NewPCG(seed, 5)))
	start := f.Sim.Now() + warmUp
	f.Load(w, warmUp+measured, memoryRate)
	f.Sim.Run(warmUp + measured)
	tokens := 0
	for _, r := range f.Records() {
		if r.InTime() && r.Ended >= start {
			tokens += r.Request.Prompt + r.Request.Output
		}
	}
	perSecond := float64(tokens) / float64(measured) * float64(clock.Second)
	f.Sim.Run(settle)
	outgrew := 0
	for _, a := range f.Agents() {
		outgrew += a.Engine().Counts().OutgrewMemory
	}
	return perSecond, outgrew, fleet.Summarize(f.Records(), func(r *fleet.Record) bool { return r.Arrived >= start })
}
