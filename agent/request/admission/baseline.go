package admission

import (
	"math/bits"

	"goldcrestshore/core/process/clock"
)

const (
	// slowMultiple times the baseline makes a first token slow.
	slowMultiple = 2.5
	// minSlowFirstToken keeps the jitter of very short first-token times from counting.
	minSlowFirstToken = 100 * clock.Millis(1)
	// fastMultiple times the high mark is still usual.
	fastMultiple = 1.6
	// The baseline has two marks, since cached prompts are answered several
	// times faster than others. Only times far above the high mark show a cold
	// upstream, and once there was one, only times near the low mark show a warm
	// one: a cold upstream answers cached prompts as fast as a warm one others.
	// The high mark is far up: with nine of ten prompts cached, a lower one fell
	// to the time of cached prompts, and when a data centre left, the prompts that
	// the others had not cached made all of them look cold.
	lowQuantile  = 0.2
	highQuantile = 0.97
	// quantileStep is the relative size of a correction of a mark.
	quantileStep = 0.05
	// coldQuantileStep is used instead for slow samples and while the upstream is cold: a
	// cold start must not pass for normal, but a lasting change is learnt in the
	// end.
	coldQuantileStep = 0.005
	// minSamples samples of a class are needed to call one slow; until then the marks
	// are the least and the greatest. With fewer, a class that began with cached
	// prompts took all others for slow and stayed at the cold limit.
	minSamples    = 20
	promptClasses = 32
)

// promptClass groups requests whose first tokens take similar time, by the
// logarithm of their prompt length.
func promptClass(promptTokens int) int {
	return min(bits.Len(uint(max(promptTokens, 0))), promptClasses-1)
}

// baseline is the usual first-token time of one class.
type baseline struct {
	samples int
	low     float64
	high    float64
}

// update moves the marks towards their quantiles.
func (b *baseline) update(took clock.Millis, cold bool) {
	sample := max(float64(took), 1)
	b.samples++
	if b.samples == 1 {
		b.low, b.high = sample, sample
	}
	if b.samples <= minSamples {
		b.low, b.high = min(b.low, sample), max(b.high, sample)
		return
	}
	step := quantileStep
	if cold || b.slow(took) {
		step = coldQuantileStep
	}
	b.low = updateQuantile(b.low, sample, lowQuantile, step)
	b.high = updateQuantile(b.high, sample, highQuantile, step)
}

// updateQuantile returns the mark after a sample: in balance, the given part of the
// samples is below it.
func updateQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * (1 + step*quantile)
	}
	return estimate * (1 - step*(1-quantile))
}

// slow reports whether a first token that took so long shows a cold upstream.
func (b *baseline) slow(took clock.Millis) bool {
	return b.samples >= minSamples && took > minSlowFirstToken && float64(took) > slowMultiple*b.high
}

// fast reports whether a first token that took so long proves a warm upstream;
// suspect tells that slow ones came before.
func (b *baseline) fast(took clock.Millis, suspectedCold bool) bool {
	if b.samples < minSamples || took <= minSlowFirstToken {
		return true
	}
	if suspectedCold {
		return float64(took) <= slowMultiple*b.low
	}
	return float64(took) <= fastMultiple*b.high
}
