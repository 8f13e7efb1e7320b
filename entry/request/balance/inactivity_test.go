package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// holdOne gives one request to each of three upstreams at instant 0.
func holdOne(t *testing.T) (*Balancer, []*Ticket) {
	t.Helper()
	b, _ := fixture(3, nil)
	var tickets []*Ticket
	for range 3 {
		tickets = append(tickets, granted(t, b.Acquire(0, ticket(0))))
	}
	return b, tickets
}

// silence reports agents of tickets as silent.
func silence(b *Balancer, tickets ...*Ticket) {
	ids := make(map[string]bool)
	for _, t := range tickets {
		ids[t.upstream.info.ID] = true
	}
	b.SetUnresponsiveAgents(ids)
}

// Guards against requests that go on to a rank whose instance stands still: they
// are read when it wakes, long after their callers have left.
func TestASilentInstanceGetsNoRequests(t *testing.T) {
	const now = 2 * inactivityTimeout
	b, tickets := holdOne(t)
	still := tickets[0]
	silence(b, still)
	b.RecordActivity(now, tickets[1])
	t.Run("stalled", func(t *testing.T) {
		check.Equal(t, "the silent one", b.ShouldFailOver(now, still), true)
		check.Equal(t, "one that sends", b.ShouldFailOver(now, tickets[1]), false)
		check.Equal(t, "one whose agent answers", b.ShouldFailOver(now, tickets[2]), false)
	})
	t.Run("choice", func(t *testing.T) {
		for range 4 {
			next := granted(t, b.Acquire(now, ticket(now)))
			check.Equal(t, "is the silent one", next.upstream == still.upstream, false)
		}
	})
	t.Run("sends again", func(t *testing.T) {
		b.RecordActivity(now, still)
		check.Equal(t, "stalled", b.ShouldFailOver(now, still), false)
	})
}

// Guards against requests that are moved between ranks while all of them wait for
// the same pass.
func TestNothingIsMovedWhileTheGroupWaits(t *testing.T) {
	const now = 4 * inactivityTimeout
	b, tickets := holdOne(t)
	silence(b, tickets[0])
	check.Equal(t, "stalled", b.ShouldFailOver(now, tickets[0]), false)
	next := granted(t, b.Acquire(now, ticket(now)))
	check.Equal(t, "new request at the silent one", next.upstream == tickets[0].upstream, false)
}

// Guards against an entry that is cut off from agents and takes all ranks for
// silent ones.
func TestMostAgentsSilentTellsNothing(t *testing.T) {
	const now = 2 * inactivityTimeout
	b, tickets := holdOne(t)
	silence(b, tickets[0], tickets[1])
	b.RecordActivity(now, tickets[2])
	check.Equal(t, "stalled", b.ShouldFailOver(now, tickets[0]), false)
}

// Guards against new requests at an instance that has fallen silent while it held
// none.
func TestUpstreamsWithSilentAgentsComeLast(t *testing.T) {
	b, tickets := holdOne(t)
	for _, one := range tickets {
		b.Release(0, one, Succeeded)
	}
	b.SetUnresponsiveAgents(map[string]bool{"model0": true})
	for range 2 * slots {
		next := granted(t, b.Acquire(1, ticket(1)))
		id, _ := next.Upstream()
		check.Equal(t, "is that with the silent agent", id == "model0", false)
	}
}
