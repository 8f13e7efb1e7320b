// Package routing compares the choice of upstreams with baselines by the time to
// the first token and the share of prompt tokens found in prefix caches.
package routing

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/measure/fleet"
)

// ErrInvariant reports a run in which requests had no outcome or a cold engine
// received more work than it can handle.
var ErrInvariant = errors.New("routing measurement violates an invariant")

// maxParallelRuns limits the concurrent runs, to leave capacity to other users of
// the machine.
const maxParallelRuns = 4

// policy is a way to choose upstreams; a nil choose function stands for the
// product.
type policy struct {
	name   string
	choose chooseFunc
}

var policies = []policy{
	{"product", nil},
	{"round robin", roundRobin},
	{"least outstanding", leastOutstanding},
	{"two choices", twoChoices},
}

// measurement is the result of one run.
type measurement struct {
	summary     fleet.Summary
	cachedRatio float64 // prompt tokens found in prefix caches over all
	retryRatio  float64 // retries over first attempts
	overLimit   int
}

// notInTime returns the number of requests that did not complete in time.
func (m measurement) notInTime() int { return m.summary.Requests - m.summary.InTime }

// Run measures every policy in every scenario and writes the table to out.
func Run(seed uint64, out io.Writer) error {
	results := make([][]measurement, len(scenarios))
	var group errgroup.Group
	group.SetLimit(maxParallelRuns)
	for i, s := range scenarios {
		results[i] = make([]measurement, len(policies))
		for j, p := range policies {
			group.Go(func() error {
				results[i][j] = s.run(seed, p)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return report(out, results)
}

func report(out io.Writer, results [][]measurement) error {
	lowestP95, lowestP99, lost, overLimit := 0, 0, 0, 0
	for i, sc := range scenarios {
		fmt.Fprintf(out, "%s, %.0f requests/s\n", sc.name, sc.rate)
		hasLowestP95, hasLowestP99 := true, true
		product := results[i][0]
		for j, m := range results[i] {
			s := m.summary
			fmt.Fprintf(out, "  %-18s p50=%dms p95=%dms p99=%dms cached=%.2f requests=%d notInTime=%d retries=%.3f\n",
				policies[j].name, s.P50, s.P95, s.P99, m.cachedRatio, s.Requests, m.notInTime(), m.retryRatio)
			hasLowestP95 = hasLowestP95 && product.summary.P95 <= s.P95
			hasLowestP99 = hasLowestP99 && product.summary.P99 <= s.P99
		}
		lost += product.summary.Lost
		overLimit += product.overLimit
		lowestP95 += boolToInt(hasLowestP95)
		lowestP99 += boolToInt(hasLowestP99)
	}
	product := results[1][0]
	fmt.Fprintf(out, "result routing p50Ms=%d p95Ms=%d p99Ms=%d cached=%.2f lowestP95=%d/%d lowestP99=%d/%d lost=%d overLimit=%d\n",
		product.summary.P50, product.summary.P95, product.summary.P99, product.cachedRatio, lowestP95, len(scenarios), lowestP99, len(scenarios), lost, overLimit)
	if lost > 0 || overLimit > 0 {
		return errors.Wrapf(ErrInvariant, "lost=%d overLimit=%d", lost, overLimit)
	}
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
