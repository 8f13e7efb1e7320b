package balance

import "goldcrestshore/core/process/clock"

// rateTime is the time over which a rate is averaged.
const rateTime = 2 * clock.Second

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
	for i < len(r.times) && now-r.times[i] > rateTime {
		i++
	}
	r.times = r.times[i:]
}

func (r *rate) perSecond(now clock.Millis) float64 {
	r.trim(now)
	return float64(len(r.times)) * float64(clock.Second) / float64(rateTime)
}
