package claim

import (
	"encoding/binary"
	"maps"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/stored"
)

const (
	// keyRetention is how long a resolved key refuses a second run. Callers
	// resend a key within hours, for instance after a shift change.
	keyRetention = 24 * clock.Hour
	// minKeyRetention is the minimum time for which a full shard keeps a key.
	minKeyRetention = 10 * clock.Minute
	// responseRetention is how long a stored response is returned to a caller
	// that sends the key again.
	responseRetention = 10 * clock.Minute
	// maxResponseBytes bounds the memory for the stored responses of a shard.
	maxResponseBytes = 128 << 10
	// maxLiveRecords bounds the records that are kept with all their fields.
	maxLiveRecords = 2000
	// maxPruned bounds the pruned keys of a shard: 25,000 keys of
	// prunedKeyBytes and the live records fit into one object of the platform
	// (1 MB).
	maxPruned = 25_000
	// prunedKeyBytes is the size of a key and the second in which it was
	// claimed.
	prunedKeyBytes = 16 + 4
)

// record is an idempotency record with all its fields.
type record struct {
	body            uint64 // hash of the request
	upstream        Upstream
	attempt         AttemptID
	grant           Grant
	pending         bool // not durable yet; grant is not set
	state           State
	hasResponse     bool
	response        stored.Response
	claimedAt       clock.Millis
	orphan          bool         // the entry that held the grant no longer tracks it
	nextQueryAt     clock.Millis // earliest next query; 0 before the first query
	nextReconcileAt clock.Millis // earliest next query while no caller waits
}

// index holds the idempotency records of one shard.
type index struct {
	live          map[Key]*record
	pruned        map[Key]uint32 // keys of pruned records, with the second in which they were claimed
	responseBytes int
}

func newIndex() *index {
	return &index{live: map[Key]*record{}, pruned: map[Key]uint32{}}
}

// resolve records the outcome of a grant and reports whether the state changed.
// A final state does not change, except that Done may follow Unknown.
func (x *index) resolve(k Key, g Grant, s State, hasResponse bool, resp stored.Response) bool {
	r := x.live[k]
	if r == nil || r.pending || r.grant != g {
		return false
	}
	if r.state != Running && !(r.state == Unknown && s == Done) {
		return false
	}
	r.state = s
	r.hasResponse = s == Done && hasResponse && storable(resp)
	if r.hasResponse {
		r.response = resp
		x.responseBytes += resp.Size()
	}
	return true
}

// storable reports whether a response is present and small enough for the log.
func storable(resp stored.Response) bool {
	return resp.Status() != 0 && resp.Size() <= stored.MaxResponseBytes
}

// orphan marks the record of a grant whose entry lost contact with the agent,
// so that the agent is queried immediately when the key is sent again.
func (x *index) orphan(k Key, g Grant) {
	if r := x.live[k]; r != nil && !r.pending && r.grant == g {
		r.orphan = true
	}
}

// unresolved returns the keys of records without an outcome that no caller
// waits for and whose agent is due to be queried, oldest first.
func (x *index) unresolved(now clock.Millis, waiting map[Key][]waiter) []Key {
	var keys []Key
	for k, r := range x.live {
		if r.state != Running || r.pending || now < r.nextReconcileAt || len(waiting[k]) > 0 {
			continue
		}
		if age := now - r.claimedAt; age >= reconcileAge || r.orphan && age >= reconcileOrphanAge {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if d := x.live[a].claimedAt - x.live[b].claimedAt; d != 0 {
			return int(d)
		}
		return slices.Compare(a[:], b[:])
	})
	return keys
}

// prune removes the data that need not be kept. It runs before a snapshot is
// written, so that the snapshot fits into one object, and when the index is
// full.
func (x *index) prune(now clock.Millis) {
	for _, k := range x.oldestFirst() {
		r := x.live[k]
		overBudget := x.responseBytes > maxResponseBytes || len(x.live) > maxLiveRecords/2
		switch {
		case r.pending || r.state == Running && now-r.claimedAt < keyRetention:
		case r.state == NotRun:
			delete(x.live, k)
		case !r.hasResponse || overBudget || now-r.claimedAt >= responseRetention:
			x.pruneRecord(k, r)
		}
	}
	maps.DeleteFunc(x.pruned, func(_ Key, s uint32) bool { return now-clock.Millis(s)*clock.Second >= keyRetention })
	if len(x.pruned) <= maxPruned {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(x.pruned), func(a, b Key) int { return int(x.pruned[a]) - int(x.pruned[b]) })
	for _, k := range byAge[:len(x.pruned)-maxPruned] {
		if now-clock.Millis(x.pruned[k])*clock.Second >= minKeyRetention {
			delete(x.pruned, k)
		}
	}
}

