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
	// keepKeys is how long a settled key refuses a second run. Callers send a
	// key again within hours, for instance after a shift change.
	keepKeys = 24 * clock.Hour
	// keepKeysAtLeast bounds how early a full shard may forget a key.
	keepKeysAtLeast = 10 * clock.Minute
	// keepAnswers is how long an answer is returned to a caller that asks again.
	keepAnswers = 10 * clock.Minute
	// maxAnswersBytes bounds the stored answers of a shard in memory.
	maxAnswersBytes = 128 << 10
	// maxLive bounds the claims that are kept with all their fields.
	maxLive = 2000
	// maxRan bounds the settled keys of a shard: 25,000 keys of ranBytes and the
	// live claims fit into one object of the platform (1 MB).
	maxRan = 25_000
	// ranBytes is a key and the second in which it was claimed.
	ranBytes = 16 + 4
)

// record is one claim with all its fields.
type record struct {
	body     uint64
	upstream Upstream
	ref      Ref
	grant    Grant
	pending  bool // not durable yet; grant is not set
	state    State
	kept     bool
	answer   stored.Answer
	at       clock.Millis
	orphan   bool         // the entry that held the grant does not follow it any more
	queryAt  clock.Millis // when the agent may be asked again; 0 before the first query
	sweepAt  clock.Millis // when the agent may be asked although nobody waits
}

// index holds the claims of one shard.
type index struct {
	live        map[Key]*record
	ran         map[Key]uint32 // second of the claim, without an answer
	answerBytes int
}

func newIndex() *index {
	return &index{live: map[Key]*record{}, ran: map[Key]uint32{}}
}

// settle records what became of a claim. A state that is final stays, except
// that an answer may follow an Unknown. It reports whether the state changed.
func (x *index) settle(k Key, g Grant, s State, kept bool, a stored.Answer) bool {
	r := x.live[k]
	if r == nil || r.pending || r.grant != g {
		return false
	}
	if r.state != Running && !(r.state == Unknown && s == Done) {
		return false
	}
	r.state = s
	r.kept = s == Done && kept && storable(a)
	if r.kept {
		r.answer = a
		x.answerBytes += a.Size()
	}
	return true
}

// storable tells whether an answer is present and small enough for the log.
func storable(a stored.Answer) bool { return a.Status() != 0 && a.Size() <= stored.MaxBytes }

// orphan notes that the entry that held a grant lost contact with the agent, so
// that the agent is asked at once when the key is sent again.
func (x *index) orphan(k Key, g Grant) {
	if r := x.live[k]; r != nil && !r.pending && r.grant == g {
		r.orphan = true
	}
}

// stale returns claims without an outcome for which nobody waits and whose
// agent is due to be asked, oldest first.
func (x *index) stale(now clock.Millis, waiting map[Key][]waiter) []Key {
	var keys []Key
	for k, r := range x.live {
		if r.state != Running || r.pending || now < r.sweepAt || len(waiting[k]) > 0 {
			continue
		}
		if age := now - r.at; age >= sweepAfter || r.orphan && age >= sweepOrphanAfter {
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		if d := x.live[a].at - x.live[b].at; d != 0 {
			return int(d)
		}
		return slices.Compare(a[:], b[:])
	})
	return keys
}

// prune drops what need not be kept. It runs when a snapshot is taken, so that
// the snapshot fits into one object.
func (x *index) prune(now clock.Millis) {
	for _, k := range x.oldestFirst() {
		r := x.live[k]
		tight := x.answerBytes > maxAnswersBytes || len(x.live) > maxLive/2
		switch {
		case r.pending || r.state == Running && now-r.at < keepKeys:
		case r.state == NotRun:
			delete(x.live, k)
		case !r.kept || tight || now-r.at >= keepAnswers:
			x.forgetAnswer(k, r)
		}
	}
	maps.DeleteFunc(x.ran, func(_ Key, s uint32) bool { return now-clock.Millis(s)*clock.Second >= keepKeys })
	if len(x.ran) <= maxRan {
		return
	}
	order := slices.SortedFunc(maps.Keys(x.ran), func(a, b Key) int { return int(x.ran[a]) - int(x.ran[b]) })
	for _, k := range order[:len(x.ran)-maxRan] {
		if now-clock.Millis(x.ran[k])*clock.Second >= keepKeysAtLeast {
			delete(x.ran, k)
		}
	}
}

