package limiter

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against quotas whose sum exceeds the rates of the platform.
func TestQuotasFitPlatformRates(t *testing.T) {
	var reads, writes float64
	for _, q := range Quotas() {
		reads += q.Reads()
		writes += q.Writes()
	}
	check.AtMost(t, "reads", reads, float64(PlatformReads))
	check.AtMost(t, "writes", writes, float64(PlatformWrites))
}

// Guards against holders that together exceed or cannot use the quota of a duty.
func TestHoldersStayWithinQuota(t *testing.T) {
	const holders, seconds = 15, 60
	var limiters []*Limiter
	for range holders {
		limiters = append(limiters, New(Configuration, holders))
	}
	var allowed uint64
	for at := clock.Millis(0); at < seconds*clock.Second; at += 5 {
		for _, l := range limiters {
			l.Read(at)
		}
	}
	for _, l := range limiters {
		allowed += l.Usage().Reads
	}
	check.AtMost(t, "reads", float64(allowed), 800*(seconds+burstSeconds))
	check.AtMost(t, "reads that the quota allows", 800*(seconds-1), float64(allowed))
	check.Equal(t, "some reads were refused", limiters[0].Usage().Refused > 0, true)
}

// Guards against calls of a duty without a quota, and against a duty with a small
// share of a quota that is never allowed a call.
func TestEdges(t *testing.T) {
	check.Equal(t, "no quota", New(Configuration, 1).Write(1000), false)
	check.Equal(t, "unknown duty", New("other", 1).Read(1000), false)
	check.Equal(t, "small share", New(Operators, 100000).Write(1000), true)
	l := New(Operators, 1)
	l.SetHolders(1000, 100000)
	l.Write(1000)
	check.Equal(t, "second write after the share shrank", l.Write(1000), false)
}
