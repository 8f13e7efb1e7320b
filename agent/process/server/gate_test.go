package server

import (
	"context"
	"testing"

	"goldcrestshore/agent/request/admission"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// newTestGate returns a gate of a plain service with the given limit, and its
// configuration.
func newTestGate(limit int) (*gate, *upstreamConfig) {
	config := &upstreamConfig{confirmed: true, limits: admission.NewLimits(limit, limit, 0, 0).WithoutReports()}
	g := newGate("registro", clock.NewManual(clock.Hour))
	g.upstreamConfig = func() upstreamConfig { return *config }
	g.precheck = func(*frame.Submit) *outcome.Refusal { return nil }
	g.fetchLoad = func(context.Context) (upstream.Load, error) { return upstream.Load{}, nil }
	return g, config
}

// submit submits a request and returns a pointer to its current state: "waiting",
// "admitted" or the code of its refusal.
func submit(g *gate, id frame.ID) *string {
	result := "waiting"
	terms := frame.NewRequestOptions(int64(clock.Minute), 0, true, false, "")
	m := frame.NewSubmit("registro", "a", frame.Call{}, terms, frame.Size{}, 0)
	g.Submit(id, m, func(r *outcome.Refusal) {
		result = "admitted"
		if r != nil {
			result = string(r.Code())
		}
	})
	return &result
}

func TestGate(t *testing.T) {
	first, second := frame.NewID(1, 1), frame.NewID(1, 2)
	t.Run("a waiting request is admitted when capacity becomes free", func(t *testing.T) {
		g, _ := newTestGate(1)
		check.Equal(t, "first", *submit(g, first), "admitted")
		waiting := submit(g, second)
		check.Equal(t, "second", *waiting, "waiting")
		g.Done(first, nil)
		check.Equal(t, "second after the first", *waiting, "admitted")
	})
	t.Run("a withdrawn request receives no decision", func(t *testing.T) {
		g, _ := newTestGate(1)
		submit(g, first)
		waiting := submit(g, second)
		g.Withdraw(second)
		g.Done(first, nil)
		check.Equal(t, "second", *waiting, "waiting")
		check.Equal(t, "in flight", g.admission.InFlight(), 0)
	})
	t.Run("a drain flag refuses new work immediately", func(t *testing.T) {
		g, config := newTestGate(1)
		submit(g, first)
		config.drained = true
		check.Equal(t, "second", *submit(g, second), string(outcome.OutOfService))
	})
	t.Run("a withdrawal that overtakes its submission releases the capacity", func(t *testing.T) {
		g, _ := newTestGate(1)
		g.applyConfig()
		terms := frame.NewRequestOptions(int64(clock.Minute), 0, true, false, "")
		g.apply(admission.NewSubmit(first, terms, frame.Size{}))
		check.Equal(t, "in flight", g.admission.InFlight(), 0)
	})
}
