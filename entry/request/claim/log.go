package claim

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

type flightKind int

const (
	flightNone flightKind = iota
	flightList
	flightBatch
	flightSnapshot
	flightProbe
)

// flight is the one platform call that may be outstanding. While the result of
// a write is not known, it stays the same write: the same bytes at the same
// position on the same condition, so that it takes effect once or never.
type flight struct {
	kind    flightKind
	sent    bool // a call is outstanding; otherwise one is due at retryAt
	reading bool // the call reads back a write whose response was lost
	retried bool // the write may have been sent before
	ticket  uint64
	name    string
	version uint64
	value   []byte
	number  uint64
	keys    []Key
	reports []Report
	through uint64 // last position that a snapshot covers
}

// load reads the shard unless it is loaded or being loaded.
func (o *Owner) load(now clock.Millis) {
	if o.phase == phaseIdle {
		o.reload(now)
	}
}

// reload forgets the index and reads the shard again. Sendings that wait stay.
func (o *Owner) reload(now clock.Millis) {
	for _, r := range o.flight.reports {
		o.queueReport(now, r)
	}
	o.phase = phaseListing
	o.index = newIndex()
	o.open = nil
	o.flight = flight{kind: flightList}
	o.retryAt = now
}

// callPlatform starts the call that is due, if none is outstanding.
func (o *Owner) callPlatform(now clock.Millis) {
	if o.flight.sent || now < o.retryAt {
		return
	}
	if o.flight.kind == flightNone {
		o.startFlight(now)
	}
	f := &o.flight
	if f.kind == flightNone {
		return
	}
	f.sent = true
	o.ticket++
	f.ticket = o.ticket
	switch {
	case f.kind == flightList:
		o.out = append(o.out, List{f.ticket, prefix(o.shard)})
	case f.kind == flightProbe || f.reading:
		o.out = append(o.out, Read{f.ticket, f.name})
	default:
		o.writes++
		o.out = append(o.out, Write{f.ticket, f.name, f.version, f.value})
	}
}

// startFlight chooses the next call: snapshot, batch or probe.
func (o *Owner) startFlight(now clock.Millis) {
	switch {
	case o.phase != phaseReady:
	case o.failing:
		o.startProbe()
	case o.next-o.snapPos > snapshotEvery:
		o.startSnapshot(now)
	case len(o.open) > 0 && o.takeToken(now):
		o.startBatch(now)
	case len(o.reports) > 0 && now-o.oldest >= outcomeLinger && o.takeToken(now):
		o.startBatch(now)
	case now-o.confirmed >= probeEvery || o.unsure:
		o.startProbe()
	}
}

func (o *Owner) startProbe() {
	o.flight = flight{kind: flightProbe, name: slotName(o.shard, o.next), version: o.versions[o.next%slots]}
}

func (o *Owner) startBatch(now clock.Millis) {
	claims := o.open[:min(len(o.open), maxBatchClaims)]
	o.open = slices.Clone(o.open[len(claims):])
	reports := o.reports[:min(len(o.reports), maxBatchOutcomes)]
	o.reports = slices.Clone(o.reports[len(reports):])
	o.oldest = now
	o.number++
	b := &batch{position: o.next, writer: o.writer, number: o.number, atMs: int64(now)}
	for _, r := range reports {
		b.outcomes = append(b.outcomes, recordOfReport(r))
	}
	for _, k := range claims {
		b.claims = append(b.claims, recordOfClaim(k, o.index.live[k]))
	}
	o.flight = flight{
		kind:    flightBatch,
		name:    slotName(o.shard, o.next),
		version: o.versions[o.next%slots],
		value:   mustEncode(b),
		number:  o.number,
		keys:    claims,
		reports: reports,
	}
}

func (o *Owner) startSnapshot(now clock.Millis) {
	o.index.prune(now)
	o.number++
	s := o.index.snapshot(o.next - 1)
	s.writer, s.number = o.writer, o.number
	o.flight = flight{
		kind:    flightSnapshot,
		name:    snapshotName(o.shard),
		version: o.snapVersion,
		value:   mustEncode(s),
		number:  o.number,
		through: o.next - 1,
	}
}

// takeToken reports whether a write is within the shard's share, and counts it.
// Saved time lets a few writes follow each other at once, so that at a low rate
// a claim does not wait.
func (o *Owner) takeToken(now clock.Millis) bool {
	o.fillTokens(now)
	if o.tokens < o.WriteGap {
		return false
	}
	o.tokens -= o.WriteGap
	return true
}

func (o *Owner) fillTokens(now clock.Millis) {
	o.tokens = min(o.tokens+now-o.tokensAt, o.WriteGap*clock.Millis(o.Burst))
	o.tokensAt = now
}

func (o *Owner) untilToken(now clock.Millis) clock.Millis {
	o.fillTokens(now)
	return o.WriteGap - o.tokens
}

// listed handles the objects of the shard.
func (o *Owner) listed(now clock.Millis, e Listed) {
	if o.flight.kind != flightList || !o.flight.sent || e.ticket != o.flight.ticket {
		return
	}
	if !e.ok {
		o.failed(now)
		return
	}
	if !o.replay(e.objects) {
		o.flight.sent = false
		o.retryAt = now + retryPlatform
		return
	}
	o.contact(now)
	o.flight = flight{}
	o.phase = phaseReady
	o.settleQueued()
	o.decideWaiting(now)
}

