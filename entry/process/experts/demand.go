package experts

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
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

// loadMap takes the current map from the lists in the replies of the ranks, unless it is known.
// While the lists are not a map, which one wrong byte in a reply can cause, it stays unknown and
// the lists are requested again in the next cycle.
func (o *Owner) loadMap(ranks []*rank, engine *config.Engine) {
	if o.state.mapKnown || !haveLists(ranks) {
		return
	}
	current, err := shapeOf(engine, ranks).NewMap(listsOf(ranks))
	if err != nil {
		o.logInvalidLists(ranks, err)
		return
	}
	o.listsInvalid = false
	version := int64(0)
	for _, r := range ranks {
		version = max(version, r.report.Map, r.report.Prepared)
	}
	o.state.current, o.state.version, o.state.mapKnown = current, version, true
}

// haveLists reports whether the replies were requested with lists of experts.
func haveLists(ranks []*rank) bool {
	return slices.ContainsFunc(ranks, func(r *rank) bool { return len(r.reply.Experts) > 0 })
}

// listsOf returns the lists of experts by rank and layer.
func listsOf(ranks []*rank) [][][]int {
	lists := make([][][]int, len(ranks))
	for i, r := range ranks {
		lists[i] = r.reply.Experts
	}
	return lists
}

// logInvalidLists logs that the lists are not a map, once until they are.
func (o *Owner) logInvalidLists(ranks []*rank, err error) {
	if o.listsInvalid {
		return
	}
	o.listsInvalid = true
	upstreams := make([]string, len(ranks))
	for i, r := range ranks {
		upstreams[i] = r.Upstream
	}
	o.Log.Error(event.MapUnreadable, err, event.Fields{"service": o.Service, "epoch": o.state.epoch, "upstreams": upstreams})
}
