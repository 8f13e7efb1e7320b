// Package routing measures the choice of upstream against baselines: first-token
// times and the share of prompt tokens found cached.
package routing

import (
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/measure/fleet"
)

// ErrInvariant reports a run in which requests got no outcome or a cold engine
// got more work than it can handle.
var ErrInvariant = errors.New("routing measurement violates an invariant")

// parallel bounds the runs that go on at a time; the machine is shared.
const parallel = 4

// policy is a way to choose upstreams; a nil rule is the product's own.
type policy struct {
	name   string
	choose choice
}

var policies = []policy{
	{"product", nil},
	{"round robin", roundRobin},
	{"least outstanding", leastOutstanding},
	{"two choices", twoChoices},
}

// outcome is what one run measured.
type outcome struct {
	summary fleet.Summary
	cached  float64
	retries float64
	over    int
}

// unanswered counts the requests that got no answer in time.
func (o outcome) unanswered() int { return o.summary.Requests - o.summary.InTime }

// Run measures every policy on every row and writes the table to out.
func Run(seed uint64, out io.Writer) error {
	results := make([][]outcome, len(rows))
	var group errgroup.Group
	group.SetLimit(parallel)
	for i, r := range rows {
		results[i] = make([]outcome, len(policies))
		for j, p := range policies {
			group.Go(func() error {
				results[i][j] = r.run(seed, p)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return report(out, results)
}

func report(out io.Writer, results [][]outcome) error {
	lowest95, lowest99, lost, over := 0, 0, 0, 0
	for i, r := range rows {
		fmt.Fprintf(out, "%s, %.0f requests/s\n", r.name, r.rate)
		best95, best99 := true, true
		own := results[i][0]
		for j, o := range results[i] {
			s := o.summary
			fmt.Fprintf(out, "  %-18s p50=%dms p95=%dms p99=%dms cached=%.2f requests=%d notInTime=%d retries=%.3f\n",
				policies[j].name, s.P50, s.P95, s.P99, o.cached, s.Requests, o.unanswered(), o.retries)
			best95 = best95 && own.summary.P95 <= s.P95
			best99 = best99 && own.summary.P99 <= s.P99
		}
		lost += own.summary.Lost
		over += own.over
		lowest95 += count(best95)
		lowest99 += count(best99)
	}
	own := results[1][0]
	fmt.Fprintf(out, "result routing p50Ms=%d p95Ms=%d p99Ms=%d cached=%.2f lowestP95=%d/%d lowestP99=%d/%d lost=%d overLimit=%d\n",
		own.summary.P50, own.summary.P95, own.summary.P99, own.cached, lowest95, len(rows), lowest99, len(rows), lost, over)
	if lost > 0 || over > 0 {
		return errors.Wrapf(ErrInvariant, "lost=%d overLimit=%d", lost, over)
	}
	return nil
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
