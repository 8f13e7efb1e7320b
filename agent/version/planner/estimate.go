package planner

import "math"

// Constants of the estimate.
const (
	// smoothingFactor is the weight of a new count against the former estimate.
	smoothingFactor = 0.2
	// jumpDeviations is how many standard deviations of a count count as a
	// change of popularity: the estimate then takes the new count at once.
	jumpDeviations = 5
)

// estimate keeps the exponentially weighted tokens per step of each expert of
// a layer.
type estimate struct {
	tokens []float64
	known  bool
}

// add takes the tokens per expert counted over a number of steps.
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
