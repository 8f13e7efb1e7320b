package suspect

import (
	"cmp"
	"maps"
	"slices"
	"strconv"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/request/outcome"
)

const (
	// crashesToQuarantine is the number of upstreams that one fingerprint may
	// crash before it is refused.
	crashesToQuarantine = 2
	// maxRecords bounds the memory and the size of a heartbeat. A crash creates one
	// suspect per request in flight at the upstream, a few hundred at most.
	maxRecords = 1024
	// maxCrashes bounds the crashes recorded per fingerprint.
	maxCrashes = 4
	// suspectTTL is long enough for an upstream to restart and a caller to retry.
	suspectTTL = 10 * clock.Minute
	// quarantineTTL leaves the customer time to react to the refusals.
	quarantineTTL = clock.Hour
	// heartbeatTimeout is four heartbeat intervals of an agent without a heartbeat
	// from any instance.
	heartbeatTimeout = clock.Second
	// catchUpDelay is one heartbeat interval of an agent plus transmission. After a
	// heartbeat timeout, the first messages received are old ones that were queued
	// while this process was paused.
	catchUpDelay = 300 * clock.Millis(1)
	// retryAfterMs is the retry delay sent while another suspect runs or no upstream
	// is available.
	retryAfterMs = 500
)

type record struct {
	crashes     []Crash
	cleared     []Crash
	quarantined bool
	expires     clock.Millis
}

type inFlightRequest struct {
	fingerprint Fingerprint
	upstream    string
}

// Tracker holds the suspects known to one entry. It must be created by New and is
// not safe for concurrent use.
type Tracker struct {
	records  map[Fingerprint]*record
	inFlight map[uint64]inFlightRequest
	// attributed holds the crashes attributed to quarantined fingerprints.
	attributed    map[Crash]bool
	lastHeartbeat clock.Millis // 0 until the first HeartbeatReceived
	// caughtUpAt is when the messages queued during a heartbeat timeout are assumed
	// to have been processed.
	caughtUpAt clock.Millis
}

// New returns a tracker without suspects.
func New() *Tracker {
	return &Tracker{records: map[Fingerprint]*record{}, inFlight: map[uint64]inFlightRequest{}}
}

// Len returns the number of fingerprints recorded.
func (t *Tracker) Len() int { return len(t.records) }

// Handle applies an event that occurred at now and returns the resulting actions.
// Arrived results in exactly one action.
func (t *Tracker) Handle(now clock.Millis, e Event) []Action {
	t.expire(now)
	switch e := e.(type) {
	case Arrived:
		if t.lastHeartbeat != 0 && now-t.lastHeartbeat > heartbeatTimeout || now < t.caughtUpAt {
			return []Action{Wait{}}
		}
		return []Action{t.handleArrived(e)}
	case HeartbeatReceived:
		if t.lastHeartbeat != 0 && now-t.lastHeartbeat > heartbeatTimeout {
			t.caughtUpAt = now + catchUpDelay
		}
		t.lastHeartbeat = now
	case Sent:
		t.inFlight[e.request] = inFlightRequest{e.fingerprint, e.upstream}
	case Completed:
		return t.handleCompleted(e.request)
	case Ended:
		delete(t.inFlight, e.request)
	case Crashed:
		return t.handleCrashed(now, e)
	case VerdictsReceived:
		return t.handleVerdicts(now, e.verdicts)
	}
	return nil
}

// Verdicts returns the verdicts to send to other entries, sorted by fingerprint.
func (t *Tracker) Verdicts(now clock.Millis) []Verdict {
	t.expire(now)
	all := make([]Verdict, 0, len(t.records))
	for _, f := range slices.Sorted(maps.Keys(t.records)) {
		r := t.records[f]
		all = append(all, Verdict{f, slices.Clone(r.crashes), slices.Clone(r.cleared), r.quarantined, r.expires - now})
	}
	return all
}

func (t *Tracker) handleArrived(e Arrived) Action {
	r := t.records[e.fingerprint]
	if r == nil || (!r.quarantined && len(t.activeCrashes(r)) == 0) {
		return Allow{}
	}
	if r.quarantined {
		return Refuse{outcome.Refuse(outcome.Quarantined, outcome.NotRun, 0)}
	}
	// Every entry derives the same upstream, so that duplicates sent through
	// several entries at once can crash only that one.
	top := rendezvous.Top(strconv.FormatUint(uint64(e.fingerprint), 16), e.upstreams, 1)
	if len(top) == 0 {
		return Refuse{outcome.Refuse(outcome.NoUpstream, outcome.NotRun, retryAfterMs)}
	}
	if t.suspectRunsOn(top[0]) {
		return Refuse{outcome.Refuse(outcome.Overloaded, outcome.NotRun, retryAfterMs)}
	}
	return Isolate{top[0]}
}

func (t *Tracker) suspectRunsOn(upstream string) bool {
	for _, f := range t.inFlight {
		r := t.records[f.fingerprint]
		if f.upstream == upstream && r != nil && len(t.activeCrashes(r)) > 0 {
			return true
		}
	}
	return false
}

func (t *Tracker) handleCompleted(request uint64) []Action {
	f, ok := t.inFlight[request]
	delete(t.inFlight, request)
	r := t.records[f.fingerprint]
	if !ok || r == nil || r.quarantined || len(t.activeCrashes(r)) == 0 {
		return nil
	}
	r.cleared = union(r.cleared, r.crashes)
	return []Action{Announce{}}
}

