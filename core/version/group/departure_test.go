package group

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against messages about upstreams that leave which never end, which outgrow a datagram, or in
// which a doubled message takes the place of another one.
func TestRecentDepartures(t *testing.T) {
	var r RecentDepartures
	now := clock.Hour
	r.Add(now, Departure{"u", 5})
	r.Add(now+departureTTL/2, Departure{"u", 5})
	check.Equal(t, "told twice", len(r.List(now+departureTTL)), 1)
	check.Equal(t, "told later than its time", len(r.List(now+departureTTL+1)), 0)
	check.Equal(t, "kept", len(r.addedAt), 0)
	for i := range 2 * MaxDepartures {
		r.Add(now+clock.Millis(i), Departure{fmt.Sprint("u", i), 5})
	}
	got := r.List(now + 1000)
	check.Equal(t, "in one message", len(got), MaxDepartures)
	check.Equal(t, "the latest one", got[0].Upstream, fmt.Sprint("u", 2*MaxDepartures-1))
}
