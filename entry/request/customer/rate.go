package customer

import (
	"math"

	"goldcrestshore/core/process/clock"
)

// rateWindow is the time constant of the measured request rates.
const rateWindow = 2 * clock.Second

// meter measures a rate of events by exponential decay.
type meter struct {
	perSecond float64
	at        clock.Millis
}

func (m *meter) decay(now clock.Millis) {
	m.perSecond *= math.Exp(-float64(now-m.at) / float64(rateWindow))
	m.at = now
}

func (m *meter) note(now clock.Millis) {
	m.decay(now)
	m.perSecond += float64(clock.Second) / float64(rateWindow)
}

// bucket is a token bucket that holds at most one second's worth of its rate.
type bucket struct {
	tokens float64
	at     clock.Millis
	filled bool
}

// take removes a token at the given rate per second, or returns how long to
// wait for one.
func (b *bucket) take(now clock.Millis, rate float64) (clock.Millis, bool) {
	size := max(rate, 1)
	if !b.filled {
		b.tokens = size
		b.filled = true
	}
	b.tokens = min(size, b.tokens+rate*float64(now-b.at)/float64(clock.Second))
	b.at = now
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if rate <= 0 {
		return clock.Second, false
	}
	return clock.Millis(math.Ceil((1 - b.tokens) / rate * float64(clock.Second))), false
}