func (t *Tracker) handleCrashed(now clock.Millis, e Crashed) []Action {
	crash := CrashOf(e.upstream, e.incarnation)
	changed := false
	for _, f := range sortedUnique(e.fingerprints) {
		changed = t.mergeRecord(now, f, []Crash{crash}, nil, false, suspectTTL) || changed
	}
	if !changed {
		return nil
	}
	t.attributeCrashes()
	return append([]Action{Announce{}}, t.cancelQuarantined()...)
}

// InFlight returns the fingerprints of the requests that this entry has in flight
// on an upstream.
func (t *Tracker) InFlight(upstream string) []Fingerprint {
	var all []Fingerprint
	for _, f := range t.inFlight {
		if f.upstream == upstream {
			all = append(all, f.fingerprint)
		}
	}
	return sortedUnique(all)
}

// sortedUnique returns the fingerprints sorted and without duplicates, so that
// equal events have equal effects.
func sortedUnique(fingerprints []Fingerprint) []Fingerprint {
	all := slices.Clone(fingerprints)
	slices.Sort(all)
	return slices.Compact(all)
}

// handleVerdicts forwards new information at once, so that one slow connection
// does not keep an entry out of date. Duplicates are not forwarded, which ends
// the propagation.
func (t *Tracker) handleVerdicts(now clock.Millis, verdicts []Verdict) []Action {
	var actions []Action
	for _, v := range verdicts {
		if t.mergeRecord(now, v.fingerprint, v.crashes, v.cleared, v.quarantined, min(v.remaining, quarantineTTL)) {
			actions = []Action{Announce{}}
		}
	}
	if actions != nil {
		t.attributeCrashes()
	}
	return append(actions, t.cancelQuarantined()...)
}

// mergeRecord merges new information into the record of f and reports whether the
// record changed. Merging is commutative and idempotent, so the order of messages
// does not matter.
func (t *Tracker) mergeRecord(now clock.Millis, f Fingerprint, crashes, cleared []Crash, quarantined bool, ttl clock.Millis) bool {
	r := t.records[f]
	if r == nil {
		if ttl <= 0 {
			return false
		}
		t.evictIfFull()
		r = &record{expires: now + ttl}
		t.records[f] = r
	}
	crashesBefore := len(r.crashes) + len(r.cleared)
	wasQuarantined := r.quarantined
	r.crashes = union(r.crashes, crashes)
	r.cleared = union(r.cleared, cleared)
	r.quarantined = r.quarantined || quarantined || len(t.activeCrashes(r)) >= crashesToQuarantine
	changed := len(r.crashes)+len(r.cleared) != crashesBefore || r.quarantined != wasQuarantined
	if changed {
		// Only new information extends the expiry. Otherwise duplicates that two
		// entries send each other would keep the record alive forever.
		r.expires = max(r.expires, now+ttl)
	}
	if r.quarantined && !wasQuarantined && !quarantined {
		r.expires = now + quarantineTTL
	}
	return changed
}

// activeCrashes returns the crashes that count against r: those neither cleared by
// a completed run nor attributed to another, quarantined request.
func (t *Tracker) activeCrashes(r *record) []Crash {
	var active []Crash
	for _, c := range r.crashes {
		if !slices.Contains(r.cleared, c) && (r.quarantined || !t.attributed[c]) {
			active = append(active, c)
		}
	}
	return active
}

// attributeCrashes recomputes the crashes attributed to quarantined fingerprints.
// It runs after all fingerprints of a crash have been evaluated, so that two that
// were in flight at the same two crashes are both quarantined.
func (t *Tracker) attributeCrashes() {
	t.attributed = map[Crash]bool{}
	for _, r := range t.records {
		if !r.quarantined {
			continue
		}
		for _, c := range r.crashes {
			t.attributed[c] = true
		}
	}
}

func (t *Tracker) cancelQuarantined() []Action {
	var requests []uint64
	for id, f := range t.inFlight {
		if r := t.records[f.fingerprint]; r != nil && r.quarantined {
			requests = append(requests, id)
		}
	}
	if len(requests) == 0 {
		return nil
	}
	slices.Sort(requests)
	return []Action{Cancel{requests}}
}

func (t *Tracker) expire(now clock.Millis) {
	quarantineExpired := false
	for f, r := range t.records {
		if r.expires <= now {
			delete(t.records, f)
			quarantineExpired = quarantineExpired || r.quarantined
		}
	}
	if quarantineExpired {
		t.attributeCrashes()
	}
}

// evictIfFull evicts the record that expires first if the tracker is full, suspects
// before quarantined requests.
func (t *Tracker) evictIfFull() {
	if len(t.records) < maxRecords {
		return
	}
	evictionOrder := func(a, b Fingerprint) int {
		x, y := t.records[a], t.records[b]
		if x.quarantined != y.quarantined {
			if y.quarantined {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(x.expires, y.expires), cmp.Compare(a, b))
	}
	delete(t.records, slices.MinFunc(slices.Collect(maps.Keys(t.records)), evictionOrder))
}

// union returns the sorted union of a and b, truncated to maxCrashes.
func union(a, b []Crash) []Crash {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxCrashes)]
}
