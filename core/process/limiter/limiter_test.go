package limiter

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against a division that gives away more than the platform takes.
func TestPartsFitThePlatform(t *testing.T) {
	var reads, writes float64
	for _, p := range Parts() {
		reads += p.Reads()
		writes += p.Writes()
	}
	check.AtMost(t, "reads", reads, float64(PlatformReads))
	check.AtMost(t, "writes", writes, float64(PlatformWrites))
}

// Guards against a fleet that together exceeds a duty's part.
func TestShare(t *testing.T) {
	const holders, seconds = 15, 60
	var limiters []*Limiter
	for range holders {
		limiters = append(limiters, New(Configuration, holders))
	}
	var used uint64
	for at := clock.Millis(0); at < seconds*clock.Second; at += 5 {
		for _, l := range limiters {
			l.Read(at)
		}
	}
	for _, l := range limiters {
		used += l.Use().Reads
	}
	check.AtMost(t, "reads", float64(used), 800*(seconds+burstSeconds))
	check.AtMost(t, "share left unused", 800*(seconds-1), float64(used))
	check.Equal(t, "some were refused", limiters[0].Use().Refused > 0, true)
}

// Guards against a duty that calls without a part, or never although it has one.
func TestEdges(t *testing.T) {
	check.Equal(t, "no part", New(Configuration, 1).Write(1000), false)
	check.Equal(t, "unknown duty", New("other", 1).Read(1000), false)
	check.Equal(t, "small share", New(Operators, 100000).Write(1000), true)
	l := New(Operators, 1)
	l.Share(1000, 100000)
	l.Write(1000)
	check.Equal(t, "second write after a smaller share", l.Write(1000), false)
}
