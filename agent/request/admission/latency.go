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
// of r. It starts on a prompt when it has finished those before, so that a
// queue of prompts does not make it appear slow.
func (l *latency) prefillDuration(now clock.Millis, r *inFlight) clock.Millis {
	lastStep := l.stepAt
	if now-lastStep < stepInterval {
		lastStep = l.previousStepAt
	}
	return now - max(r.admittedAt, lastStep)
}

func (l *latency) recordFirstToken(now clock.Millis, r *inFlight, took clock.Millis) {
	if now-l.stepAt >= stepInterval {
		l.previousStepAt = l.stepAt
		l.stepAt = now
	}
	smooth(&l.firstToken, float64(now-r.admittedAt))
	if r.promptLength >= minPromptTokens {
		smooth(&l.perToken, float64(took)/float64(r.promptLength))
	}
}

func smooth(mean *float64, sample float64) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += smoothingWeight * (sample - *mean)
}
