package admission

import (
	"math/bits"

	"goldcrestshore/core/process/clock"
)

const (
	// slowMultiple times the baseline makes a first token slow. Queueing behind
	// other prompts is not part of the measured time.
	slowMultiple = 2.5
	// slowFloor keeps jitter of very short first-token times from counting.
	slowFloor = 100 * clock.Millis(1)
	// slowRun slow first tokens without a fast one between make an upstream cold.
	slowRun = 3
	// baselineWeight is the weight of a fast sample in the baseline.
	baselineWeight = 0.05
	// slowWeight is the weight of a slow sample. It is small, so that a cold
	// start does not pass for normal, and not zero, so that a lasting change of
	// the workload is learnt in the end.
	slowWeight = 0.01
	classes    = 32
)

// classOf groups requests whose first tokens take similar time, by the
// logarithm of their prompt length.
func classOf(promptTokens int) int { return min(bits.Len(uint(max(promptTokens, 0))), classes-1) }

// temperature is how much work the upstream can take. Anything may lower the
// limit at once; only completions raise it.
type temperature struct {
	coldLimit   int
	warmLimit   int
	limit       int
	incarnation uint64
	known       bool
	reported    bool // the last report said cold
	epoch       uint64
	done        int
	slow        int
	baseline    [classes]float64
}

func (t *temperature) configure(cold, warm int) {
	t.coldLimit, t.warmLimit = cold, warm
	if t.limit == 0 {
		t.limit = cold
	}
	t.limit = min(t.limit, warm)
}

// cold reports whether the upstream is not known to be warm.
func (t *temperature) cold() bool { return t.limit < t.warmLimit }

// drop puts the upstream at its cold limit. Requests admitted before prove
// nothing about it afterwards.
func (t *temperature) drop() {
	t.limit = t.coldLimit
	t.epoch++
	t.done = 0
	t.slow = 0
}

// report takes the upstream's own view. Only the change to cold counts: an
// upstream reports cold until it is quite warm, and meanwhile its completions
// raise the limit.
func (t *temperature) report(incarnation uint64, cold bool) {
	restarted := t.known && incarnation != t.incarnation
	turned := cold && !t.reported
	t.known = true
	t.incarnation = incarnation
	t.reported = cold
	if restarted || turned && t.limit > t.coldLimit {
		t.drop()
	}
}

// completed counts a request that was admitted in epoch and answered. A slow
// one counts only while the upstream says itself that it is cold.
func (t *temperature) completed(epoch uint64, slow bool) {
	if epoch != t.epoch || t.limit >= t.warmLimit || slow && !t.reported {
		return
	}
	t.done++
	if t.done < t.limit {
		return
	}
	t.limit = min(2*t.limit, t.warmLimit)
	t.done = 0
}

// observe learns from a first-token time and reports whether it was slow.
func (t *temperature) observe(class int, took clock.Millis) bool {
	slow := t.overdue(class, took)
	base := &t.baseline[class]
	switch {
	case *base == 0:
		*base = float64(took)
	case slow:
		*base += slowWeight * (float64(took) - *base)
	default:
		*base += baselineWeight * (float64(took) - *base)
	}
	return slow
}

// overdue reports whether a first token that has taken so long is slow.
func (t *temperature) overdue(class int, took clock.Millis) bool {
	base := t.baseline[class]
	return base > 0 && took > slowFloor && float64(took) > slowMultiple*base
}

func (t *temperature) noteSlow(epoch uint64) {
	if epoch != t.epoch || t.reported {
		return
	}
	t.slow++
	if t.slow >= slowRun && t.limit > t.coldLimit {
		t.drop()
	}
}

func (t *temperature) noteFast(epoch uint64) {
	if epoch == t.epoch {
		t.slow = 0
	}
}
