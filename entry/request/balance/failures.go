package balance

import (
	"math"

	"goldcrestshore/core/process/clock"
)

const (
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.2
	// failureHalfLife is the time in which the failure rate halves without a new outcome. An
	// upstream that gets no requests because of it shows in no other way that it works again.
	failureHalfLife = 3 * clock.Second
	// minFailureRate is the failure rate below which an upstream counts as sound.
	minFailureRate = 0.05
)

// failureRate is the moving average share of failed attempts at an upstream, from 0 to 1.
type failureRate struct {
	value float64
	// recordedAt is when the last outcome was recorded.
	recordedAt clock.Millis
}

// at returns the failure rate at a time.
func (r failureRate) at(now clock.Millis) float64 {
	if r.value < minFailureRate {
		return 0
	}
	halvings := float64(now-r.recordedAt) / float64(failureHalfLife)
	value := r.value * math.Exp2(-halvings)
	if value < minFailureRate {
		return 0
	}
	return value
}

// record records the outcome of an attempt.
func (r *failureRate) record(now clock.Millis, failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	r.value = r.at(now) + failureWeight*(outcome-r.at(now))
	r.recordedAt = now
}
