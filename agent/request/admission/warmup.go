package admission

const (
	// coldAfterSlow consecutive slow first tokens mark an upstream as cold.
	// Until then, the bound on unverified requests keeps new work within the
	// cold limit.
	coldAfterSlow = 6
	// roundsPerDoubling times the limit must complete before the limit doubles,
	// so that the limit does not outrun an upstream whose capacity grows by one
	// request with every second completion. With one round, measure/cold shows
	// such an upstream over its capacity.
	roundsPerDoubling = 2
)

// warmup adapts the concurrency limit of the upstream. Several events lower the
// limit at once; only completions raise it.
type warmup struct {
	coldLimit        int
	warmLimit        int
	limit            int
	incarnation      uint64
	incarnationKnown bool
	reportedCold     bool // the last report said cold
	epoch            uint64
	completions      int
	consecutiveSlow  int
	suspectedCold    bool // a first token was not fast and none near the low estimate followed
	baselines        [promptClasses]baseline
}

func (t *warmup) configure(cold, warm int) {
	t.coldLimit, t.warmLimit = cold, warm
	if t.limit == 0 {
		t.limit = cold
	}
	t.limit = min(t.limit, warm)
}

// cold reports whether the upstream is not known to be warm.
func (t *warmup) cold() bool { return t.limit < t.warmLimit }

// resetToCold lowers the limit to the cold limit. Requests admitted before no
// longer count as evidence of a warm upstream.
func (t *warmup) resetToCold() {
	t.limit = t.coldLimit
	t.epoch++
	t.completions = 0
	t.consecutiveSlow = 0
}

// report applies the upstream's own report. Only the change to cold counts: an
// upstream reports itself cold until it is fully warm, and meanwhile its
// completions raise the limit.
func (t *warmup) report(incarnation uint64, cold bool) {
	restarted := t.incarnationKnown && incarnation != t.incarnation
	turnedCold := cold && !t.reportedCold
	t.incarnationKnown = true
	t.incarnation = incarnation
	t.reportedCold = cold
	if restarted || turnedCold && t.limit > t.coldLimit {
		t.resetToCold()
	}
}

// recordCompletion counts a completed request that was admitted in epoch. A
// slow one counts only while the upstream reports itself cold.
func (t *warmup) recordCompletion(epoch uint64, slow bool) {
	if epoch != t.epoch || t.limit >= t.warmLimit || slow && !t.reportedCold {
		return
	}
	t.completions++
	if t.completions < roundsPerDoubling*t.limit {
		return
	}
	t.limit = min(2*t.limit, t.warmLimit)
	t.completions = 0
}

func (t *warmup) recordSlow(epoch uint64) {
	if epoch != t.epoch || t.reportedCold {
		return
	}
	t.consecutiveSlow++
	t.suspectedCold = true
	if t.consecutiveSlow >= coldAfterSlow && t.limit > t.coldLimit {
		t.resetToCold()
	}
}

func (t *warmup) recordFast(epoch uint64) {
	if epoch == t.epoch {
		t.consecutiveSlow = 0
		t.suspectedCold = false
	}
}
