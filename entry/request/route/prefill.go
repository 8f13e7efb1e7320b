package route

import "goldcrestshore/core/process/clock"

const (
	// initialMsPerToken is the prefill time in ms per prompt token before any
	// request was measured.
	initialMsPerToken = 0.2
	// smoothingWeight is the weight of a new sample.
	smoothingWeight = 0.05
	// minSampleTokens is the least number of prompt tokens worth measuring; below,
	// fixed costs dominate.
	minSampleTokens = 128
)

// prefillTime is how fast the upstreams of a service work, as seen by this entry.
type prefillTime struct {
	averageMs float64
}

func (p *prefillTime) msPerToken() float64 {
	if p.averageMs == 0 {
		return initialMsPerToken
	}
	return p.averageMs
}

// addSample corrects the prefill time by the part of the first-token time
// that the prediction did not explain.
func (p *prefillTime) addSample(elapsed, predicted clock.Millis, uncachedTokens int) {
	if uncachedTokens < minSampleTokens {
		return
	}
	expected := p.msPerToken() * float64(uncachedTokens)
	sample := max(float64(elapsed-predicted)+expected, 0.1*expected) / float64(uncachedTokens)
	sample = min(sample, 4*p.msPerToken())
	p.averageMs = p.msPerToken() + smoothingWeight*(sample-p.msPerToken())
}
