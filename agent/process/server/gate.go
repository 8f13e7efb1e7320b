// Package server wires the agent: connections from entries, admission, the
// upstream and the configuration.
package server

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/request/admission"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	tickInterval = 50 * time.Millisecond
	pollInterval = 200 * time.Millisecond
	pollTimeout  = 1 * time.Second
)

// gate joins the admission decision with the requests and the upstream.
type gate struct {
	clock *clock.Clock
	// state returns what the configuration in force says.
	state func() state
	// refusal refuses work that was sent by mistake.
	refusal func(m *frame.Submit) *outcome.Refusal
	// load asks the upstream for its load report.
	load func(context.Context) (upstream.Load, error)

	mu        sync.Mutex
	admission *admission.Admission
	decide    map[frame.ID]func(*outcome.Refusal)
	applied   state
}

// state is the part of the configuration that admission follows.
type state struct {
	confirmed bool
	reports   bool // the upstream sends load reports
	out       bool
	limits    admission.Limits
}

func newGate(service string, c *clock.Clock) *gate {
	return &gate{
		clock:     c,
		admission: admission.New(service, c.Now()),
		decide:    make(map[frame.ID]func(*outcome.Refusal)),
	}
}

// Run lets time pass and follows the configuration and the load reports until
// ctx ends.
func (g *gate) Run(ctx context.Context) {
	go g.poll(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.follow()
		g.apply(admission.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// follow applies changes of the configuration.
func (g *gate) follow() {
	now := g.state()
	g.mu.Lock()
	before := g.applied
	g.applied = now
	g.mu.Unlock()
	if now.confirmed && (!before.confirmed || now.limits != before.limits) {
		g.apply(admission.NewConfigConfirmed(now.limits))
	}
	if now.out != before.out {
		g.apply(admission.NewDrained(now.out))
	}
}

// poll reads the load reports of an upstream that sends them.
func (g *gate) poll(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if now := g.state(); !now.confirmed || !now.reports {
			continue
		}
		asking, cancel := context.WithTimeout(ctx, pollTimeout)
		l, err := g.load(asking)
		cancel()
		switch {
		case err == nil:
			g.apply(admission.NewEngineReport(l.InFlight(), l.InFlightTokens(), l.Cold(), l.Incarnation()))
		case errors.Is(err, upstream.ErrNotStarted):
			g.apply(admission.UpstreamCrash{})
		}
	}
}

// apply carries out what follows from an event. Decisions are passed on outside
// the lock, since they may come back with the next event.
func (g *gate) apply(e admission.Event) {
	g.mu.Lock()
	var calls []func()
	for _, action := range g.admission.Apply(g.clock.Now(), e) {
		switch action := action.(type) {
		case admission.Admit:
			calls = append(calls, g.take(action.ID(), nil))
		case admission.Refuse:
			calls = append(calls, g.take(action.ID(), action.Refusal()))
		}
	}
	g.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// take returns the call that passes a decision on. A request that was withdrawn
// while it was being submitted has nobody waiting; its place is given back.
func (g *gate) take(id frame.ID, refusal *outcome.Refusal) func() {
	decide := g.decide[id]
	delete(g.decide, id)
	if decide == nil {
		return func() { g.apply(admission.NewComplete(id, false)) }
	}
	return func() { decide(refusal) }
}

// Submit asks for admission.
func (g *gate) Submit(id frame.ID, m *frame.Submit, decide func(*outcome.Refusal)) {
	g.follow()
	if r := g.refusal(m); r != nil {
		decide(r)
		return
	}
	g.mu.Lock()
	g.decide[id] = decide
	g.mu.Unlock()
	g.apply(admission.NewSubmit(id, m.RequestOptions(), m.Size()))
}

// FirstByte reports that the answer has begun.
func (g *gate) FirstByte(id frame.ID) { g.apply(admission.NewFirstToken(id)) }

// Done reports that an admitted request has left the upstream.
func (g *gate) Done(id frame.ID, err error) {
	if errors.Is(err, upstream.ErrNotStarted) {
		g.apply(admission.UpstreamCrash{})
	}
	g.apply(admission.NewComplete(id, err == nil))
}

// Withdraw gives up a request that may still wait for admission.
func (g *gate) Withdraw(id frame.ID) {
	g.apply(admission.NewCancel(id))
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.decide, id)
}

func (g *gate) leave() { g.apply(admission.Stopping{}) }

// report returns the load report for the entries.
func (g *gate) report() frame.Load {
	g.follow()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load(g.clock.Now())
}
