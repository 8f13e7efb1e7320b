package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a group that waits for requests which were in flight at a rank when
// it became slow.
func TestRequestsFailOverFromSlowRank(t *testing.T) {
	b, tickets := grantOneEach(t)
	slow := tickets[0]
	id, _ := slow.Upstream()
	b.SetSlowdowns(map[string]float64{id: 12})
	check.Equal(t, "request at the slow rank fails over", b.ShouldFailOver(0, slow), true)
	check.Equal(t, "request at another rank fails over", b.ShouldFailOver(0, tickets[1]), false)
	for range 2 * limit {
		b.Acquire(0, ticket(0))
	}
	check.Equal(t, "request fails over while the others are full", b.ShouldFailOver(0, slow), false)
}

// Guards against requests at a slow rank, for which all ranks of the group wait in
// every forward pass.
func TestSlowRanksGetFewerRequests(t *testing.T) {
	inFlight := func(slowdowns map[string]float64, requests int) map[string]int {
		b, _ := fixture(3, nil)
		b.SetSlowdowns(slowdowns)
		for range requests {
			b.Acquire(0, ticket(0))
		}
		return b.InFlight()
	}
	t.Run("slightly slow", func(t *testing.T) {
		check.Equal(t, "in flight", inFlight(map[string]float64{"model0": 2}, 5)["model0"], 1)
	})
	t.Run("very slow", func(t *testing.T) {
		check.Equal(t, "in flight", inFlight(map[string]float64{"model0": 12}, 3*limit)["model0"], 0)
	})
	t.Run("all are slow", func(t *testing.T) {
		got := inFlight(map[string]float64{"model0": 12, "model1": 12, "model2": 12}, 3*limit)
		check.Equal(t, "in flight", got["model0"], 1)
	})
	t.Run("unknown", func(t *testing.T) {
		check.Equal(t, "in flight", inFlight(nil, 3*limit)["model0"], limit)
	})
}