// pruneRecord reduces a record to the fact that its key may have run.
func (x *index) pruneRecord(k Key, r *record) {
	if r.hasResponse {
		x.responseBytes -= r.response.Size()
	}
	x.pruned[k] = uint32(r.claimedAt / clock.Second)
	delete(x.live, k)
}

func (x *index) oldestFirst() []Key {
	return slices.SortedFunc(maps.Keys(x.live), func(a, b Key) int {
		if d := x.live[a].claimedAt - x.live[b].claimedAt; d != 0 {
			return int(d)
		}
		return slices.Compare(a[:], b[:])
	})
}

// full reports whether no further key can be claimed without removing one
// early.
func (x *index) full() bool {
	return len(x.live) >= maxLiveRecords || len(x.pruned) >= maxPruned+maxLiveRecords
}

// apply adds a batch that was read from the log.
func (x *index) apply(shard int, b *batch) {
	for _, o := range b.outcomes {
		response := stored.New(o.status, frameFields(o.header), o.body)
		x.resolve(Key(o.key), Grant{shard, o.position, o.index}, State(o.state), o.hasResponse, response)
	}
	for i, c := range b.claimed {
		x.live[Key(c.key)] = &record{
			body:      c.body,
			upstream:  Upstream{c.upstream, c.incarnation},
			attempt:   AttemptID{c.entry, c.sequence},
			grant:     Grant{shard, b.position, i},
			state:     Running,
			claimedAt: clock.Millis(b.claimedAtMs),
		}
	}
}

// snapshot returns the stored form of the durable records up to a position.
func (x *index) snapshot(position uint64) *snapshot {
	s := &snapshot{position: position}
	for _, k := range x.oldestFirst() {
		r := x.live[k]
		if r.pending {
			continue
		}
		c := newStoredRecord(k, r)
		s.live = append(s.live, snapshotRecord{c, newStoredOutcome(k, r), int64(r.claimedAt)})
	}
	for _, k := range slices.SortedFunc(maps.Keys(x.pruned), func(a, b Key) int { return slices.Compare(a[:], b[:]) }) {
		s.pruned = append(s.pruned, k[:]...)
		s.pruned = binary.BigEndian.AppendUint32(s.pruned, x.pruned[k])
	}
	return s
}

// restore adds the records of a snapshot.
func (x *index) restore(shard int, s *snapshot) {
	for _, l := range s.live {
		o := l.outcome
		r := &record{
			body:        l.claimed.body,
			upstream:    Upstream{l.claimed.upstream, l.claimed.incarnation},
			attempt:     AttemptID{l.claimed.entry, l.claimed.sequence},
			grant:       Grant{shard, o.position, o.index},
			state:       State(o.state),
			hasResponse: o.hasResponse,
			response:    stored.New(o.status, frameFields(o.header), o.body),
			claimedAt:   clock.Millis(l.claimedAtMs),
		}
		x.live[Key(l.claimed.key)] = r
		if r.hasResponse {
			x.responseBytes += r.response.Size()
		}
	}
	for b := s.pruned; len(b) >= prunedKeyBytes; b = b[prunedKeyBytes:] {
		x.pruned[Key(b[:16])] = binary.BigEndian.Uint32(b[16:])
	}
}

func newStoredRecord(k Key, r *record) storedRecord {
	return storedRecord{k[:], r.body, r.upstream.name, r.upstream.incarnation, r.attempt.entry, r.attempt.sequence}
}

func newStoredOutcome(k Key, r *record) storedOutcome {
	o := storedOutcome{key: k[:], position: r.grant.position, index: r.grant.index, state: int(r.state), hasResponse: r.hasResponse}
	if r.hasResponse {
		o.status = r.response.Status()
		o.body = r.response.Body()
		for _, f := range r.response.Header() {
			o.header = append(o.header, storedField{f.Name(), f.Value()})
		}
	}
	return o
}

// valid reports whether the key has the right length and the state is known, so
// that a damaged object makes the shard unavailable instead of crashing the
// process.
func (o *storedOutcome) valid() bool {
	return len(o.key) == len(Key{}) && o.state >= 0 && o.state < len(stateNames)
}

func (b *batch) valid() bool {
	for i := range b.outcomes {
		if !b.outcomes[i].valid() {
			return false
		}
	}
	for i := range b.claimed {
		if len(b.claimed[i].key) != len(Key{}) {
			return false
		}
	}
	return true
}

func (s *snapshot) valid() bool {
	for i := range s.live {
		if !s.live[i].outcome.valid() || len(s.live[i].claimed.key) != len(Key{}) {
			return false
		}
	}
	return true
}

func frameFields(storedFields []storedField) []frame.Field {
	var fields []frame.Field
	for _, f := range storedFields {
		fields = append(fields, frame.NewField(f.name, f.value))
	}
	return fields
}
