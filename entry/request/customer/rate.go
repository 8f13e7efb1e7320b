package customer

import (
	"math"

	"goldcrestshore/core/process/clock"
)

// rateTimeConstant is the time constant of the exponentially decayed request
// rates.
const rateTimeConstant = 2 * clock.Second

// meter estimates an event rate with exponential decay.
type meter struct {
	eventsPerSecond float64
	updatedAt       clock.Millis
}

func (m *meter) decay(now clock.Millis) {
	m.eventsPerSecond *= math.Exp(-float64(now-m.updatedAt) / float64(rateTimeConstant))
	m.updatedAt = now
}

func (m *meter) record(now clock.Millis) {
	m.decay(now)
	m.eventsPerSecond += float64(clock.Second) / float64(rateTimeConstant)
}

// bucket is a token bucket with a capacity of one second of its rate, and at
// least one token.
type bucket struct {
	tokens      float64
	updatedAt   clock.Millis
	initialized bool
}

// take refills the bucket at rate tokens per second and removes one token. If
// there is none, it returns false and the time until the next one.
func (b *bucket) take(now clock.Millis, rate float64) (clock.Millis, bool) {
	size := max(rate, 1)
	if !b.initialized {
		b.tokens = size
		b.initialized = true
	}
	b.tokens = min(size, b.tokens+rate*float64(now-b.updatedAt)/float64(clock.Second))
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return clock.Second, false
	}
	return clock.Millis(math.Ceil((1 - b.tokens) / rate * float64(clock.Second))), false
}
