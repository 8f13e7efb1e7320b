package route

import "goldcrestshore/core/process/clock"

const (
	// initialMsPerToken is the assumed prefill time per prompt token until the
	// first sample.
	initialMsPerToken = 0.2
	// smoothingWeight is the weight of a new sample in the moving average.
	smoothingWeight = 0.05
	// minSampleTokens is the minimum number of uncached prompt tokens of a sample.
	// For shorter prompts, fixed costs dominate.
	minSampleTokens = 128
)

// prefill estimates the prefill time per prompt token of the upstreams of a
// service from the first-token times that this entry observes.
type prefill struct {
	averageMs float64 // 0 before the first sample
}

func (p *prefill) msPerToken() float64 {
	if p.averageMs == 0 {
		return initialMsPerToken
	}
	return p.averageMs
}

// addSample corrects the estimate by the difference between the observed and the
// predicted first-token time.
func (p *prefill) addSample(elapsed, predicted clock.Millis, uncachedTokens int) {
	if uncachedTokens < minSampleTokens {
		return
	}
	expected := p.msPerToken() * float64(uncachedTokens)
	sample := max(float64(elapsed-predicted)+expected, 0.1*expected) / float64(uncachedTokens)
	sample = min(sample, 4*p.msPerToken())
	p.averageMs = p.msPerToken() + smoothingWeight*(sample-p.msPerToken())
}
