// Package group is a stand-in for a group of model engines whose ranks advance
// in lock-step on an expert map. It records the map that each rank uses in each
// step, and offers the hooks that the agent of a rank calls.
package group

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// Errors returned by the hooks.
var (
	// ErrStepEntered reports an order for a step that the rank has entered.
	ErrStepEntered = errors.New("the rank has entered that step")
	// ErrStaleToken reports an order with a fencing token below one seen.
	ErrStaleToken = errors.New("stale fencing token")
	// ErrUnknownRank reports a rank that the group does not have.
	ErrUnknownRank = errors.New("unknown rank")
)

// Map identifies an expert map by its owner's fencing token and number.
type Map struct {
	FencingToken uint64 `json:"fence"`
	Version      uint64 `json:"version"`
}

// Change is a switch to a map from a step on, within one membership epoch of the
// group. The zero Change means no change.
type Change struct {
	Epoch uint64 `json:"epoch"`
	To    Map    `json:"to"`
	Step  int64  `json:"step"`
}

// Load identifies an expert to load into a slot of a layer.
type Load struct {
	Layer  int `json:"layer"`
	Slot   int `json:"slot"`
	Expert int `json:"expert"`
}

// State is the state of an engine. It survives a restart of the agent.
type State struct {
	Step         int64  `json:"step"`
	Current      Map    `json:"current"`
	Held         Change `json:"held"`
	Scheduled    Change `json:"scheduled"`
	Paused       bool   `json:"paused"`
	FencingToken uint64 `json:"fence"`
}

// Settings are the settings of a group.
type Settings struct {
	Ranks int
	// StepInterval is the time between two steps of Run.
	StepInterval clock.Millis
	// ChecksFencing makes the engines refuse orders with a stale fencing token.
	ChecksFencing bool
	// Current is the initial map.
	Current Map
}

// maxRecordedSteps bounds the number of recorded steps; older ones are dropped.
const maxRecordedSteps = 4096

// Group is a running group.
type Group struct {
	settings Settings

	mu         sync.Mutex
	ranks      []State
	loads      [][]Load
	mapsByStep map[int64][]Map
	mixedSteps int
}

// New returns a group whose ranks have all entered step 0.
func New(s Settings) *Group {
	g := &Group{settings: s, ranks: make([]State, s.Ranks), loads: make([][]Load, s.Ranks), mapsByStep: map[int64][]Map{}}
	for i := range g.ranks {
		g.ranks[i].Current = s.Current
		g.record(i)
	}
	return g
}

// Run advances the group once per step interval until ctx is done.
func (g *Group) Run(ctx context.Context) {
	clock.Every(ctx, g.settings.StepInterval, func() { g.Advance() })
}

// Advance moves the ranks at the lowest step to the next one, except those that
// are paused or held. It returns the number of ranks that entered a step.
func (g *Group) Advance() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	lowest := g.ranks[0].Step
	for _, r := range g.ranks {
		lowest = min(lowest, r.Step)
	}
	entered := 0
	for i := range g.ranks {
		if g.ranks[i].Step == lowest && !g.ranks[i].stopped() {
			g.enter(i)
			entered++
		}
	}
	return entered
}

// stopped reports whether the rank may not enter its next step.
func (s *State) stopped() bool {
	return s.Paused || (s.Held != Change{} && s.Held.Step == s.Step+1)
}

func (g *Group) enter(i int) {
	s := &g.ranks[i]
	s.Step++
	if s.Scheduled != (Change{}) && s.Scheduled.Step <= s.Step {
		s.Current = s.Scheduled.To
		s.Scheduled = Change{}
	}
	g.record(i)
}

// record stores the map that a rank uses in its step. It counts the step as mixed,
// once, if another rank used a different map.
func (g *Group) record(i int) {
	s := g.ranks[i]
	maps := g.mapsByStep[s.Step]
	uniform := true
	for _, m := range maps {
		uniform = uniform && m == maps[0]
	}
	if len(maps) > 0 && uniform && maps[0] != s.Current {
		g.mixedSteps++
	}
	g.mapsByStep[s.Step] = append(maps, s.Current)
	delete(g.mapsByStep, s.Step-maxRecordedSteps)
}

// MixedSteps returns the number of steps in which ranks used different maps.
func (g *Group) MixedSteps() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.mixedSteps
}

// State returns the state of a rank's engine.
func (g *Group) State(rank int) (State, error) {
	var s State
	err := g.runHook(rank, 0, false, func(r *State) error {
		s = *r
		return nil
	})
	return s, err
}

// Loads returns the expert loads of a rank, in order.
func (g *Group) Loads(rank int) []Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Load(nil), g.loads[rank]...)
}

// Hold makes a rank stop before the change's step.
func (g *Group) Hold(rank int, c Change, token uint64) error {
	return g.runHook(rank, token, true, func(r *State) error {
		if c.Step <= r.Step {
			return ErrStepEntered
		}
		r.Held = c
		return nil
	})
}

// Release removes the hold of a change; another hold stays.
func (g *Group) Release(rank int, c Change, token uint64) error {
	return g.runHook(rank, token, true, func(r *State) error {
		r.clearHold(c)
		return nil
	})
}

// Activate removes the hold of a change and schedules its map for its step.
func (g *Group) Activate(rank int, c Change, token uint64) error {
	return g.runHook(rank, token, true, func(r *State) error {
		if c.Step <= r.Step {
			return ErrStepEntered
		}
		r.clearHold(c)
		r.Scheduled = c
		return nil
	})
}

// Pause stops a rank at its next step boundary, or resumes it.
func (g *Group) Pause(rank int, paused bool, token uint64) error {
	return g.runHook(rank, token, true, func(r *State) error {
		r.Paused = paused
		return nil
	})
}

// Load records the load of an expert.
func (g *Group) Load(rank int, l Load, token uint64) error {
	return g.runHook(rank, token, true, func(*State) error {
		g.loads[rank] = append(g.loads[rank], l)
		return nil
	})
}

func (s *State) clearHold(c Change) {
	if s.Held == c {
		s.Held = Change{}
	}
}

// runHook runs a hook on a rank. A fenced hook raises the fencing token of the rank
// and, if the engines check it, fails with a lower token.
func (g *Group) runHook(rank int, token uint64, fenced bool, hook func(*State) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if rank < 0 || rank >= len(g.ranks) {
		return errors.Wrapf(ErrUnknownRank, "rank %d", rank)
	}
	r := &g.ranks[rank]
	if fenced && g.settings.ChecksFencing && token < r.FencingToken {
		return errors.Wrapf(ErrStaleToken, "token %d is lower than %d", token, r.FencingToken)
	}
	if fenced {
		r.FencingToken = max(r.FencingToken, token)
	}
	return hook(r)
}
