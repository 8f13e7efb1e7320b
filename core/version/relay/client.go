// Package relay distributes the configuration text, the out marks and the
// instance list among the processes (docs/design.md section 5).
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/ring"
	"goldcrestshore/core/version/adopt"
	"goldcrestshore/core/version/mark"
)

const (
	// tickInterval is the resolution of the decisions that wait for time.
	tickInterval = 250 * clock.Millis(1)
	// ringSize is the number of received values that wait for the main loop.
	ringSize = 256
)

// Client holds the configuration of one process. Exported fields are set
// before Run.
type Client struct {
	Platform *platform.Client
	Log      *event.Log
	Clock    *clock.Clock

	adopter adopt.Adopter
	inbox   *ring.Ring[input]
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{}
}

// input is what the goroutines around the main loop tell it.
type input interface {
	input()
}

// offered is a configuration text; relay is empty for the platform.
type offered struct {
	relay   string
	version uint64
	value   []byte
}

// marked is the set of out marks at a version.
type marked struct {
	version uint64
	marks   mark.Set
}

// listed is the instance list.
type listed struct {
	version uint64
	list    []platform.Instance
}

// failed is a platform call without an answer.
type failed struct {
	err error
}

func (offered) input() {}
func (marked) input()  {}
func (listed) input()  {}
func (failed) input()  {}

// Current returns what the process holds now; never nil.
func (c *Client) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Changed returns a channel that is closed at the next change of Current. Take
// the channel before reading Current, so that no change is missed.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// publish replaces Current and wakes those that wait for a change.
func (c *Client) publish(s *Snapshot) {
	c.current.Store(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Run keeps Current up to date until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	c.inbox = ring.New[input](ringSize)
	group, ctx := errgroup.WithContext(ctx)
	source := &source{c.Platform, func(in input) bool { return c.inbox.Put(ctx.Done(), in) }}
	group.Go(func() error { return c.decide(ctx) })
	group.Go(func() error { return source.watchConfiguration(ctx) })
	group.Go(func() error { return source.watchMarks(ctx) })
	group.Go(func() error { return source.pollInstances(ctx) })
	return group.Wait()
}

// decide is the main loop. It alone changes the adopter and Current.
func (c *Client) decide(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-c.inbox.Items():
			c.take(in)
		case <-ticker.C:
			c.step(adopt.Tick{At: c.Clock.Now()}, nil)
		}
	}
}

func (c *Client) take(in input) {
	switch in := in.(type) {
	case offered:
		c.step(adopt.Offer{At: c.Clock.Now(), Relay: in.relay, Version: in.version, Value: in.value}, in.value)
	case marked:
		if next, changed := c.Current().withMarks(in.version, in.marks); changed {
			c.publish(next)
		}
	case listed:
		if next, changed := c.Current().withList(in.version, in.list); changed {
			c.publish(next)
		}
	case failed:
		c.Log.Error(event.PlatformFailed, in.err, nil)
		c.step(adopt.PlatformFailed{At: c.Clock.Now()}, nil)
	}
}

// step carries out what the adopter decides; value is the text on offer.
func (c *Client) step(e adopt.Event, value []byte) {
	for _, a := range c.adopter.Step(e) {
		next := *c.Current()
		switch a := a.(type) {
		case adopt.Adopt:
			next.config, next.text = held{a.Version, value}, a.Text
			c.Log.Emit(event.ConfigAdopted, event.Fields{"version": a.Version})
		case adopt.Reject:
			c.Log.Error(event.ConfigRejected, a.Err, event.Fields{"version": a.Version})
			continue
		case adopt.Ready:
			next.ready = true
		}
		c.publish(&next)
	}
}
