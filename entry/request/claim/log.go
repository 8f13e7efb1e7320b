package claim

import (
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

type callKind int

const (
	callNone callKind = iota
	callList
	callBatch
	callSnapshot
	callProbe
)

// call is the only platform call that may be outstanding. While the result of a
// write is unknown, the owner repeats the identical write: the same bytes at
// the same position on the same condition, so that it takes effect at most
// once.
type call struct {
	kind            callKind
	sent            bool // the call is outstanding; otherwise it is due at retryAt
	readingBack     bool // the call reads back a write with an unknown result
	retried         bool // the write may have been sent before
	callID          uint64
	name            string
	version         uint64
	value           []byte
	writeNumber     uint64
	keys            []Key
	reports         []Report
	coveredPosition uint64 // last position that the snapshot covers
}

// load reads the shard unless it is already loaded or loading.
func (o *Owner) load(now clock.Millis) {
	if o.phase == phaseIdle {
		o.reload(now)
	}
}

// reload discards the index and reads the shard again. Waiters are kept.
func (o *Owner) reload(now clock.Millis) {
	for _, r := range o.call.reports {
		o.queueReport(now, r)
	}
	o.phase = phaseListing
	o.index = newIndex()
	o.unwritten = nil
	o.call = call{kind: callList}
	o.retryAt = now
}

// sendDueCall sends the platform call that is due, unless one is outstanding.
func (o *Owner) sendDueCall(now clock.Millis) {
	if o.call.sent || now < o.retryAt {
		return
	}
	if o.call.kind == callNone {
		o.startCall(now)
	}
	c := &o.call
	if c.kind == callNone {
		return
	}
	c.sent = true
	o.callID++
	c.callID = o.callID
	switch {
	case c.kind == callList:
		o.actions = append(o.actions, List{c.callID, objectPrefix(o.shard)})
	case c.kind == callProbe || c.readingBack:
		o.actions = append(o.actions, Read{c.callID, c.name})
	default:
		o.writes++
		o.actions = append(o.actions, Write{c.callID, c.name, c.version, c.value})
	}
}

// startCall selects the next call: snapshot, batch or probe.
func (o *Owner) startCall(now clock.Millis) {
	switch {
	case o.phase != phaseReady:
	case o.platformFailing:
		o.startProbe()
	case o.nextPosition-o.snapshotPosition > snapshotInterval:
		o.startSnapshot(now)
	case len(o.unwritten) > 0 && o.takeToken(now):
		o.startBatch(now)
	case len(o.reports) > 0 && now-o.oldestReportAt >= outcomeBatchDelay && o.takeToken(now):
		o.startBatch(now)
	case now-o.confirmedAt >= probeInterval || o.ownershipUncertain:
		o.startProbe()
	}
}

func (o *Owner) startProbe() {
	o.call = call{kind: callProbe, name: slotName(o.shard, o.nextPosition), version: o.versions[o.nextPosition%slots]}
}

func (o *Owner) startBatch(now clock.Millis) {
	claimed := o.unwritten[:min(len(o.unwritten), maxBatchClaims)]
	o.unwritten = slices.Clone(o.unwritten[len(claimed):])
	reports := o.reports[:min(len(o.reports), maxBatchOutcomes)]
	o.reports = slices.Clone(o.reports[len(reports):])
	o.oldestReportAt = now
	o.writeNumber++
	b := &batch{position: o.nextPosition, writer: o.writer, writeNumber: o.writeNumber, claimedAtMs: int64(now)}
	for _, r := range reports {
		b.outcomes = append(b.outcomes, newReportedOutcome(r))
	}
	for _, k := range claimed {
		b.claimed = append(b.claimed, newStoredRecord(k, o.index.live[k]))
	}
	o.call = call{
		kind:        callBatch,
		name:        slotName(o.shard, o.nextPosition),
		version:     o.versions[o.nextPosition%slots],
		value:       mustEncode(b),
		writeNumber: o.writeNumber,
		keys:        claimed,
		reports:     reports,
	}
}

func (o *Owner) startSnapshot(now clock.Millis) {
	o.index.prune(now)
	o.writeNumber++
	s := o.index.snapshot(o.nextPosition - 1)
	s.writer, s.writeNumber = o.writer, o.writeNumber
	o.call = call{
		kind:            callSnapshot,
		name:            snapshotName(o.shard),
		version:         o.snapshotVersion,
		value:           mustEncode(s),
		writeNumber:     o.writeNumber,
		coveredPosition: o.nextPosition - 1,
	}
}

// takeToken takes the tokens for one write and reports whether the shard's
// write rate allows it. Saved tokens allow a short burst, so that a claim does
// not wait at a low rate.
func (o *Owner) takeToken(now clock.Millis) bool {
	o.refillTokens(now)
	if o.tokens < o.WriteInterval {
		return false
	}
	o.tokens -= o.WriteInterval
	return true
}

func (o *Owner) refillTokens(now clock.Millis) {
	o.tokens = min(o.tokens+now-o.tokensUpdatedAt, o.WriteInterval*clock.Millis(o.Burst))
	o.tokensUpdatedAt = now
}

func (o *Owner) tokenDelay(now clock.Millis) clock.Millis {
	o.refillTokens(now)
	return o.WriteInterval - o.tokens
}

// handleList handles the result of listing the shard's objects.
func (o *Owner) handleList(now clock.Millis, e ListResult) {
	if o.call.kind != callList || !o.call.sent || e.callID != o.call.callID {
		return
	}
	if !e.ok {
		o.platformFailed(now)
		return
	}
	if !o.replay(e.objects) {
		o.call.sent = false
		o.retryAt = now + platformRetryInterval
		return
	}
	o.confirmOwnership(now)
	o.call = call{}
	o.phase = phaseReady
	o.resolveQueued()
	o.decideAllWaiters(now)
}

// replay rebuilds the index from the shard's objects. It returns false if the
// list is not one consistent state, which can happen when another owner appends
// while the list is read.
func (o *Owner) replay(objects []Object) bool {
	x := newIndex()
	var versions [slots]uint64
	var snapshotPosition, snapshotVersion uint64
	var batches []*batch
	for _, obj := range objects {
		if isSnapshot(obj.name) {
			s := new(snapshot)
			if _, err := frame.Unmarshal(obj.value, s); err != nil || !s.valid() {
				return false
			}
			x.restore(o.shard, s)
			snapshotPosition, snapshotVersion = s.position, obj.version
			continue
		}
		b := new(batch)
		if _, err := frame.Unmarshal(obj.value, b); err != nil || !b.valid() {
			return false
		}
		versions[b.position%slots] = obj.version
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b *batch) int { return int(a.position) - int(b.position) })
	nextPosition := snapshotPosition + 1
	for _, b := range batches {
		if b.position <= snapshotPosition {
			continue
		}
		if b.position != nextPosition {
			return false
		}
		x.apply(o.shard, b)
		nextPosition++
	}
	o.index, o.versions, o.nextPosition = x, versions, nextPosition
	o.snapshotPosition, o.snapshotVersion = snapshotPosition, snapshotVersion
	return true
}

