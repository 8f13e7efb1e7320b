// Package relay distributes the configuration, the drain flags and the instance
// list among the processes (docs/design.md section 5). A few processes of each
// data centre read the platform; every process subscribes to two of them. Any
// process serves all its subscribers, so an instance list that lags or differs
// between processes costs a few extra reads but never loses an update.
package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
	"goldcrestshore/core/process/ring"
	"goldcrestshore/core/version/adopt"
)

const (
	// tickInterval is the resolution of time-based decisions.
	tickInterval = 250 * clock.Millis(1)
	// reconcileInterval is the interval of reconciliations that no event triggers.
	reconcileInterval = 1 * clock.Second
	// inboxSize is the number of inputs that can wait for the main loop.
	inboxSize = 256
)

// RoleSubscriber is the role that a subscriber sends in its handshake. A
// listener passes connections of this role to Client.Serve.
const RoleSubscriber = "subscriber"

// Client holds the configuration of one process and serves it to subscribers.
// Exported fields must be set before Run.
type Client struct {
	Platform *platform.Client
	Log      *event.Log
	Clock    *clock.Clock
	// Self identifies this process, its data centre and its role.
	Self peer.Identity
	// Address is where other processes reach this one.
	Address string
	// Key authenticates connections between processes of the fleet.
	Key []byte
	// Contacts are the bootstrap addresses of some processes, which allow a start
	// while the platform is down.
	Contacts []string
	// Scope receives the counters of platform calls; nil disables them.
	Scope tally.Scope
	// Load reports the state of an agent's upstream; nil for an entry.
	Load func() frame.Load

	adopter adopt.Adopter
	inbox   *ring.Ring[input]
	current atomic.Pointer[Snapshot]
	// rejectedVersion is the configuration version that last failed validation;
	// it is not requested again.
	rejectedVersion atomic.Uint64
	// readsPlatform reports whether this process reads the platform.
	readsPlatform atomic.Bool
	planner       planner
	subscriberSet
	limits limits

	mu      sync.Mutex
	changed chan struct{}

	// Owned by the main loop.
	ctx             context.Context
	group           *errgroup.Group
	platformReaders tasks
	statusReporter  tasks
	subscriptions   map[string]*subscription
	lastConnected   clock.Millis // when a subscription was last connected
	nextReconcile   clock.Millis
}

// limits keep the calls to the platform within the rate of each duty.
type limits struct {
	start         *limiter.Limiter
	configuration *limiter.Limiter
	instances     *limiter.Limiter
	status        *limiter.Limiter
}

// Current returns the current snapshot; it is never nil.
func (c *Client) Current() *Snapshot {
	if s := c.current.Load(); s != nil {
		return s
	}
	return &Snapshot{}
}

// Changed returns a channel that is closed at the next change of Current. Call
// Changed before Current, so that no change is missed.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// publish replaces the current snapshot and wakes the goroutines that wait for a
// change.
func (c *Client) publish(s *Snapshot) {
	c.current.Store(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// put queues an input for the main loop.
func (c *Client) put(in input) bool { return c.inbox.Put(c.ctx.Done(), in) }

// Run keeps the current snapshot up to date until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c.group, c.ctx = group, ctx
	c.inbox = ring.New[input](inboxSize)
	c.subscriptions = map[string]*subscription{}
	c.planner = planner{
		self:       c.Self.Instance(),
		address:    c.Address,
		dataCentre: c.Self.DataCentre(),
		contacts:   c.Contacts,
	}
	c.limits = limits{
		start:         limiter.New(limiter.Start, 1),
		configuration: limiter.New(limiter.Configuration, sourcesPerDataCentre),
		instances:     limiter.New(limiter.Instances, sourcesPerDataCentre),
		status:        limiter.New(limiter.Status, sourcesPerDataCentre),
	}
	if c.Scope != nil {
		for _, l := range []*limiter.Limiter{c.limits.start, c.limits.configuration, c.limits.instances, c.limits.status} {
			l.Instrument(c.Scope)
		}
	}
	c.lastConnected = c.Clock.Now()
	c.subscriberSet.start(c.put)
	group.Go(func() error { return c.runLoop(ctx) })
	group.Go(func() error { return c.source().readInitial(ctx) })
	return group.Wait()
}

// runLoop is the main loop. Only this goroutine changes the adopter and the
// current snapshot, and starts and stops the goroutines that read the platform
// and relays.
func (c *Client) runLoop(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case in := <-c.inbox.Items():
			c.handleInput(in)
		case <-ticker.C:
			c.stepAdopter(adopt.Tick{At: c.Clock.Now()}, nil)
			if c.Clock.Now() >= c.nextReconcile {
				c.reconcile()
			}
		}
	}
}

func (c *Client) handleInput(in input) {
	switch in := in.(type) {
	case configReceived:
		c.stepAdopter(adopt.Offer{At: c.Clock.Now(), Relay: in.relay, Version: in.version, Value: in.value}, in.value)
	case versionReported:
		c.stepAdopter(adopt.VersionReported{At: c.Clock.Now(), Relay: in.relay, Version: in.version}, nil)
	case drainFlagsReceived:
		if next, changed := c.Current().withDrainFlags(in); changed {
			c.publish(next)
		}
	case instancesReceived:
		if next, changed := c.Current().withInstances(in); changed {
			c.publish(next)
			c.reconcile()
		}
	case frameReceived:
		c.handleFrame(in)
	case platformCallFailed:
		c.Log.Error(event.PlatformFailed, in.err, nil)
		c.stepAdopter(adopt.PlatformFailed{At: c.Clock.Now()}, nil)
	case subscriptionEnded:
		c.handleSubscriptionEnd(in)
	case subscribersChanged:
		c.reconcile()
	}
}

// handleFrame processes a value or delta pushed by a relay. If it cannot be
// decoded or applied, the full value is requested from the relay.
func (c *Client) handleFrame(f frameReceived) {
	in, err := c.Current().decodePush(f.from.target.name, f.update)
	if err != nil {
		f.from.requestFullValue(f.update.Kind())
		return
	}
	c.handleInput(in)
}

// stepAdopter passes an event to the adopter and applies its actions; value is
// the encoded configuration of an offer.
func (c *Client) stepAdopter(e adopt.Event, value []byte) {
	for _, a := range c.adopter.Step(e) {
		next := *c.Current()
		switch a := a.(type) {
		case adopt.Adopt:
			next.config, next.configuration = next.config.next(a.Version, value), a.Configuration
			c.Log.Emit(event.ConfigAdopted, event.Fields{"version": a.Version, "atMs": c.Clock.Now()})
		case adopt.Reject:
			c.rejectedVersion.Store(a.Version)
			c.Log.Error(event.ConfigRejected, a.Err, event.Fields{"version": a.Version})
			continue
		case adopt.Ready:
			next.ready = true
		}
		c.publish(&next)
	}
}
