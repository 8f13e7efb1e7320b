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

// memoryRate is the load in requests/s that saturates twelve engines with the
// requests of mixedSizes.
const memoryRate = 60

// memoryResult is the result of the runs with memory reservation.
type memoryResult struct {
	ratio       float64 // work completed in time, relative to the best fixed limit
	outOfMemory int     // engines that ran out of memory
}

// mixedSizes returns customers of which one sends prompts of twelve times the
// usual length, so that the number of requests does not predict memory use.
func mixedSizes() []engine.Customer {
	customers := engine.Customers()
	customers[9].Share = 0.06
	customers[9].Prefix = 6000
	customers[9].Prompt = 14_000
	customers[9].Output = 400
	return customers
}

// measureMemory compares reservation with fixed limits that are safe for the
// largest requests, for the mean, and in between.
func measureMemory(seed uint64, out io.Writer) (memoryResult, error) {
	gates := []gate{
		{"reservation", fleet.NewAdmissionGate},
		{"limit 4", fixedLimit(4)},
		{"limit 8", fixedLimit(8)},
		{"limit 16", fixedLimit(16)},
		{"limit 32", fixedLimit(32)},
	}
	workInTime := make([]float64, len(gates))
	outOfMemory := make([]int, len(gates))
	summaries := make([]fleet.Summary, len(gates))
	var group errgroup.Group
	group.SetLimit(4)
	for i, g := range gates {
		group.Go(func() error {
			workInTime[i], outOfMemory[i], summaries[i] = runMemory(seed, g)
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
		fmt.Fprintf(out, "  %-14s workInTime=%.0f tokens/s outgrew=%d broken=%d refused=%d\n", g.name, workInTime[i], outOfMemory[i], s.Broken, s.Refused)
		if i > 0 {
			best = max(best, workInTime[i])
		}
	}
	return memoryResult{ratio: workInTime[0] / best, outOfMemory: outOfMemory[0]}, nil
}

// runMemory returns the tokens/s of requests that completed in time, the number
// of engines that ran out of memory, and the summary of the measured requests.
func runMemory(seed uint64, g gate) (float64, int, fleet.Summary) {
	o := fleet.DefaultOptions(seed)
	o.Gate = g.make
	f := fleet.New(o)
	w := engine.NewWorkload(mixedSizes(), rand.New(rand.NewPCG(seed, 5)))
	start := f.Sim.Now() + warmUp
	f.Load(w, warmUp+measureDuration, memoryRate)
	f.Sim.Run(warmUp + measureDuration)
	tokens := 0
	for _, r := range f.Records() {
		if r.InTime() && r.Ended >= start {
			tokens += r.Request.Prompt + r.Request.Output
		}
	}
	perSecond := float64(tokens) / float64(measureDuration) * float64(clock.Second)
	f.Sim.Run(completionTime)
	outOfMemory := 0
	for _, a := range f.Agents() {
		outOfMemory += a.Engine().Counts().OutOfMemory
	}
	return perSecond, outOfMemory, fleet.Summarize(f.Records(), func(r *fleet.Record) bool { return r.Arrived >= start })
}
