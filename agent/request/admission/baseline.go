package admission

import (
	"math/bits"

	"goldcrestshore/core/process/clock"
)

const (
	// slowMultiple is the multiple of the high estimate above which a first
	// token is slow.
	slowMultiple = 2.5
	// minSlowFirstToken keeps jitter in very short first-token latencies from
	// counting as slow.
	minSlowFirstToken = 100 * clock.Millis(1)
	// fastMultiple is the multiple of the high estimate up to which a first
	// token is fast.
	fastMultiple = 1.6
	// The baseline estimates two quantiles, since cached prompts get their
	// first token several times faster than others. Only latencies far above
	// the high estimate indicate a cold upstream, and after one of those only
	// latencies near the low estimate indicate a warm one: a cold upstream
	// serves cached prompts as fast as a warm one serves others. The high
	// quantile is close to 1: with nine of ten prompts cached, a lower one
	// converged to the latency of cached prompts, and when a data centre was
	// drained, the prompts that the others had not cached made all of them
	// appear cold.
	lowQuantile  = 0.2
	highQuantile = 0.97
	// quantileStep is the relative change of an estimate for each sample.
	quantileStep = 0.05
	// coldQuantileStep is used instead for slow samples and while the upstream
	// is cold: a cold start must not become the baseline, but a lasting change
	// must be adopted eventually.
	coldQuantileStep = 0.005
	// minSamples is the number of samples of a class that are needed to call
	// one slow; until then the estimates are the minimum and the maximum. With
	// fewer samples, a class that began with cached prompts classified all
	// others as slow and stayed at the cold limit.
	minSamples    = 20
	promptClasses = 32
)

// promptClass groups requests with similar first-token latencies by the
// logarithm of their prompt length.
func promptClass(promptTokens int) int {
	return min(bits.Len(uint(max(promptTokens, 0))), promptClasses-1)
}

// baseline is the usual first-token latency of one prompt class, as estimates
// of a low and a high quantile.
type baseline struct {
	samples int
	low     float64
	high    float64
}

// update moves the estimates towards their quantiles.
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

// updateQuantile returns the estimate after a sample. It converges to the value
// below which the given fraction of the samples lies.
func updateQuantile(estimate, sample, quantile, step float64) float64 {
	if sample > estimate {
		return estimate * (1 + step*quantile)
	}
	return estimate * (1 - step*(1-quantile))
}

// slow reports whether a first token after the duration took indicates a cold
// upstream.
func (b *baseline) slow(took clock.Millis) bool {
	return b.samples >= minSamples && took > minSlowFirstToken && float64(took) > slowMultiple*b.high
}

// fast reports whether a first token after the duration took indicates a warm
// upstream; suspectedCold states that an earlier one was not fast.
func (b *baseline) fast(took clock.Millis, suspectedCold bool) bool {
	if b.samples < minSamples || took <= minSlowFirstToken {
		return true
	}
	if suspectedCold {
		return float64(took) <= slowMultiple*b.low
	}
	return float64(took) <= fastMultiple*b.high
}