// resolveQueued applies the reports that were received while the shard was not
// loaded. Reports about grants that are not in the log are dropped.
func (o *Owner) resolveQueued() {
	queued := o.reports
	o.reports = nil
	for _, r := range queued {
		if r.state != Unknown && o.index.resolve(r.key, r.grant, r.state, true, r.response) {
			o.reports = append(o.reports, r)
		}
	}
}

func (o *Owner) decideAllWaiters(now clock.Millis) {
	for _, k := range o.waitingKeys() {
		o.decideWaiters(now, k)
	}
}

// handleWrite handles the result of a write.
func (o *Owner) handleWrite(now clock.Millis, e WriteResult) {
	c := &o.call
	if !c.sent || c.readingBack || e.callID != c.callID || (c.kind != callBatch && c.kind != callSnapshot) {
		return
	}
	switch {
	case e.status == Applied:
		o.writeApplied(now, e.version)
	case e.status == Conflict && !c.retried:
		// Only another owner can have changed the object.
		o.reload(now)
	case e.status == Conflict:
		c.sent = false
		c.readingBack = true
	default:
		c.readingBack = true
		c.retried = true
		o.platformFailed(now)
	}
}

// handleRead handles the result of a probe or of reading back a write.
func (o *Owner) handleRead(now clock.Millis, e ReadResult) {
	c := &o.call
	if !c.sent || e.callID != c.callID || (c.kind != callProbe && !c.readingBack) {
		return
	}
	if !e.ok {
		o.platformFailed(now)
		return
	}
	switch {
	case c.readingBack && o.isOwnWrite(e.object.value):
		o.writeApplied(now, e.object.version)
	case e.object.version != c.version:
		o.reload(now)
	case c.kind == callProbe:
		o.confirmOwnership(now)
		o.call = call{}
	default:
		// The write has not taken effect yet but still may; repeating the
		// identical write is safe.
		o.confirmOwnership(now)
		c.sent = false
		c.readingBack = false
		o.retryAt = now
	}
}

