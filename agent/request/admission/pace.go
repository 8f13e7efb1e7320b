package admission

import "goldcrestshore/core/process/clock"

const (
	// paceWeight is the weight of a new sample in the smoothed times.
	paceWeight = 0.1
	// paceTokens is the least number of prompt tokens from which the time per
	// token is learnt; below, fixed costs dominate.
	paceTokens = 64
)

// sameStep is the time within which two first tokens come from the same step of
// the upstream.
const sameStep = 5 * clock.Millis(1)

// latency is how fast the upstream answers.
type latency struct {
	answeredAt clock.Millis // the latest first token of any request
	beforeAt   clock.Millis // the first token of the step before
	firstToken float64      // smoothed first-token time in ms
	perToken   float64      // smoothed time in ms per prompt token
}

// served returns how long the upstream has worked on the first token of h. It
// starts on a prompt when it is done with those before, so that a queue of
// prompts does not make it look slow.
func (p *latency) served(now clock.Millis, h *inFlightRequest) clock.Millis {
	before := p.answeredAt
	if now-before < sameStep {
		before = p.beforeAt
	}
	return now - max(h.admittedAt, before)
}

func (p *latency) noteFirstToken(now clock.Millis, h *inFlightRequest, took clock.Millis) {
	if now-p.answeredAt >= sameStep {
		p.beforeAt = p.answeredAt
		p.answeredAt = now
	}
	smooth(&p.firstToken, float64(now-h.admittedAt))
	if h.promptTokens >= paceTokens {
		smooth(&p.perToken, float64(took)/float64(h.promptTokens))
	}
}

func smooth(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += paceWeight * (sample - *mean)
}
