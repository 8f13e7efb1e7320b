package sidecar

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// Guards against entries that are told of a limit that has ended since, of an end that an
// entry has not noticed yet, or of limits of upstreams that are long gone.
func TestLatestRateLimitCounts(t *testing.T) {
	r := make(rateLimits)
	now := clock.Hour
	r.record(now, []group.RateLimit{{Upstream: "u", PerSecond: 2, Age: 100}})
	r.record(now, []group.RateLimit{{Upstream: "u", PerSecond: 3, Age: 200}})
	check.Equal(t, "limit", r.recent(now)[0].PerSecond, 2)
	check.Equal(t, "age", r.recent(now + 50)[0].Age, 150)
	r.record(now, []group.RateLimit{{Upstream: "u", Age: 10}})
	r.record(now+endedLimitTTL, []group.RateLimit{{Upstream: "u", PerSecond: 2, Age: 100 + int64(endedLimitTTL)}})
	check.Equal(t, "after its end", r.recent(now + endedLimitTTL - 10)[0].PerSecond, 0)
	check.Equal(t, "long after its end", len(r.recent(now+endedLimitTTL)), 0)
	r.record(now, []group.RateLimit{{Upstream: "v", PerSecond: 2}})
	check.Equal(t, "long after it was stated", len(r.recent(now+limitTTL+1)), 0)
	check.Equal(t, "kept", len(r), 0)
}

// Guards against replies that do not fit in a datagram, and against old limits that take the
// place of new ones.
func TestRateLimitsFitInADatagram(t *testing.T) {
	r := make(rateLimits)
	for i := range 3 * group.MaxRateLimits {
		r.record(clock.Hour, []group.RateLimit{{Upstream: fmt.Sprint("u", i), PerSecond: 1, Age: int64(1000 - i)}})
	}
	got := r.recent(clock.Hour)
	check.Equal(t, "limits", len(got), group.MaxRateLimits)
	check.Equal(t, "latest", got[0].Upstream, fmt.Sprint("u", 3*group.MaxRateLimits-1))
}

// Guards against entries that take their turns at the same time, because they do not know how
// many others come before them.
func TestPositionsOfEntries(t *testing.T) {
	s, _ := newServer(t)
	for _, name := range []string{"b", "c", "a"} {
		s.handleHeartbeat(&group.EntryHeartbeat{Entry: name})
	}
	for position, name := range []string{"a", "b", "c"} {
		check.Equal(t, name, s.limitsFor(name).Position, position)
	}
}