// isOwnWrite reports whether value is what the current call writes.
func (o *Owner) isOwnWrite(value []byte) bool {
	return slices.Equal(value, o.call.value)
}

// writeApplied continues after a write that is confirmed to have taken effect.
func (o *Owner) writeApplied(now clock.Millis, version uint64) {
	c := o.call
	o.call = call{}
	if c.kind == callSnapshot {
		// A snapshot does not confirm the ownership: another owner appends
		// before it writes its first snapshot.
		o.platformFailing = false
		o.snapshotPosition, o.snapshotVersion = c.coveredPosition, version
		return
	}
	o.confirmOwnership(now)
	position := o.nextPosition
	o.versions[position%slots] = version
	o.nextPosition++
	for i, k := range c.keys {
		o.grantDurable(now, k, Grant{o.shard, position, i})
	}
}

// grantDurable grants a record that is in the log. If the attempt that
// requested it was refused in the meantime, the record stays and the agent is
// queried when the key is sent again: another owner may have read the record
// from the log and granted it, so this owner cannot resolve it alone.
func (o *Owner) grantDurable(now clock.Millis, k Key, g Grant) {
	r := o.index.live[k]
	r.pending = false
	r.grant = g
	r.claimedAt = now
	hasWaiter := slices.ContainsFunc(o.waiting[k], func(w waiter) bool { return w.acquire.attempt == r.attempt })
	r.orphan = !hasWaiter
	o.decideWaiters(now, k)
}

// confirmOwnership records a response of the platform that confirms this owner.
func (o *Owner) confirmOwnership(now clock.Millis) {
	o.confirmedAt = now
	o.platformFailing = false
	o.ownershipUncertain = false
}

// platformFailed records a failed platform call and schedules the retry.
func (o *Owner) platformFailed(now clock.Millis) {
	if !o.platformFailing {
		o.platformFailing = true
		o.failingSince = now
	}
	o.call.sent = false
	o.retryAt = now + platformRetryInterval
	if o.call.kind == callProbe {
		o.call = call{}
	}
	o.refuseUnwritten(now)
}

// refuseUnwritten refuses the attempts whose records are not part of a write
// yet.
func (o *Owner) refuseUnwritten(now clock.Millis) {
	unwritten := o.unwritten
	o.unwritten = nil
	for _, k := range unwritten {
		oc := o.refusalOutcome(now, k)
		delete(o.index.live, k)
		waiters := o.waiting[k]
		delete(o.waiting, k)
		o.removeFromOrder(k)
		for _, w := range waiters {
			o.refuse(w.acquire, outcome.PlatformDown, oc, retryAfterDownMs)
		}
	}
}

func newReportedOutcome(r Report) storedOutcome {
	x := &record{grant: r.grant, state: r.state, response: r.response}
	x.hasResponse = r.state == Done && storable(r.response)
	return newStoredOutcome(r.key, x)
}

type encoder interface {
	MarshalMsg([]byte) ([]byte, error)
}

// mustEncode encodes a stored type of this package; encoding into memory cannot
// fail.
func mustEncode(e encoder) []byte {
	b, err := e.MarshalMsg(nil)
	if err != nil {
		panic(err)
	}
	return b
}
