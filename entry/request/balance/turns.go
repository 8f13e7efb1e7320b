package balance

import (
	"math"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// turns are the times at which this entry may send a request to an upstream whose limit all
// entries share. Entries send one after another, and a turn that is not used ends, so that
// entries that have been idle do not send at the same moment.
type turns struct {
	first clock.Millis
	// interval is the time from one turn to the next.
	interval clock.Millis
	// lifetime is how long a turn may be used.
	lifetime clock.Millis
}

// next returns when the next request may be sent after the last one was sent at lastSend.
func (t turns) next(now, lastSend clock.Millis) clock.Millis {
	if now < t.first {
		return t.first
	}
	current := now - (now-t.first)%t.interval
	if lastSend < current && now < current+t.lifetime {
		return now
	}
	return current + t.interval
}

// turns returns the turns of this entry at an upstream that takes perSecond requests from all
// entries together since the time since.
func (b *Balancer) turns(now clock.Millis, u *upstream, since clock.Millis, perSecond float64, lifetime clock.Millis) turns {
	entries := b.entries.value(now)
	interval := clock.Millis(math.Ceil(float64(entries) / perSecond * float64(clock.Second)))
	first := since + clock.Millis(b.place(u, entries)*float64(interval))
	return turns{first, interval, lifetime}
}

// place returns where among the turns of all entries this entry's turn is, from 0 to 1. The
// places of entries with known positions are evenly spaced. They differ between upstreams, so
// that the same entry is not the first one everywhere.
func (b *Balancer) place(u *upstream, entries int) float64 {
	if b.position == unknownPosition {
		return fraction(fingerprint.OfValues(b.settings.Entry, u.info.ID))
	}
	offset := int(fraction(fingerprint.OfValues(u.info.ID)) * float64(entries))
	return float64((b.position+offset)%entries) / float64(entries)
}

// fraction maps a fingerprint to a number from 0 to 1.
func fraction(f fingerprint.Fingerprint) float64 {
	const bits = 53 // of precision of a float64
	return float64(f>>(64-bits)) / (1 << bits)
}
