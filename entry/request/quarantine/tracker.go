package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

const (
	// crashesToQuarantine is the number of crashes under a fingerprint after which it is
	// quarantined. After one, it cannot be told from others that were in flight.
	crashesToQuarantine = 2
	// crashTTL is how long a crash counts.
	crashTTL = 10 * clock.Minute
	// firstQuarantine is the duration of a quarantine after the last crash. It doubles, up
	// to maxQuarantine, with each renewal.
	firstQuarantine = 5 * clock.Minute
	maxQuarantine   = clock.Hour
	// maxDoublings keeps the duration from overflowing.
	maxDoublings = 10
	// settleTime is the time after a crash until its cause is decided, so that the crashes
	// of upstreams that fail together are known. Until then requests like those that may be
	// the cause are refused.
	settleTime clock.Millis = 150
	// blockTTL is how long after its end a quarantine is remembered. A single crash
	// within that time renews it.
	blockTTL = 10 * clock.Minute
)

// Tracker holds the state of the quarantine as one entry knows it. The zero value is
// ready to use. It is not safe for concurrent use.
type Tracker struct {
	crashes map[incarnation]Crash
	blocks  map[Fingerprint]Block
	history history
	// undecided holds the fingerprints that are refused until decideAt. decideAt is 0 if
	// there is nothing to decide.
	undecided map[Fingerprint]bool
	decideAt  clock.Millis
	// repeated holds the time of the last crash of what findRepeated has found.
	repeated map[Fingerprint]clock.Millis
	// added holds the fingerprints whose quarantine has begun since the last call of
	// TakeAdded.
	added []Fingerprint
}

// incarnation identifies one start of an upstream.
type incarnation struct {
	upstream  string
	startTime int64
}

func (c Crash) incarnation() incarnation { return incarnation{c.Upstream, c.StartTime} }

// Arrived counts a request and reports, like Blocked, whether it is refused.
func (t *Tracker) Arrived(now clock.Millis, request Request) (remaining clock.Millis, blocked bool) {
	t.history.arrived(now, request)
	return t.Blocked(now, request)
}

// Blocked reports whether a request is refused, and how long its quarantine still lasts. A
// fingerprint with which requests of this entry have succeeded lately is not refused: it
// occurred together with the one that crashes upstreams.
func (t *Tracker) Blocked(now clock.Millis, request Request) (remaining clock.Millis, blocked bool) {
	t.Decide(now)
	t.history.expire(now)
	remaining = t.blockRepeated(now, request)
	for _, f := range request.fingerprints {
		if t.history.succeeded(f) {
			continue
		}
		remaining = max(remaining, t.blocks[f].Until-now)
		if t.undecided[f] {
			remaining = max(remaining, t.decideAt-now)
		}
	}
	return remaining, remaining > 0
}

// Succeeded records that an upstream has responded to a request without crashing.
func (t *Tracker) Succeeded(now clock.Millis, request Request) {
	t.history.recordSuccess(now, request)
	if at, known := t.history.warmAt(); known && t.decideAt != 0 {
		t.decideAt = min(t.decideAt, at)
	}
}

// Crashed records that an incarnation of an upstream has crashed while it was running a
// request. It reports whether that is worth sharing.
func (t *Tracker) Crashed(now clock.Millis, upstream string, startTime int64, request Request) bool {
	t.history.expire(now)
	unproven := slices.DeleteFunc(slices.Clone(request.fingerprints), t.history.succeeded)
	if len(unproven) == 0 {
		return false
	}
	t.Merge(now, State{Crashes: []Crash{{Upstream: upstream, StartTime: startTime, At: now, Requests: [][]Fingerprint{unproven}}}})
	return true
}

// Merge adds the state that another entry knows. Neither the order of merges nor duplicates
// matter.
func (t *Tracker) Merge(now clock.Millis, s State) {
	t.history.expire(now)
	for _, b := range s.Blocks {
		t.mergeBlock(now, b)
	}
	for _, c := range s.Crashes {
		t.mergeCrash(now, c)
	}
	t.expire(now)
	t.decide(now)
}

// Decide quarantines the causes of crashes that have been known for long enough. It does
// nothing before DecideAt.
func (t *Tracker) Decide(now clock.Millis) {
	if t.decideAt != 0 && now >= t.decideAt {
		t.decide(now)
	}
}

// DecideAt returns when Decide should be called, or 0.
func (t *Tracker) DecideAt() clock.Millis { return t.decideAt }

// HasAdded reports whether a quarantine has begun since the last call of TakeAdded.
func (t *Tracker) HasAdded() bool { return len(t.added) > 0 }

// TakeAdded returns the fingerprints whose quarantine has begun since the last call.
func (t *Tracker) TakeAdded() []Fingerprint {
	added := t.added
	t.added = nil
	return added
}

func (t *Tracker) decide(now clock.Millis) {
	t.undecided, t.decideAt = nil, 0
	t.extendBlocks()
	crashes := t.unexplainedCrashes()
	t.repeated = findRepeated(crashes, &t.history)
	if at, known := t.history.warmAt(); !known || now < at {
		if known && len(t.crashes) > 0 {
			t.decideAt = at
		}
		return
	}
	for _, s := range findCauses(crashes, &t.history) {
		due := s.lastCrash() + settleTime
		if now >= due {
			t.mergeBlock(now, Block{Fingerprint: s.fingerprint, Until: s.lastCrash() + Block{}.duration()})
			continue
		}
		if t.undecided == nil {
			t.undecided = make(map[Fingerprint]bool)
		}
		t.undecided[s.fingerprint] = true
		t.decideAt = max(t.decideAt, due)
	}
}

