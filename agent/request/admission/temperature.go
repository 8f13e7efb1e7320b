package admission

const (
	// slowRun slow first tokens without a fast one between make an upstream cold.
	// Until then, the bound on unproven work keeps new work within the cold limit.
	slowRun = 6
	// rounds times the limit must complete before the limit doubles, so that an
	// upstream that gains one place with every second completed request is not
	// outrun. With one round, measure/cold finds such an upstream over its limit.
	rounds = 2
)

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
	suspect     bool // a first token was not usual and none near the low mark followed
	baselines   [classes]baseline
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
	if t.done < rounds*t.limit {
		return
	}
	t.limit = min(2*t.limit, t.warmLimit)
	t.done = 0
}

func (t *temperature) noteSlow(epoch uint64) {
	if epoch != t.epoch || t.reported {
		return
	}
	t.slow++
	t.suspect = true
	if t.slow >= slowRun && t.limit > t.coldLimit {
		t.drop()
	}
}

func (t *temperature) noteFast(epoch uint64) {
	if epoch == t.epoch {
		t.slow = 0
		t.suspect = false
	}
}
