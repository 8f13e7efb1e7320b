package route

import "goldcrestshore/core/process/clock"

const (
	// startPerToken is the prefill time in ms per prompt token before any
	// request was measured.
	startPerToken = 0.2
	// paceWeight is the weight of a new sample.
	paceWeight = 0.05
	// samplePrompt is the least number of prompt tokens worth measuring; below,
	// fixed costs dominate.
	samplePrompt = 128
)

// pace is how fast the upstreams of a service work, as seen by this entry.
type pace struct {
	measured float64
}

func (p *pace) perToken() float64 {
	if p.measured == 0 {
		return startPerToken
	}
	return p.measured
}

// noteFirstToken corrects the prefill time by the part of the first-token time
// that the prediction did not explain.
func (p *pace) noteFirstToken(took, predicted clock.Millis, uncached int) {
	if uncached < samplePrompt {
		return
	}
	own := p.perToken() * float64(uncached)
	sample := max(float64(took-predicted)+own, 0.1*own) / float64(uncached)
	sample = min(sample, 4*p.perToken())
	p.measured = p.perToken() + paceWeight*(sample-p.perToken())
}
