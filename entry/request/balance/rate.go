package balance

import "goldcrestshore/core/process/clock"

// rateWindow is the period over which a rate is averaged.
const rateWindow = 2 * clock.Second

// rate estimates events per second over the last rateTime.
type rate struct {
	times []clock.Millis
}

func (r *rate) add(now clock.Millis) {
	r.times = append(r.times, now)
	r.trim(now)
}

func (r *rate) trim(now clock.Millis) {
	i := 0
	for i < len(r.times) && now-r.times[i] > rateWindow {
		i++
	}
	r.times = r.times[i:]
}

func (r *rate) perSecond(now clock.Millis) float64 {
	r.trim(now)
	return float64(len(r.times)) * float64(clock.Second) / float64(rateWindow)
}

// average is an exponentially weighted moving average of a duration.
type average struct{ ms float64 }

// averageWeight is the weight of a new value in an average.
const averageWeight = 0.1

func (a *average) add(m clock.Millis) {
	if a.ms == 0 {
		a.ms = float64(m)
		return
	}
	a.ms += averageWeight * (float64(m) - a.ms)
}

func (a *average) value() clock.Millis { return clock.Millis(a.ms) }