// replay rebuilds the index from the shard's objects. It reports false when
// the list is not one consistent state, which a list that is read while another
// owner appends need not be.
func (o *Owner) replay(objects []Object) bool {
	x := newIndex()
	var versions [slots]uint64
	var snapPos, snapVersion uint64
	var batches []*batch
	for _, obj := range objects {
		if isSnapshot(obj.name) {
			s := new(snapshot)
			if _, err := s.UnmarshalMsg(obj.value); err != nil || !s.valid() {
				return false
			}
			x.restore(o.shard, s)
			snapPos, snapVersion = s.position, obj.version
			continue
		}
		b := new(batch)
		if _, err := b.UnmarshalMsg(obj.value); err != nil || !b.valid() {
			return false
		}
		versions[b.position%slots] = obj.version
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b *batch) int { return int(a.position) - int(b.position) })
	next := snapPos + 1
	for _, b := range batches {
		if b.position <= snapPos {
			continue
		}
		if b.position != next {
			return false
		}
		x.apply(o.shard, b)
		next++
	}
	o.index, o.versions, o.next = x, versions, next
	o.snapPos, o.snapVersion = snapPos, snapVersion
	return true
}

// settleQueued applies the reports that came while the shard was not loaded.
// Reports about claims that are not in the log are dropped.
func (o *Owner) settleQueued() {
	queued := o.reports
	o.reports = nil
	for _, r := range queued {
		if r.state != Unknown && o.index.settle(r.key, r.grant, r.state, true, r.answer) {
			o.reports = append(o.reports, r)
		}
	}
}

func (o *Owner) decideWaiting(now clock.Millis) {
	for _, k := range o.distinctWaiting() {
		o.release(now, k)
	}
}

// wrote handles the result of a write.
func (o *Owner) wrote(now clock.Millis, e Wrote) {
	f := &o.flight
	if !f.sent || f.reading || e.ticket != f.ticket || (f.kind != flightBatch && f.kind != flightSnapshot) {
		return
	}
	switch {
	case e.result == Took:
		o.took(now, e.version)
	case e.result == Conflict && !f.retried:
		// Only another owner can have changed the object.
		o.reload(now)
	case e.result == Conflict:
		f.sent = false
		f.reading = true
	default:
		f.reading = true
		f.retried = true
		o.failed(now)
	}
}

// got handles the answer to a probe or to reading back.
func (o *Owner) got(now clock.Millis, e Got) {
	f := &o.flight
	if !f.sent || e.ticket != f.ticket || (f.kind != flightProbe && !f.reading) {
		return
	}
	if !e.ok {
		o.failed(now)
		return
	}
	switch {
	case f.reading && o.isOwn(e.object.value):
		o.took(now, e.object.version)
	case e.object.version != f.version:
		o.reload(now)
	case f.kind == flightProbe:
		o.contact(now)
		o.flight = flight{}
	default:
		// Not there yet; it may still arrive. The same write again is safe.
		o.contact(now)
		f.sent = false
		f.reading = false
		o.retryAt = now
	}
}

// isOwn tells whether value is what the flight writes.
func (o *Owner) isOwn(value []byte) bool {
	return slices.Equal(value, o.flight.value)
}

// took continues after a write that is known to be in effect.
func (o *Owner) took(now clock.Millis, version uint64) {
	f := o.flight
	o.flight = flight{}
	if f.kind == flightSnapshot {
		// This does not confirm the owner: another one appends before it writes
		// its first snapshot.
		o.failing = false
		o.snapPos, o.snapVersion = f.through, version
		return
	}
	o.contact(now)
	position := o.next
	o.versions[position%slots] = version
	o.next++
	for i, k := range f.keys {
		o.durable(now, k, Grant{o.shard, position, i})
	}
}

// durable grants a claim that is in the log. If the sending that asked for it
// was refused meanwhile, the claim stays and the agent is asked when the key is
// sent again: another owner may have read the claim from the log and granted
// it, so this owner cannot settle it from its own knowledge.
func (o *Owner) durable(now clock.Millis, k Key, g Grant) {
	r := o.index.live[k]
	r.pending = false
	r.grant = g
	r.at = now
	waits := slices.ContainsFunc(o.waiting[k], func(w waiter) bool { return w.ask.ref == r.ref })
	r.orphan = !waits
	o.release(now, k)
}

// contact notes an answer of the platform that confirms this owner.
func (o *Owner) contact(now clock.Millis) {
	o.confirmed = now
	o.failing = false
	o.unsure = false
}

// failed notes that the platform did not answer, and repeats the call later.
func (o *Owner) failed(now clock.Millis) {
	if !o.failing {
		o.failing = true
		o.failedAt = now
	}
	o.flight.sent = false
	o.retryAt = now + retryPlatform
	if o.flight.kind == flightProbe {
		o.flight = flight{}
	}
	o.refuseOpen(now)
}

// refuseOpen refuses the claims that are in no write yet.
func (o *Owner) refuseOpen(now clock.Millis) {
	open := o.open
	o.open = nil
	for _, k := range open {
		oc := o.notRunIfSure(now, k)
		delete(o.index.live, k)
		waiters := o.waiting[k]
		delete(o.waiting, k)
		o.dropOrder(k)
		for _, w := range waiters {
			o.refuse(w.ask, outcome.PlatformDown, oc, retryAfterDownMs)
		}
	}
}

func recordOfReport(r Report) outcomeRecord {
	x := &record{grant: r.grant, state: r.state, answer: r.answer}
	x.kept = r.state == Done && storable(r.answer)
	return recordOfOutcome(r.key, x)
}

type encoder interface {
	MarshalMsg([]byte) ([]byte, error)
}

// mustEncode encodes a record of this package; encoding into memory cannot fail.
func mustEncode(e encoder) []byte {
	b, err := e.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return b
}
