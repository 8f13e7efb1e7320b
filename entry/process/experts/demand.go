package experts

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

// rankCounts holds the cumulative token counts of one incarnation of a rank.
type rankCounts struct {
	startedMs int64
	counts    []int64
}

// updateDemand adds the tokens counted since the previous query to the demand
// estimate, and updates the duration of a pass.
func (o *Owner) updateDemand(ranks []*rank, engine *config.Engine) {
	s := &o.state
	now := o.Clock.Now()
	s.demand.HalfLife = demandHalfLife
	if s.lastCounts == nil {
		s.lastCounts = make(map[string]rankCounts)
	}
	sum := make(placement.Loads, engine.Layers)
	for layer := range sum {
		sum[layer] = make([]float64, engine.Experts)
	}
	for _, r := range ranks {
		counts := r.reply.Counts
		previous := s.lastCounts[r.Upstream]
		s.lastCounts[r.Upstream] = rankCounts{r.report.StartTime, counts}
		if previous.startedMs != r.report.StartTime || len(counts) != engine.Layers*engine.Experts || len(previous.counts) != len(counts) {
			continue
		}
		for i, n := range counts {
			sum[i/engine.Experts][i%engine.Experts] += float64(max(n-previous.counts[i], 0))
		}
	}
	if demandShifted(s, sum) {
		s.demand.Replace(now, sum)
	} else {
		s.demand.Add(now, sum)
	}
	step := ranks[0].report.Step
	if step > s.lastStep && s.lastStepAt > 0 {
		s.passDuration = (now - s.lastStepAt) / clock.Millis(step-s.lastStep)
	}
	s.lastStep, s.lastStepAt = step, now
}

// demandShifted reports whether the counts since the previous query are so much more
// skewed on the current map than the estimate that the demand must have changed.
func demandShifted(s *state, sum placement.Loads) bool {
	if !s.mapKnown || s.demand.Loads() == nil || firstLayerTokens(sum) < minShiftTokens {
		return false
	}
	var uniform placement.Shape
	recent, earlier := uniform.Skew(s.current, sum), uniform.Skew(s.current, s.demand.Loads())
	return recent > minShiftSkew && recent > minShiftRatio*earlier
}

func firstLayerTokens(sum placement.Loads) float64 {
	tokens := 0.0
	for _, n := range sum[0] {
		tokens += n
	}
	return tokens
}

// loadMap takes the current map from the replies of the ranks, unless it is known.
func (o *Owner) loadMap(ranks []*rank) error {
	if o.state.mapKnown {
		return nil
	}
	layers := len(ranks[0].reply.Experts)
	current := make(placement.Map, layers)
	version := int64(0)
	for layer := range current {
		current[layer] = make([][]int, len(ranks))
	}
	for i, r := range ranks {
		if len(r.reply.Experts) != layers {
			return nil // retried in the next cycle
		}
		for layer := range current {
			current[layer][i] = r.reply.Experts[layer]
		}
		version = max(version, r.report.Map, r.report.Prepared)
	}
	o.state.current, o.state.version, o.state.mapKnown = current, version, layers > 0
	return nil
}
