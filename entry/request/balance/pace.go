package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
)

// Parts of the pause objective between which the limit stays as it is.
const (
	raiseBelow = 0.62
	lowerAbove = 0.80
	// paceInterval is the time between two changes of the limit; a change shows
	// after a pass or two.
	paceInterval clock.Millis = 300
	// pauseWeight is the weight of a new pause against the former mean.
	pauseWeight = 0.05
	// fewestRunning keeps a group busy whatever its pace.
	fewestRunning = 3
)

// pace adapts how many requests a model upstream runs to the pauses between
// events: all ranks of a group advance together, and each running request
// lengthens the pass.
type pace struct {
	mean    float64
	running int
	changed clock.Millis
}

func (p *pace) limit(e *config.Engine) int {
	if p.running == 0 {
		return e.Slots
	}
	return p.running
}

func (p *pace) observe(now, pause, objective clock.Millis, e *config.Engine) {
	if p.running == 0 {
		p.running = e.Slots
		p.mean = float64(pause)
	}
	p.mean += pauseWeight * (float64(pause) - p.mean)
	if now-p.changed < paceInterval || objective <= 0 {
		return
	}
	part := p.mean / float64(objective)
	switch {
	case part > lowerAbove && p.running > fewestRunning:
		p.running--
	case part < raiseBelow && p.running < e.Slots:
		p.running++
	default:
		return
	}
	p.changed = now
}

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
