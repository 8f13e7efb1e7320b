package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// grantOneEach grants one request at each of three upstreams at time 0.
func grantOneEach(t *testing.T) (*Balancer, []*Ticket) {
	t.Helper()
	b, _ := fixture(3, nil)
	var tickets []*Ticket
	for range 3 {
		tickets = append(tickets, granted(t, b.Acquire(0, ticket(0))))
	}
	return b, tickets
}

// setUnresponsive marks the agents of the tickets' upstreams as unresponsive.
func setUnresponsive(b *Balancer, tickets ...*Ticket) {
	ids := make(map[string]bool)
	for _, t := range tickets {
		ids[t.upstream.info.ID] = true
	}
	b.SetUnresponsiveAgents(ids)
}

// Guards against requests sent to a rank whose instance is stalled, which reads them
// when it resumes, long after their callers have disconnected.
func TestUnresponsiveInstanceGetsNoRequests(t *testing.T) {
	const now = 2 * inactivityTimeout
	b, tickets := grantOneEach(t)
	stalled := tickets[0]
	setUnresponsive(b, stalled)
	b.RecordActivity(now, tickets[1])
	t.Run("fail over", func(t *testing.T) {
		check.Equal(t, "from the unresponsive upstream", b.ShouldFailOver(now, stalled), true)
		check.Equal(t, "from an active upstream", b.ShouldFailOver(now, tickets[1]), false)
		check.Equal(t, "from an upstream whose agent responds", b.ShouldFailOver(now, tickets[2]), false)
	})
	t.Run("choice", func(t *testing.T) {
		for range 4 {
			next := granted(t, b.Acquire(now, ticket(now)))
			check.Equal(t, "chosen upstream is the unresponsive one", next.upstream == stalled.upstream, false)
		}
	})
	t.Run("sends again", func(t *testing.T) {
		b.RecordActivity(now, stalled)
		check.Equal(t, "fail over", b.ShouldFailOver(now, stalled), false)
	})
}

// Guards against requests that fail over between ranks while all of them wait for
// the same forward pass.
func TestNoFailOverWhileWholeGroupWaits(t *testing.T) {
	const now = 4 * inactivityTimeout
	b, tickets := grantOneEach(t)
	setUnresponsive(b, tickets[0])
	check.Equal(t, "fail over", b.ShouldFailOver(now, tickets[0]), false)
	next := granted(t, b.Acquire(now, ticket(now)))
	check.Equal(t, "new request at the unresponsive upstream", next.upstream == tickets[0].upstream, false)
}

// Guards against an entry that is cut off from the agents and treats all ranks as
// unresponsive.
func TestMostAgentsUnresponsiveIsIgnored(t *testing.T) {
	const now = 2 * inactivityTimeout
	b, tickets := grantOneEach(t)
	setUnresponsive(b, tickets[0], tickets[1])
	b.RecordActivity(now, tickets[2])
	check.Equal(t, "fail over", b.ShouldFailOver(now, tickets[0]), false)
}

// Guards against new requests at an instance that became unresponsive while it had
// none in flight.
func TestUpstreamsWithUnresponsiveAgentsComeLast(t *testing.T) {
	b, tickets := grantOneEach(t)
	for _, each := range tickets {
		b.Release(0, each, Succeeded)
	}
	b.SetUnresponsiveAgents(map[string]bool{"model0": true})
	for range 2 * slots {
		next := granted(t, b.Acquire(1, ticket(1)))
		id, _ := next.Upstream()
		check.Equal(t, "chosen upstream is the one with the unresponsive agent", id == "model0", false)
	}
}
