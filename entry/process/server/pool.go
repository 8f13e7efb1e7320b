// Package server wires the entry: callers, connections to agents, routing and
// the configuration.
package server

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/connection/agent"
)

// refreshInterval is how often links follow the instance list.
const refreshInterval = 200 * clock.Millis(1)

// pool keeps a link to each agent of the instance list.
type pool struct {
	self  peer.Identity
	key   []byte
	clock *clock.Clock
	log   *event.Log
	view  func() *relay.Snapshot

	mu    sync.Mutex
	links map[string]*link
}

// link is one agent with its last load report.
type link struct {
	*agent.Link
	instance platform.Instance
	cancel   context.CancelFunc

	mu   sync.Mutex
	load frame.Load
}

// run follows the instance list until ctx is done.
func (p *pool) run(ctx context.Context) {
	ticker := time.NewTicker(refreshInterval.Duration())
	defer ticker.Stop()
	for {
		p.refresh(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *pool) refresh(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, i := range p.view().Instances() {
		if i.Role() != platform.RoleAgent {
			continue
		}
		listed[i.Name()] = true
		if l := p.links[i.Name()]; l == nil || l.Address != i.Address() {
			p.open(ctx, i)
		} else {
			l.instance = i
		}
	}
	for name, l := range p.links {
		// A link stays while requests run on it, also when its agent has left
		// the list.
		if !listed[name] && l.Open() == 0 {
			l.cancel()
			delete(p.links, name)
		}
	}
}

// open must be called with mu held.
func (p *pool) open(ctx context.Context, i platform.Instance) {
	if old := p.links[i.Name()]; old != nil {
		old.cancel()
	}
	running, cancel := context.WithCancel(ctx)
	l := &link{instance: i, cancel: cancel}
	l.Link = &agent.Link{
		Name: i.Name(), Address: i.Address(), Self: p.self, Key: p.key, Clock: p.clock, Log: p.log,
		Heartbeat:   func() *frame.Heartbeat { return frame.NewHeartbeat(p.view().Version(), frame.Load{}) },
		OnHeartbeat: func(_ *agent.Link, beat *frame.Heartbeat) { l.setLoad(beat.Load()) },
		OnChange:    func(*agent.Link, bool) {},
	}
	p.links[i.Name()] = l
	go l.Run(running)
}

func (l *link) setLoad(load frame.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = load
}

func (l *link) lastLoad() frame.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load
}

// choose returns the less loaded of two random links that take work of the
// service and were not tried yet, nil for none.
func (p *pool) choose(service string, tried map[string]bool) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*link
	for name, l := range p.links {
		if !tried[name] && p.usable(l, service) {
			candidates = append(candidates, l)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	a := candidates[rand.IntN(len(candidates))]
	b := candidates[rand.IntN(len(candidates))]
	if b.Open() < a.Open() {
		return b
	}
	return a
}

func (p *pool) usable(l *link, service string) bool {
	return l.instance.Service() == service && l.Connected() && p.view().Takes(l.instance) && !l.lastLoad().Condition().Leaving()
}
