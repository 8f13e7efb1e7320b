package engine

import (
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// start returns an engine and a function that submits a job; the result of the
// function is set when the job completes.
func start(o Options) (*Simulation, *Engine, func(prompt, output int) *bool) {
	sim := NewSimulation()
	e := New(sim, o, rand.New(rand.NewPCG(1, 1)))
	submit := func(prompt, output int) *bool {
		ok := new(bool)
		e.Submit(&Job{Prompt: prompt, Output: output, OnFirstToken: func() {}, OnEnd: func(done bool) { *ok = done }})
		return ok
	}
	return sim, e, submit
}

func TestEngine(t *testing.T) {
	t.Run("a job completes", func(t *testing.T) {
		sim, _, submit := start(DefaultOptions())
		ok := submit(500, 20)
		sim.Run(10 * clock.Second)
		check.Equal(t, "completed", *ok, true)
	})
	t.Run("running out of memory crashes the engine", func(t *testing.T) {
		o := DefaultOptions()
		o.BudgetTokens = 1000
		sim, e, submit := start(o)
		submit(700, 200)
		submit(700, 200)
		sim.Run(clock.Second)
		check.Equal(t, "out-of-memory crashes", e.Counts().OutOfMemory, 1)
		sim.Run(o.Restart)
		check.Equal(t, "cold after the restart", e.Cold(), true)
	})
	t.Run("jobs above the cold capacity are counted and crash a cold engine", func(t *testing.T) {
		_, e, submit := start(DefaultOptions())
		e.TurnCold()
		for range 2*e.options.ColdCapacity + 1 {
			submit(100, 100)
		}
		check.Equal(t, "over the limit", e.Counts().OverLimit, e.options.ColdCapacity+1)
		check.Equal(t, "crashes", e.Counts().Crashes, 1)
	})
	t.Run("jobs from before the engine turned cold are not counted", func(t *testing.T) {
		_, e, submit := start(DefaultOptions())
		for range 20 {
			submit(100, 100)
		}
		e.TurnCold()
		submit(100, 100)
		check.Equal(t, "over the limit", e.Counts().OverLimit, 0)
	})
}
