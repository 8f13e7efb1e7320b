package balance

import (
	"math"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// turns are the turns of this entry to send a request to an upstream whose limit all entries
// share. Entries send one after another, and a turn that is not used ends, so that entries that
// have been idle do not send at the same moment.
//
// Turns begin at numbers of requests that the limit has allowed since its beginning. They do not
// move when the limit changes, so that no turn is used twice.
type turns struct {
	now clock.Millis
	// allowed is how many requests the limit has allowed until now.
	allowed float64
	// perSecond is how many more requests the limit allows each second.
	perSecond float64
	// first is the beginning of the first turn.
	first float64
	// round is the distance from one turn to the next: each entry has one in a round.
	round float64
	// lifetime is how long a turn may be used, in requests that the limit allows meanwhile.
	lifetime float64
}

// turns returns the turns of this entry at an upstream whose limit has allowed some requests
// until now. fraction is the fraction of the limit that entries use.
func (b *Balancer) turns(now clock.Millis, u *upstream, allowed, perSecond, fraction float64, lifetime clock.Millis) turns {
	entries := b.entries.value(now)
	round := float64(entries) / fraction
	return turns{
		now: now, allowed: allowed, perSecond: perSecond,
		first: b.place(u, entries) * round, round: round,
		lifetime: perSecond * float64(lifetime) / float64(clock.Second),
	}
}

// next returns when the next request may be sent in a turn that begins at from or later.
func (t turns) next(from float64) clock.Millis {
	earliest := max(t.allowed, t.first, from)
	begin := t.beginning(earliest)
	if earliest >= begin+t.lifetime {
		earliest = begin + t.round
	}
	wait := (earliest - t.allowed) / t.perSecond * float64(clock.Second)
	return t.now + clock.Millis(math.Ceil(wait))
}

// use returns where the turn after the one that is used now begins. from is what the last use
// returned.
func (t turns) use(from float64) float64 { return max(t.beginning(t.allowed), from) + t.round }

// beginning returns the beginning of the turn in which the limit has allowed some requests.
func (t turns) beginning(allowed float64) float64 {
	return t.first + math.Floor((allowed-t.first)/t.round)*t.round
}

// interval returns the time from one turn to the next.
func (t turns) interval() clock.Millis {
	return clock.Millis(math.Ceil(t.round / t.perSecond * float64(clock.Second)))
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
