package admission

import "goldcrestshore/core/process/clock"

const (
	// smoothingWeight is the weight of a new sample in the moving averages.
	smoothingWeight = 0.1
	// minPromptTokens is the length of the shortest prompt from which the time
	// per token is estimated; below it, fixed costs dominate.
	minPromptTokens = 64
)

// stepInterval is the interval within which two first tokens come from the same
// batch step of the upstream.
const stepInterval = 5 * clock.Millis(1)

// latency tracks how fast the upstream processes prompts.
type latency struct {
	stepAt         clock.Millis // the first token of the latest step, of any request
	previousStepAt clock.Millis // the first token of the step before
	firstToken     float64      // moving average of the first-token latency in ms
	perToken       float64      // moving average of the time per prompt token in ms
}

// prefillDuration returns how long the upstream has worked on the first token
// of h. It starts on a prompt when it has finished those before, so that a
// queue of prompts does not make it appear slow.
func (p *latency) prefillDuration(now clock.Millis, h *inFlightRequest) clock.Millis {
	lastStep := p.stepAt
	if now-lastStep < stepInterval {
		lastStep = p.previousStepAt
	}
	return now - max(h.admittedAt, lastStep)
}

func (p *latency) recordFirstToken(now clock.Millis, h *inFlightRequest, took clock.Millis) {
	if now-p.stepAt >= stepInterval {
		p.previousStepAt = p.stepAt
		p.stepAt = now
	}
	smooth(&p.firstToken, float64(now-h.admittedAt))
	if h.promptTokens >= minPromptTokens {
		smooth(&p.perToken, float64(took)/float64(h.promptTokens))
	}
}

func smooth(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += smoothingWeight * (sample - *mean)
}
