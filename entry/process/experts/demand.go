package experts

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

// counted are the cumulative counts of one incarnation of a rank.
type counted struct {
	born   int64
	counts []int64
}

// observe adds the counts since the last look to the demand.
func (o *Owner) observe(ranks []*rank, engine *config.Engine) {
	s := &o.state
	now := o.Clock.Now()
	s.demand.HalfLife = demandHalfLife
	if s.last == nil {
		s.last = make(map[string]counted)
	}
	sum := make(placement.Loads, engine.Layers)
	for layer := range sum {
		sum[layer] = make([]float64, engine.Experts)
	}
	for _, r := range ranks {
		counts := r.reply.Counts
		before := s.last[r.Upstream]
		s.last[r.Upstream] = counted{r.report.Born, counts}
		if before.born != r.report.Born || len(counts) != engine.Layers*engine.Experts || len(before.counts) != len(counts) {
			continue
		}
		for i, n := range counts {
			sum[i/engine.Experts][i%engine.Experts] += float64(max(n-before.counts[i], 0))
		}
	}
	if jumped(s, sum) {
		s.demand.Replace(now, sum)
	} else {
		s.demand.Add(now, sum)
	}
	step := ranks[0].report.Step
	if step > s.lastStep && s.lastAt > 0 {
		s.pass = (now - s.lastAt) / clock.Millis(step-s.lastStep)
	}
	s.lastStep, s.lastAt = step, now
}

// jumped tells whether the counts since the last look fit the map in use so
// much worse than the earlier ones that the demand must have changed.
func jumped(s *state, sum placement.Loads) bool {
	if !s.known || s.demand.Loads() == nil || total(sum) < jumpTokens {
		return false
	}
	var alike placement.Shape
	now, before := alike.Skew(s.current, sum), alike.Skew(s.current, s.demand.Loads())
	return now > leastJump && now > jumpRatio*before
}

func total(sum placement.Loads) float64 {
	out := 0.0
	for _, n := range sum[0] {
		out += n
	}
	return out
}

// learnMap takes the map in use from the ranks, unless it is known.
func (o *Owner) learnMap(ranks []*rank) error {
	if o.state.known {
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
			return nil // asked again in the next cycle
		}
		for layer := range current {
			current[layer][i] = r.reply.Experts[layer]
		}
		version = max(version, r.report.Map, r.report.Prepared)
	}
	o.state.current, o.state.version, o.state.known = current, version, layers > 0
	return nil
}
