package planner

import "math"

// Parameters of the estimate.
const (
	// smoothingFactor is the weight of a new count relative to the previous
	// estimate.
	smoothingFactor = 0.2
	// jumpDeviations is the number of standard deviations beyond which a count
	// is treated as a change of popularity. The estimate is then set to the new
	// count without smoothing.
	jumpDeviations = 5
)

// estimate holds an exponentially weighted moving average of the tokens per step
// of each expert of a layer.
type estimate struct {
	tokens []float64
	known  bool
}

// add updates the estimate with the tokens per expert counted over a number of
// steps.
func (s *estimate) add(counts []uint32, steps int) {
	if steps <= 0 {
		return
	}
	for e, n := range counts {
		value := float64(n) / float64(steps)
		deviation := math.Sqrt(max(s.tokens[e], 1) / float64(steps))
		if !s.known || math.Abs(value-s.tokens[e]) > jumpDeviations*deviation {
			s.tokens[e] = value
			continue
		}
		s.tokens[e] += smoothingFactor * (value - s.tokens[e])
	}
	s.known = true
}
