// Package fairness measures how much a flood of requests from one customer, of
// normal or tiny size, delays the first tokens of small customers.
package fairness

import (
	"fmt"
	"io"
	"math/rand/v2"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/measure/engine"
	"goldcrestshore/measure/fleet"
)

// ErrInvariant reports requests without an outcome.
var ErrInvariant = errors.New("fairness measurement violates an invariant")

const (
	// rate is the load in requests/s without a flood.
	rate = 40
	// normalFloodRate and tinyFloodRate are the additional loads in requests/s of
	// a flood of normal requests and of tiny requests.
	normalFloodRate = 60
	tinyFloodRate   = 300
	warmUp          = 120 * clock.Second
	measureDuration = 90 * clock.Second
	// completionTime lets the last requests complete.
	completionTime = 45 * clock.Second
	// maxRatio is the goal for the p95 of small customers, relative to the run
	// without a flood.
	maxRatio = 1.2
	// limitRate (requests/s) and limitConcurrent (requests in flight) are the limits
	// of each customer. A large customer sends about 10 requests/s.
	limitRate       = 15
	limitConcurrent = 100
)

// scenario describes one run; a nil flood is none.
type scenario struct {
	name    string
	limited bool
	flood   *engine.Customer
	rate    float64
}

func scenarios() []scenario {
	normal := engine.Customers()[0]
	tiny := normal
	tiny.Prefix, tiny.Prompt, tiny.Output = 0, 20, 4
	var all []scenario
	for _, limited := range []bool{true, false} {
		all = append(all,
			scenario{"no flood", limited, nil, 0},
			scenario{"flood", limited, &normal, normalFloodRate},
			scenario{"tiny requests", limited, &tiny, tinyFloodRate},
		)
	}
	return all
}

// Run measures the floods with and without limits and writes the report to out.
// The goal applies to the runs with limits; without limits, only the fair queue
// protects small customers.
func Run(seed uint64, out io.Writer) error {
	tested := scenarios()
	smallCustomers := make([]fleet.Summary, len(tested))
	lost := make([]int, len(tested))
	var group errgroup.Group
	group.SetLimit(4)
	for i, s := range tested {
		group.Go(func() error {
			smallCustomers[i], lost[i] = s.run(seed)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	ratios := make([]float64, len(tested))
	totalLost := 0
	for i, s := range tested {
		noFlood := smallCustomers[i-i%3]
		ratios[i] = float64(smallCustomers[i].P95) / float64(max(noFlood.P95, 1))
		totalLost += lost[i]
		fmt.Fprintf(out, "limits=%-5t %-14s small customers: requests=%d notInTime=%d p50=%dms p95=%dms p99=%dms ratio=%.2f\n",
			s.limited, s.name, smallCustomers[i].Requests, smallCustomers[i].Requests-smallCustomers[i].InTime, smallCustomers[i].P50, smallCustomers[i].P95, smallCustomers[i].P99, ratios[i])
	}
	met := ratios[1] <= maxRatio && ratios[2] <= maxRatio
	fmt.Fprintf(out, "result fairness flood=%.2f tiny=%.2f floodUnlimited=%.2f tinyUnlimited=%.2f goalMet=%t lost=%d\n",
		ratios[1], ratios[2], ratios[4], ratios[5], met, totalLost)
	if totalLost > 0 {
		return errors.Wrapf(ErrInvariant, "lost=%d", totalLost)
	}
	return nil
}

func (s scenario) run(seed uint64) (fleet.Summary, int) {
	o := fleet.DefaultOptions(seed)
	for _, c := range engine.Customers() {
		l := customer.NewLimits(c.Name, 1, 0, 0)
		if s.limited {
			l = customer.NewLimits(c.Name, 1, limitRate, limitConcurrent)
		}
		o.Customers = append(o.Customers, l)
	}
	f := fleet.New(o)
	w := engine.NewWorkload(engine.Customers(), rand.New(rand.NewPCG(seed, 5)))
	f.Load(w, warmUp+measureDuration, rate)
	f.Sim.Run(warmUp)
	start := f.Sim.Now()
	if s.flood != nil {
		flood := engine.NewWorkload([]engine.Customer{*s.flood}, rand.New(rand.NewPCG(seed, 6)))
		f.Load(flood, measureDuration, s.rate)
	}
	f.Sim.Run(measureDuration + completionTime)
	lost := fleet.Summarize(f.Records(), nil).Lost
	return fleet.Summarize(f.Records(), func(r *fleet.Record) bool {
		return r.Arrived >= start && isSmall(r.Request.Customer)
	}), lost
}

// isSmall reports whether a customer is not one of the three large ones.
func isSmall(name string) bool {
	for i, c := range engine.Customers() {
		if c.Name == name {
			return i >= 3
		}
	}
	return false
}