// Empty reports whether there is no crash and no quarantine to share.
func (t *Tracker) Empty() bool { return len(t.crashes) == 0 && len(t.blocks) == 0 }

// Crashes returns the number of crashes that count.
func (t *Tracker) Crashes() int { return len(t.crashes) }

// Active returns the number of fingerprints in quarantine.
func (t *Tracker) Active(now clock.Millis) int {
	n := 0
	for _, b := range t.blocks {
		if now < b.Until {
			n++
		}
	}
	return n
}

// State returns the state to share, in an order that depends on its content alone.
func (t *Tracker) State(now clock.Millis) State {
	t.expire(now)
	return State{
		Crashes: slices.SortedFunc(maps.Values(t.crashes), compareCrashes),
		Blocks: slices.SortedFunc(maps.Values(t.blocks), func(a, b Block) int {
			return cmp.Compare(a.Fingerprint, b.Fingerprint)
		}),
	}
}

func compareCrashes(a, b Crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.StartTime, b.StartTime))
}

// duration returns how long the quarantine lasts after the last crash.
func (b Block) duration() clock.Millis {
	return min(firstQuarantine<<min(b.Renewals, maxDoublings), maxQuarantine)
}

func (t *Tracker) mergeBlock(now clock.Millis, b Block) {
	if t.blocks == nil {
		t.blocks = make(map[Fingerprint]Block)
	}
	known := t.blocks[b.Fingerprint]
	if now >= known.Until && now < b.Until {
		t.added = append(t.added, b.Fingerprint)
	}
	b.Until = min(max(b.Until, known.Until), now+maxQuarantine)
	b.Renewals = max(b.Renewals, known.Renewals)
	t.blocks[b.Fingerprint] = b
}

// mergeCrash adds a crash, or requests to a known one. Its time is the earliest that an
// entry has seen; clocks of entries differ, and a time to come would never expire.
func (t *Tracker) mergeCrash(now clock.Millis, c Crash) {
	if t.crashes == nil {
		t.crashes = make(map[incarnation]Crash)
	}
	c.At = min(c.At, now)
	if known, found := t.crashes[c.incarnation()]; found {
		c.At = min(c.At, known.At)
		c.Requests = append(slices.Clone(known.Requests), c.Requests...)
	}
	c.Requests = c.boundedRequests()
	t.crashes[c.incarnation()] = c
}

// boundedRequests returns at most maxRequestsPerCrash of the requests, without duplicates and in
// order. Which ones it leaves out differs from crash to crash, so that the cause of several crashes
// is kept at some, and does not depend on the order in which they became known.
func (c Crash) boundedRequests() [][]Fingerprint {
	out := slices.Clone(c.Requests)
	slices.SortFunc(out, slices.Compare[[]Fingerprint])
	out = slices.CompactFunc(out, slices.Equal[[]Fingerprint])
	if len(out) <= maxRequestsPerCrash {
		return out
	}
	slices.SortStableFunc(out, func(a, b []Fingerprint) int { return cmp.Compare(c.rank(a), c.rank(b)) })
	out = out[:maxRequestsPerCrash]
	slices.SortFunc(out, slices.Compare[[]Fingerprint])
	return out
}

// rank orders the requests of a crash at random.
func (c Crash) rank(request []Fingerprint) Fingerprint {
	values := []string{c.Upstream, strconv.FormatInt(c.StartTime, 10)}
	for _, f := range request {
		values = append(values, f.String())
	}
	return fingerprint.OfValues(values...)
}

// extendBlocks makes each quarantine last until its duration after the last crash under
// its fingerprint, and renews the ones that had ended before a crash.
func (t *Tracker) extendBlocks() {
	for _, c := range slices.SortedFunc(maps.Values(t.crashes), compareCrashes) {
		for _, f := range distinct(c.Requests) {
			b, found := t.blocks[f]
			if !found {
				continue
			}
			if c.At >= b.Until {
				b.Renewals++
				t.added = append(t.added, f)
			}
			b.Until = max(b.Until, c.At+b.duration())
			t.blocks[f] = b
		}
	}
}

// expire removes what no longer counts and what exceeds the bounds.
func (t *Tracker) expire(now clock.Millis) {
	maps.DeleteFunc(t.crashes, func(_ incarnation, c Crash) bool { return now-c.At > crashTTL })
	maps.DeleteFunc(t.blocks, func(_ Fingerprint, b Block) bool { return now-b.Until > blockTTL })
	for len(t.crashes) > maxCrashes {
		delete(t.crashes, slices.MinFunc(slices.Collect(maps.Values(t.crashes)), compareCrashes).incarnation())
	}
	for len(t.blocks) > maxBlocks {
		delete(t.blocks, slices.MinFunc(slices.Collect(maps.Values(t.blocks)), func(a, b Block) int {
			return cmp.Or(cmp.Compare(a.Until, b.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
		}).Fingerprint)
	}
}

// unexplainedCrashes returns the crashes without a request that has a fingerprint in
// quarantine, in the order of their time.
func (t *Tracker) unexplainedCrashes() []Crash {
	all := slices.SortedFunc(maps.Values(t.crashes), compareCrashes)
	return slices.DeleteFunc(all, func(c Crash) bool {
		return slices.ContainsFunc(distinct(c.Requests), func(f Fingerprint) bool {
			_, found := t.blocks[f]
			return found
		})
	})
}

// distinct returns the fingerprints of requests without duplicates.
func distinct(requests [][]Fingerprint) []Fingerprint {
	all := slices.Concat(requests...)
	slices.Sort(all)
	return slices.Compact(all)
}
