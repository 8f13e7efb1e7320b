package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against metrics that report another state than the one used to choose
// upstreams.
func TestStatus(t *testing.T) {
	const now = 2 * inactivityTimeout
	b, state := fixture(6, nil)
	var tickets []*Ticket
	for range 6 {
		tickets = append(tickets, granted(t, b.Acquire(0, ticket(0))))
	}
	upstreamOf := func(i int) string { id, _ := tickets[i].Upstream(); return id }
	slow, drained, failed := upstreamOf(1), tickets[2].upstream.info, tickets[3]
	setUnresponsive(b, tickets[0])
	b.SetSlowdowns(map[string]float64{slow: 2 * slowMinSlowdown})
	state.SetDrained(map[string]bool{drained.DataCentre: true})
	b.Release(now, failed, Failed)
	b.RecordActivity(now, tickets[4])
	waiting := ticket(now)
	waiting.Priority = 3
	for i := 0; ; i++ {
		if _, queued := b.Acquire(now, waiting).(Wait); queued {
			break
		}
		waiting = ticket(now)
		waiting.Priority = 3
		check.AtMost(t, "requests until one waits", i, 6*limit)
	}
	var got Status
	for _, s := range b.Status(now) {
		if s.Service == "model" {
			got = s
		}
	}
	for state, want := range map[State]int{Unresponsive: 1, Slow: 1, OutOfService: 1, Skipped: 1, Usable: 2, Cold: 0} {
		check.Equal(t, string(state), got.Upstreams[state], want)
	}
	check.Equal(t, "queued at the priority", got.Queued[3], 1)
	check.Equal(t, "customers that wait", got.QueuedCustomers, 1)
	check.Equal(t, "most requests of one that wait", got.MostQueued, 1)
	check.Equal(t, "longest inactivity", got.MaxInactivity, now)
	check.Equal(t, "limit", got.Limit, 5*limit)
}
