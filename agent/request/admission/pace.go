package admission

import "goldcrestshore/core/process/clock"

// paceWeight is the weight of a new sample in the smoothed first-token time.
const paceWeight = 0.1

// pace is how fast the upstream answers.
type pace struct {
	queue      clock.Millis
	firstToken float64
}

func (p *pace) noteFirstToken(took clock.Millis) {
	if p.firstToken == 0 {
		p.firstToken = float64(took)
		return
	}
	p.firstToken += paceWeight * (float64(took) - p.firstToken)
}
