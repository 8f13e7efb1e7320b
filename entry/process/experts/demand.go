package experts

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

// updateDemand adds the tokens counted since the previous query to the demand
// estimate, and updates the duration of a pass.
func (o *Owner) updateDemand(ranks []*rank, engine *config.Engine) {
	s := &o.state
	now := o.Clock.Now()
	s.demand.HalfLife = demandHalfLife
	if s.counts == nil {
		s.counts = make(map[string]*rankCounts)
	}
	sum := make(placement.Loads, engine.Layers)
	for layer := range sum {
		sum[layer] = make([]float64, engine.Experts)
	}
	for _, r := range ranks {
		known := s.counts[r.Upstream]
		if known == nil || known.startTime != r.report.StartTime {
			known = &rankCounts{startTime: r.report.StartTime}
			s.counts[r.Upstream] = known
		}
		if len(r.reply.Counts) != engine.Layers*engine.Experts {
			continue
		}
		for i, n := range known.add(r.reply.Counts) {
			sum[i/engine.Experts][i%engine.Experts] += float64(r.reply.Counts[i] - n)
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
// It must be the same in two cycles: a list with a wrong number can be part of a map as well, and
// the lists are not read again. Until then the map is unknown and the lists are requested in each
// cycle.
func (o *Owner) loadMap(ranks []*rank, engine *config.Engine) {
	if o.state.mapKnown || !haveLists(ranks) {
		return
	}
	current, err := o.readMap(ranks, engine)
	if err != nil || !current.Equal(o.state.lastRead) {
		o.state.lastRead = current
		return
	}
	version := int64(0)
	for _, r := range ranks {
		version = max(version, r.report.Map, r.report.Prepared)
	}
	o.state.current, o.state.version, o.state.mapKnown = current, version, true
	o.state.lastRead = nil // read twice again after a failed change
}

// readMap returns the map that the lists in the replies of the ranks make up. It logs that they
// are not a map once until they are.
func (o *Owner) readMap(ranks []*rank, engine *config.Engine) (placement.Map, error) {
	m, err := shapeOf(engine, ranks).NewMap(listsOf(ranks))
	if err != nil && !o.listsInvalid {
		o.Log.Error(event.MapUnreadable, err, event.Fields{"service": o.Service, "epoch": o.state.epoch, "upstreams": upstreams(ranks)})
	}
	o.listsInvalid = err != nil
	return m, err
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

// upstreams returns the IDs of ranks.
func upstreams(ranks []*rank) []string {
	ids := make([]string, len(ranks))
	for i, r := range ranks {
		ids[i] = r.Upstream
	}
	return ids
}
