package balance

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// pauseReason is the reason for which an upstream gets no new requests for a time.
type pauseReason int

const (
	// pauseFailed follows failures and refusals. While all upstreams are paused for it, one
	// of them gets a request now and then.
	pauseFailed pauseReason = iota
	// pauseMisdirected follows an answer of another upstream at the address.
	pauseMisdirected
	// pauseRequested follows an answer in which the upstream asked for a pause.
	pauseRequested
	pauseReasonCount
)

// pauses holds by reason until when an upstream gets no new requests.
type pauses [pauseReasonCount]clock.Millis

// extend makes a pause last until a time at least.
func (p *pauses) extend(r pauseReason, until clock.Millis) { p[r] = max(p[r], until) }

// end ends a pause.
func (p *pauses) end(r pauseReason) { p[r] = 0 }

// has reports whether a pause lasts.
func (p *pauses) has(now clock.Millis, r pauseReason) bool { return now < p[r] }

// bars reports whether a pause lasts in which the upstream must get nothing at all, not even to find
// out whether it works again.
func (p *pauses) bars(now clock.Millis) bool {
	return p.has(now, pauseMisdirected) || p.has(now, pauseRequested)
}

// RecordPause records that the upstream of a ticket has asked for a pause: it wants no request from
// this entry for so long. A later answer can make the pause longer, but not shorter. It reports
// whether a pause has begun.
func (b *Balancer) RecordPause(now clock.Millis, t *Ticket, pause clock.Millis) bool {
	u := t.upstream
	if u == nil {
		return false
	}
	isNew := !u.pauses.has(now, pauseRequested)
	u.pauses.extend(pauseRequested, now+pause)
	u.onTrial = true
	return isNew
}

// resumesAt returns when the first upstream of a service takes requests again, if all that are in
// service have asked for a pause. Otherwise it returns now.
func (b *Balancer) resumesAt(now clock.Millis, s *service) clock.Millis {
	var first clock.Millis
	for _, u := range s.upstreams {
		if !b.view.Usable(u.info) || u.groupState == group.StateClosed || u.pauses.has(now, pauseMisdirected) {
			continue
		}
		if !u.pauses.has(now, pauseRequested) {
			return now
		}
		if end := u.pauses[pauseRequested]; first == 0 || end < first {
			first = end
		}
	}
	return max(first, now)
}

// resumesBefore reports whether an upstream takes requests again before the deadline, after all have
// asked for a pause.
func (b *Balancer) resumesBefore(now clock.Millis, s *service, deadline clock.Millis) bool {
	at := b.resumesAt(now, s)
	return at > now && at <= deadline
}
