package balance

import (
	"math"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// sharedLimit is a limit on the requests of all entries to an upstream.
type sharedLimit struct {
	// allowed is how many requests entries could have sent since the limit began.
	allowed float64
	// perSecond is how many more they may send each second.
	perSecond float64
	// turnLifetime is how long an entry may use its turn.
	turnLifetime clock.Millis
}

// turns are the turns of this entry to send a request to an upstream whose limit all entries
// share. Entries send one after another, and a turn that is not used ends, so that entries that
// have been idle do not send at the same moment.
//
// A turn begins when the limit has allowed a certain number of requests. Turns therefore do not
// move when the limit changes, and none is used twice.
type turns struct {
	sharedLimit
	now clock.Millis
	// first is the number of allowed requests at which the first turn begins.
	first float64
	// round is the number of requests from one turn to the next: one of each entry.
	round float64
}

// turns returns the turns of this entry at an upstream.
func (b *Balancer) turns(now clock.Millis, u *upstream, l sharedLimit) turns {
	entries := b.entries.value(now)
	round := float64(entries)
	return turns{sharedLimit: l, now: now, first: b.place(u, entries) * round, round: round}
}

// next returns when the next request may be sent, in a turn that begins at from or later.
func (t turns) next(from float64) clock.Millis {
	earliest := max(t.allowed, t.first, from)
	begin := t.beginning(earliest)
	end := begin + t.perSecond*float64(t.turnLifetime)/float64(clock.Second)
	if earliest >= end {
		earliest = begin + t.round
	}
	return t.now + t.timeFor(earliest-t.allowed)
}

// use returns the beginning of the turn after the one that is used now. from is what the last
// call of use returned.
func (t turns) use(from float64) float64 { return max(t.beginning(t.allowed), from) + t.round }

// beginning returns the beginning of the latest turn once the limit has allowed some requests.
func (t turns) beginning(allowed float64) float64 {
	return t.first + math.Floor((allowed-t.first)/t.round)*t.round
}

// interval returns the time from one turn to the next.
func (t turns) interval() clock.Millis { return t.timeFor(t.round) }

// timeFor returns the time in which the limit allows some requests.
func (t turns) timeFor(requests float64) clock.Millis {
	return clock.Millis(math.Ceil(requests / t.perSecond * float64(clock.Second)))
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
