package balance

import "goldcrestshore/core/process/clock"

// pauseReason is the reason for which an upstream gets no new requests for a time.
type pauseReason int

const (
	// pauseFailed follows failures and refusals. While all upstreams are paused for it, one
	// of them gets a request now and then.
	pauseFailed pauseReason = iota
	// pauseMisdirected follows an answer of another upstream at the address.
	pauseMisdirected
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
func (p *pauses) bars(now clock.Millis) bool { return p.has(now, pauseMisdirected) }
