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
	slow             int  // consecutive slow first tokens
	suspectedCold    bool // a first token was not fast and none near the low estimate followed
	baselines        [promptClasses]baseline
}

func (w *warmup) configure(cold, warm int) {
	w.coldLimit, w.warmLimit = cold, warm
	if w.limit == 0 {
		w.limit = cold
	}
	w.limit = min(w.limit, warm)
}

// cold reports whether the upstream is not known to be warm.
func (w *warmup) cold() bool { return w.limit < w.warmLimit }

// resetToCold lowers the limit to the cold limit. Requests admitted before no
// longer count as evidence of a warm upstream.
func (w *warmup) resetToCold() {
	w.limit = w.coldLimit
	w.epoch++
	w.completions = 0
	w.slow = 0
}

// report applies the upstream's own report. Only the change to cold counts: an
// upstream reports itself cold until it is fully warm, and meanwhile its
// completions raise the limit.
func (w *warmup) report(incarnation uint64, cold bool) {
	restarted := w.incarnationKnown && incarnation != w.incarnation
	turnedCold := cold && !w.reportedCold
	w.incarnationKnown = true
	w.incarnation = incarnation
	w.reportedCold = cold
	if restarted || turnedCold && w.limit > w.coldLimit {
		w.resetToCold()
	}
}

// recordCompletion counts a completed request that was admitted in epoch. A
// slow one counts only while the upstream reports itself cold.
func (w *warmup) recordCompletion(epoch uint64, slow bool) {
	if epoch != w.epoch || w.limit >= w.warmLimit || slow && !w.reportedCold {
		return
	}
	w.completions++
	if w.completions < roundsPerDoubling*w.limit {
		return
	}
	w.limit = min(2*w.limit, w.warmLimit)
	w.completions = 0
}

func (w *warmup) recordSlow(epoch uint64) {
	if epoch != w.epoch || w.reportedCold {
		return
	}
	w.slow++
	w.suspectedCold = true
	if w.slow >= coldAfterSlow && w.limit > w.coldLimit {
		w.resetToCold()
	}
}

func (w *warmup) recordFast(epoch uint64) {
	if epoch == w.epoch {
		w.slow = 0
		w.suspectedCold = false
	}
}
