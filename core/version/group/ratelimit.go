package group

import (
	"cmp"
	"slices"

	"goldcrestshore/core/process/clock"
)

// MaxRateLimits bounds the statements in a RateLimits, so that it fits in a datagram.
const MaxRateLimits = 16

// SortRateLimits puts the latest statements first.
func SortRateLimits(limits []RateLimit) {
	slices.SortFunc(limits, func(a, b RateLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Upstream, b.Upstream))
	})
}

// Statement is what an upstream has stated about how many requests it takes, in the time of
// this process. The zero value is that of an upstream that has never stated a limit.
type Statement struct {
	// PerSecond is the number of requests per second, 0 for no limit.
	PerSecond float64
	// At is when the upstream stated so.
	At clock.Millis
	// Allowed is how many requests the limit has allowed from its beginning until At. All who
	// share the limit count their turns by it, so that turns do not move when the limit changes.
	Allowed float64
}

// Statement returns the statement in a message that has just been received.
func (l *RateLimit) Statement(now clock.Millis) Statement {
	return Statement{l.PerSecond, now - clock.Millis(max(l.Age, 0)), l.Allowed}
}

// RateLimit returns a message with the statement that an upstream has made.
func (s Statement) RateLimit(now clock.Millis, upstream string) RateLimit {
	return RateLimit{upstream, s.PerSecond, int64(now - s.At), s.Allowed}
}

// Limited reports whether the upstream stated a limit.
func (s Statement) Limited() bool { return s.PerSecond > 0 }

// AllowedUntil returns how many requests the limit has allowed until a time at or after At.
func (s Statement) AllowedUntil(t clock.Millis) float64 {
	return s.Allowed + s.PerSecond*float64(t-s.At)/float64(clock.Second)
}

// Merge returns the later one of two statements of an upstream, other if both were made at
// once. If both are limits, the later one goes on with what the earlier one has allowed, so
// that all who merge the same statements agree on it.
func (s Statement) Merge(other Statement) Statement {
	later, earlier := other, s
	if s.At > other.At {
		later, earlier = s, other
	}
	if later.Limited() && earlier.Limited() {
		later.Allowed = max(later.Allowed, earlier.AllowedUntil(later.At))
	}
	return later
}
