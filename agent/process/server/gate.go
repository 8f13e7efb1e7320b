// Package server assembles the agent process: connections from entries,
// admission, the upstream and the configuration.
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

// gate connects the admission decision with submitted requests, the
// configuration and the load reports of the upstream.
type gate struct {
	clock *clock.Clock
	// upstreamConfig returns the upstream's part of the configuration in force.
	upstreamConfig func() upstreamConfig
	// precheck returns the refusal of a misdirected request, nil for others.
	precheck func(m *frame.Submit) *outcome.Refusal
	// fetchLoad requests the load report of the upstream.
	fetchLoad func(context.Context) (upstream.Load, error)

	mu         sync.Mutex
	admission  *admission.Admission
	onDecision map[frame.ID]func(*outcome.Refusal)
	applied    upstreamConfig
}

// upstreamConfig is the part of the configuration that admission depends on.
type upstreamConfig struct {
	confirmed    bool
	sendsReports bool // the upstream sends load reports
	drained      bool
	limits       admission.Limits
}

func newGate(service string, c *clock.Clock) *gate {
	return &gate{
		clock:      c,
		admission:  admission.New(service, c.Now()),
		onDecision: make(map[frame.ID]func(*outcome.Refusal)),
	}
}

// Run passes ticks, configuration changes and load reports to admission until
// ctx is done.
func (g *gate) Run(ctx context.Context) {
	go g.pollLoad(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		g.applyConfig()
		g.apply(admission.Tick{})
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// applyConfig applies configuration changes since the last call.
func (g *gate) applyConfig() {
	current := g.upstreamConfig()
	g.mu.Lock()
	previous := g.applied
	g.applied = current
	g.mu.Unlock()
	if current.confirmed && (!previous.confirmed || current.limits != previous.limits) {
		g.apply(admission.NewConfigConfirmed(current.limits))
	}
	if current.drained != previous.drained {
		g.apply(admission.NewDrained(current.drained))
	}
}

// pollLoad polls the load reports of an upstream that sends them.
func (g *gate) pollLoad(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if current := g.upstreamConfig(); !current.confirmed || !current.sendsReports {
			continue
		}
		requestCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		l, err := g.fetchLoad(requestCtx)
		cancel()
		switch {
		case err == nil:
			g.apply(admission.NewEngineReport(l.InFlight(), l.InFlightTokens(), l.Cold(), l.Incarnation()))
		case errors.Is(err, upstream.ErrNotStarted):
			g.apply(admission.UpstreamCrash{})
		}
	}
}

// apply passes an event to admission and executes the resulting actions. The
// callbacks run without the lock, since they may apply further events.
func (g *gate) apply(e admission.Event) {
	g.mu.Lock()
	var calls []func()
	for _, action := range g.admission.Apply(g.clock.Now(), e) {
		switch action := action.(type) {
		case admission.Admit:
			calls = append(calls, g.popDecision(action.ID(), nil))
		case admission.Refuse:
			calls = append(calls, g.popDecision(action.ID(), action.Refusal()))
		}
	}
	g.mu.Unlock()
	for _, call := range calls {
		call()
	}
}

// popDecision removes the callback of a request and returns a function that
// delivers the decision to it. A request that was withdrawn while it was being
// submitted has no callback; its capacity is released.
func (g *gate) popDecision(id frame.ID, refusal *outcome.Refusal) func() {
	onDecision := g.onDecision[id]
	delete(g.onDecision, id)
	if onDecision == nil {
		return func() { g.apply(admission.NewComplete(id, false)) }
	}
	return func() { onDecision(refusal) }
}

// Submit implements entry.Gate.
func (g *gate) Submit(id frame.ID, m *frame.Submit, onDecision func(*outcome.Refusal)) {
	g.applyConfig()
	if r := g.precheck(m); r != nil {
		onDecision(r)
		return
	}
	g.mu.Lock()
	g.onDecision[id] = onDecision
	g.mu.Unlock()
	g.apply(admission.NewSubmit(id, m.RequestOptions(), m.Size()))
}

// FirstByte implements entry.Gate.
func (g *gate) FirstByte(id frame.ID) { g.apply(admission.NewFirstToken(id)) }

// Done implements entry.Gate.
func (g *gate) Done(id frame.ID, err error) {
	if errors.Is(err, upstream.ErrNotStarted) {
		g.apply(admission.UpstreamCrash{})
	}
	g.apply(admission.NewComplete(id, err == nil))
}

// Withdraw implements entry.Gate.
func (g *gate) Withdraw(id frame.ID) {
	g.apply(admission.NewCancel(id))
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.onDecision, id)
}

func (g *gate) stop() { g.apply(admission.Stopping{}) }

// loadReport returns the load report to send to entries.
func (g *gate) loadReport() frame.Load {
	g.applyConfig()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load(g.clock.Now())
}