// forgetAnswer keeps only that the key may have run.
func (x *index) forgetAnswer(k Key, r *record) {
	if r.kept {
		x.answerBytes -= r.answer.Size()
	}
	x.ran[k] = uint32(r.at / clock.Second)
	delete(x.live, k)
}

func (x *index) oldestFirst() []Key {
	return slices.SortedFunc(maps.Keys(x.live), func(a, b Key) int {
		if d := x.live[a].at - x.live[b].at; d != 0 {
			return int(d)
		}
		return slices.Compare(a[:], b[:])
	})
}

// full tells that no further key can be claimed without forgetting one early.
func (x *index) full() bool { return len(x.live) >= maxLive || len(x.ran) >= maxRan+maxLive }

// apply adds a batch that is in the log.
func (x *index) apply(shard int, b *batch) {
	for _, o := range b.outcomes {
		answer := stored.New(o.status, fieldsOf(o.header), o.body)
		x.settle(Key(o.key), Grant{shard, o.position, o.index}, State(o.state), o.kept, answer)
	}
	for i, c := range b.claims {
		x.live[Key(c.key)] = &record{
			body:     c.body,
			upstream: Upstream{c.upstream, c.incarnation},
			ref:      Ref{c.entry, c.sequence},
			grant:    Grant{shard, b.position, i},
			state:    Running,
			at:       clock.Millis(b.atMs),
		}
	}
}

// snapshot returns the stored form of the durable claims up to a position.
func (x *index) snapshot(position uint64) *snapshot {
	s := &snapshot{position: position}
	for _, k := range x.oldestFirst() {
		r := x.live[k]
		if r.pending {
			continue
		}
		c := recordOfClaim(k, r)
		s.live = append(s.live, liveRecord{c, recordOfOutcome(k, r), int64(r.at)})
	}
	for _, k := range slices.SortedFunc(maps.Keys(x.ran), func(a, b Key) int { return slices.Compare(a[:], b[:]) }) {
		s.ran = append(s.ran, k[:]...)
		s.ran = binary.BigEndian.AppendUint32(s.ran, x.ran[k])
	}
	return s
}

// restore adds the claims of a snapshot.
func (x *index) restore(shard int, s *snapshot) {
	for _, l := range s.live {
		o := l.outcome
		r := &record{
			body:     l.claim.body,
			upstream: Upstream{l.claim.upstream, l.claim.incarnation},
			ref:      Ref{l.claim.entry, l.claim.sequence},
			grant:    Grant{shard, o.position, o.index},
			state:    State(o.state),
			kept:     o.kept,
			answer:   stored.New(o.status, fieldsOf(o.header), o.body),
			at:       clock.Millis(l.atMs),
		}
		x.live[Key(l.claim.key)] = r
		if r.kept {
			x.answerBytes += r.answer.Size()
		}
	}
	for b := s.ran; len(b) >= ranBytes; b = b[ranBytes:] {
		x.ran[Key(b[:16])] = binary.BigEndian.Uint32(b[16:])
	}
}

func recordOfClaim(k Key, r *record) claimRecord {
	return claimRecord{k[:], r.body, r.upstream.name, r.upstream.incarnation, r.ref.entry, r.ref.sequence}
}

func recordOfOutcome(k Key, r *record) outcomeRecord {
	o := outcomeRecord{key: k[:], position: r.grant.position, index: r.grant.index, state: int(r.state), kept: r.kept}
	if r.kept {
		o.status = r.answer.Status()
		o.body = r.answer.Body()
		for _, f := range r.answer.Header() {
			o.header = append(o.header, storedField{f.Name(), f.Value()})
		}
	}
	return o
}

// valid tells whether keys have their length and the state is known, so that a
// damaged object stops the shard instead of the process.
func (o *outcomeRecord) valid() bool {
	return len(o.key) == len(Key{}) && o.state >= 0 && o.state < len(stateNames)
}

func (b *batch) valid() bool {
	for i := range b.outcomes {
		if !b.outcomes[i].valid() {
			return false
		}
	}
	for i := range b.claims {
		if len(b.claims[i].key) != len(Key{}) {
			return false
		}
	}
	return true
}

func (s *snapshot) valid() bool {
	for i := range s.live {
		if !s.live[i].outcome.valid() || len(s.live[i].claim.key) != len(Key{}) {
			return false
		}
	}
	return true
}

func fieldsOf(kept []storedField) []frame.Field {
	var fields []frame.Field
	for _, f := range kept {
		fields = append(fields, frame.NewField(f.name, f.value))
	}
	return fields
}
