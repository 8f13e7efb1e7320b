// Package server wires the agent: connections from entries, admission, the
// upstream and the configuration.
package server

import (
	"sync"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
)

// gate admits up to a fixed number of requests.
type gate struct {
	limit   func() int
	refusal func(m *frame.Submit) *outcome.Refusal

	mu      sync.Mutex
	held    map[frame.ID]bool
	leaving bool
}

func (g *gate) Submit(id frame.ID, m *frame.Submit, decide func(*outcome.Refusal)) {
	decide(g.admit(id, m))
}

func (g *gate) admit(id frame.ID, m *frame.Submit) *outcome.Refusal {
	if r := g.refusal(m); r != nil {
		return r
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return outcome.Refuse(outcome.OutOfService, outcome.NotRun, 0)
	}
	if len(g.held) >= g.limit() {
		return outcome.Refuse(outcome.Overloaded, outcome.NotRun, 100)
	}
	g.held[id] = true
	return nil
}

func (g *gate) FirstByte(frame.ID) {}

func (g *gate) Done(id frame.ID, _ error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, id)
}

func (g *gate) Withdraw(frame.ID) {}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

func (g *gate) state() (held int, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.held), g.leaving
}
