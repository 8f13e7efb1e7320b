package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/relay"
)

// refreshInterval is the time between two updates of the links from the instance
// list.
const refreshInterval = 200 * clock.Millis(1)

// Router selects the agents to connect to and receives their load reports.
type Router interface {
	// DesiredAgents returns the agents to which connections are maintained.
	DesiredAgents() map[string]bool
	// Heartbeat receives an agent's load report.
	Heartbeat(agent string, load frame.Load)
	// ConnectionLost reports that the connection to an agent was lost.
	ConnectionLost(agent string)
}

// Pool maintains a link to each agent that the router selects. Exported fields
// must be set before Run.
type Pool struct {
	Router Router
	Self   peer.Identity
	Key    []byte
	Log    *event.Log
	// Clock measures how long connections have been lost.
	Clock *clock.Clock
	// CurrentSnapshot returns the configuration and the instance list.
	CurrentSnapshot func() *relay.Snapshot
	// Dial connects to an agent; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnCrash receives reports of crashes of upstreams; nil ignores them.
	OnCrash func(upstream string, m *frame.Crash)
	// Random seeds the jitter of each link; nil uses the global source.
	Random *rand.Rand

	mu    sync.Mutex
	links map[string]*member
	// queryLinks holds the expiry of each link that was opened for a query to an
	// agent that the router does not select.
	queryLinks map[string]clock.Millis
}

// member is the link to one agent of the pool.
type member struct {
	*Link
	cancel context.CancelFunc
}

// Run updates the links from the instance list until ctx is done.
func (p *Pool) Run(ctx context.Context) {
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

func (p *Pool) refresh(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links == nil {
		p.links = map[string]*member{}
	}
	desired := p.Router.DesiredAgents()
	p.addQueryLinks(desired)
	for _, i := range p.CurrentSnapshot().Instances() {
		if i.Role() != platform.RoleAgent || !desired[i.Name()] {
			continue
		}
		if l := p.links[i.Name()]; l == nil || l.Address != i.Address() {
			p.openLink(ctx, i)
		}
	}
	for name, l := range p.links {
		// A link is kept while requests run on it, even if its agent is no longer
		// desired.
		if !desired[name] && l.OpenExchanges() == 0 {
			l.cancel()
			delete(p.links, name)
		}
	}
}

// openLink replaces the link to an instance. It must be called with mu held.
func (p *Pool) openLink(ctx context.Context, i platform.Instance) {
	if old := p.links[i.Name()]; old != nil {
		old.cancel()
	}
	linkCtx, cancel := context.WithCancel(ctx)
	l := &member{cancel: cancel}
	l.Link = &Link{
		Dial: p.Dial, Random: p.linkRandom(), Name: i.Name(), Address: i.Address(), Self: p.Self, Key: p.Key, Clock: p.Clock, Log: p.Log,
		Heartbeat: func() *frame.Heartbeat {
			return frame.NewHeartbeat(p.CurrentSnapshot().ConfigurationVersion(), frame.Load{})
		},
		OnHeartbeat: func(_ *Link, heartbeat *frame.Heartbeat) { p.Router.Heartbeat(i.Name(), heartbeat.Load()) },
		OnConnectionChange: func(_ *Link, connected bool) {
			if !connected {
				p.Router.ConnectionLost(i.Name())
			}
		},
		OnCrash: p.OnCrash,
	}
	p.links[i.Name()] = l
	go l.Run(linkCtx)
}

// linkRandom returns a source for one link; a source is not safe for concurrent
// use.
func (p *Pool) linkRandom() *rand.Rand {
	if p.Random == nil {
		return nil
	}
	return rand.New(rand.NewPCG(p.Random.Uint64(), p.Random.Uint64()))
}

// Link returns the link to an agent, or nil if there is none.
func (p *Pool) Link(name string) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.links[name]; l != nil {
		return l.Link
	}
	return nil
}
