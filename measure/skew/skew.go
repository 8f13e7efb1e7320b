package skew

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/version/planner"
	"goldcrestshore/core/process/clock"
)

// series holds the skew of each sampled step per layer.
type series [4][]float64

// ErrMixed reports that ranks used different maps in one step.
var ErrMixed = errors.New("ranks used different expert maps in one step")

// Run simulates an hour and writes a table per layer and policy.
func Run(seed uint64, out io.Writer) error {
	w := newWorkload(seed)
	first := firstLayers(w)
	plan := newPlannerPolicy(seed, first)
	full := newRepack("repack", first, everyInterval)
	exact := &oracle{label: "exact", layers: first}
	delayedExact := &oracle{label: "exact5s", delay: countDelay + stepDuration, layers: first}
	limited := &storeBound{layers: slices.Clone(first)}
	policies := []policy{
		plan, &never{first}, full, newRepack("threshold", first, overThreshold), exact, delayedExact, limited,
	}
	results := make([]series, len(policies))
	simulate(w, simulatedSeconds, policies, &bounds{[]*oracle{exact, delayedExact}, limited}, results)
	fmt.Fprintf(out, "seed %d, %d sampled steps a layer, skew = slowest rank over mean\n", seed, simulatedSeconds)
	for i, p := range policies {
		writeTable(out, p, &results[i])
	}
	steps, mixed := plan.group.Steps()
	perLayer := float64(shape.Layers)
	fmt.Fprintf(out, "planner: %d map changes in %d steps; processor time of a plan per layer: p99 %.2f ms, longest %.2f ms\n",
		plan.changes, steps, quantile(plan.planMillis, 99)/perLayer, slices.Max(plan.planMillis)/perLayer)
	mean, p95 := summary(flat(&results[0]))
	neverMean, _ := summary(flat(&results[1]))
	repackMean, _ := summary(flat(&results[2]))
	fmt.Fprintf(out, "result skew mean=%.4f p95=%.4f movedShare=%.4f vsNever=%.4f vsRepack=%.4f mixedMapSteps=%d\n",
		mean, p95, float64(plan.moved())/float64(full.moved()), mean/neverMean, mean/repackMean, mixed)
	if mixed > 0 {
		return errors.Wrapf(ErrMixed, "%d steps", mixed)
	}
	return nil
}

// firstLayers packs the initial layers of all policies, as if the tokens had been
// counted for a long time before.
func firstLayers(w *workload) []*planner.Layer {
	var layers []*planner.Layer
	for i := range shape.Layers {
		layers = append(layers, planner.Pack(shape, w.expected(i)))
	}
	return layers
}

// delayedReport is a report of token counts in transit to the policies.
type delayedReport struct {
	dueAt  clock.Millis
	layer  int
	tokens []uint32
}

// simulate runs the policies and samples one step per second, at a random instant
// within the second. exact may be nil.
func simulate(w *workload, seconds int, policies []policy, exact *bounds, results []series) {
	updatePopularity(w, exact, 0)
	var reports []delayedReport
	for second := range seconds {
		now := clock.Millis(second) * clock.Second
		if w.advance(second) {
			updatePopularity(w, exact, now)
		}
		for i := range shape.Layers {
			for end := windowDuration; end <= clock.Second; end += windowDuration {
				reports = append(reports, delayedReport{now + end + countDelay, i, w.report(i)})
			}
		}
		sampled := planInterval * clock.Millis(w.random.IntN(int(clock.Second/planInterval)))
		for offset := clock.Millis(0); offset < clock.Second; offset += planInterval {
			reports = deliver(reports, policies, now+offset)
			for _, p := range policies {
				p.advance(now + offset)
			}
			if offset == sampled {
				sample(w, policies, results)
			}
		}
	}
}

// bounds holds the policies that receive the exact popularity.
type bounds struct {
	exact   []*oracle
	limited *storeBound
}

// updatePopularity passes the current exact popularity to the bounds.
func updatePopularity(w *workload, b *bounds, now clock.Millis) {
	if b == nil {
		return
	}
	layers := packExact(w)
	for _, o := range b.exact {
		o.updatePopularity(layers, now)
	}
	b.limited.updatePopularity(w, now)
}

// sample draws the tokens of one step and records the skew of each policy.
func sample(w *workload, policies []policy, results []series) {
	counts := make([]int, shape.Experts)
	perRank := make([]int, shape.Ranks)
	for i := range shape.Layers {
		w.sample(i, counts)
		for k, p := range policies {
			p.layer(i).Tokens(counts, perRank)
			results[k][i] = append(results[k][i], skewOf(perRank))
		}
	}
}

// deliver passes the due reports to the policies and returns the rest.
func deliver(reports []delayedReport, policies []policy, now clock.Millis) []delayedReport {
	var rest []delayedReport
	for _, r := range reports {
		if r.dueAt > now {
			rest = append(rest, r)
			continue
		}
		for _, p := range policies {
			p.addCounts(r.layer, r.tokens)
		}
	}
	return rest
}

// skewOf returns the ratio of the largest load to the mean load.
func skewOf(perRank []int) float64 {
	total := 0
	for _, n := range perRank {
		total += n
	}
	return float64(slices.Max(perRank)) * float64(len(perRank)) / float64(total)
}

func writeTable(out io.Writer, p policy, s *series) {
	for i, values := range s {
		mean, p95 := summary(values)
		fmt.Fprintf(out, "%-10s layer %d (exponent %.1f): mean %.4f p95 %.4f max %.3f\n",
			p.name(), i, exponents[i], mean, p95, slices.Max(values))
	}
	mean, p95 := summary(flat(s))
	fmt.Fprintf(out, "%-10s all layers: mean %.4f p95 %.4f, %.2f%% of steps above %.2f, moved %d\n",
		p.name(), mean, p95, shareAbove(flat(s), p95Goal)*100, p95Goal, p.moved())
}

func flat(s *series) []float64 {
	var all []float64
	for _, values := range s {
		all = append(all, values...)
	}
	return all
}

// summary returns the mean and the 95th percentile.
func summary(values []float64) (mean, p95 float64) {
	sorted := slices.Clone(values)
	slices.SortFunc(sorted, cmp.Compare[float64])
	for _, v := range sorted {
		mean += v
	}
	return mean / float64(len(sorted)), quantile(sorted, 95)
}

// p95Goal is the goal for the 95th percentile of the skew, from docs/design.md
// section 5.
const p95Goal = 1.15

func shareAbove(values []float64, limit float64) float64 {
	n := 0
	for _, v := range values {
		if v > limit {
			n++
		}
	}
	return float64(n) / float64(len(values))
}

func quantile(values []float64, percent int) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)*percent/100]
}
