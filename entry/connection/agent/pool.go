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

// refreshInterval is how often links follow the instance list.
const refreshInterval = 200 * clock.Millis(1)

// Pool keeps a link to each agent of the instance list. Exported fields are set
// before Run.
type Pool struct {
	Self peer.Identity
	Key  []byte
	Log  *event.Log
	// Clock times lost connections.
	Clock *clock.Clock
	// View returns the configuration and the instance list.
	View func() *relay.Snapshot
	// Dial connects to an agent; nil dials TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnCrash is told of crashes of upstreams; nil ignores them.
	OnCrash func(upstream string, m *frame.Crash)
	// Random seeds the jitter of each link; nil uses the global source.
	Random *rand.Rand

	mu    sync.Mutex
	links map[string]*member
}

// member is one agent of the pool with its last load report.
type member struct {
	*Link
	instance platform.Instance
	cancel   context.CancelFunc

	mu   sync.Mutex
	load frame.Load
}

// Run follows the instance list until ctx is done.
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
	listed := map[string]bool{}
	for _, i := range p.View().Instances() {
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
func (p *Pool) open(ctx context.Context, i platform.Instance) {
	if old := p.links[i.Name()]; old != nil {
		old.cancel()
	}
	running, cancel := context.WithCancel(ctx)
	l := &member{instance: i, cancel: cancel}
	l.Link = &Link{
		Dial: p.Dial, Random: p.linkRandom(), Name: i.Name(), Address: i.Address(), Self: p.Self, Key: p.Key, Clock: p.Clock, Log: p.Log,
		Heartbeat:   func() *frame.Heartbeat { return frame.NewHeartbeat(p.View().Version(), frame.Load{}) },
		OnHeartbeat: func(_ *Link, beat *frame.Heartbeat) { l.setLoad(beat.Load()) },
		OnChange:    func(*Link, bool) {},
		OnCrash:     p.OnCrash,
	}
	p.links[i.Name()] = l
	go l.Run(running)
}

// linkRandom returns a source for one link; sources are not safe to share.
func (p *Pool) linkRandom() *rand.Rand {
	if p.Random == nil {
		return nil
	}
	return rand.New(rand.NewPCG(p.Random.Uint64(), p.Random.Uint64()))
}

func (l *member) setLoad(load frame.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.load = load
}

func (l *member) lastLoad() frame.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.load
}

// Choose returns the less loaded of two random links that take work of the
// service and were not tried yet, nil for none.
func (p *Pool) Choose(service string, tried map[string]bool) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	var candidates []*member
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
		return b.Link
	}
	return a.Link
}

func (p *Pool) usable(l *member, service string) bool {
	return l.instance.Service() == service && l.Connected() && p.View().Takes(l.instance) && !l.lastLoad().Condition().Leaving()
}
