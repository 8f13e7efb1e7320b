// Package relay distributes the configuration text, the out marks and the
// instance list among the processes (docs/design.md section 5). A few processes
// of each data centre read the platform; every process subscribes to two of
// them. Any process serves those that subscribe to it, so that a list that lags
// or differs between processes costs a few extra reads and never an update.
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
	"goldcrestshore/core/version/mark"
)

const (
	// tickInterval is the resolution of the decisions that wait for time.
	tickInterval = 250 * clock.Millis(1)
	// reviewInterval is the time between two looks at the plan without a cause.
	reviewInterval = 1 * clock.Second
	// ringSize is the number of received values that wait for the main loop.
	ringSize = 256
)

// RoleSubscriber is the role that a subscriber gives in its greeting. A listener
// passes connections of this role to Client.Serve.
const RoleSubscriber = "subscriber"

// Client holds the configuration of one process and serves it to subscribers.
// Exported fields are set before Run.
type Client struct {
	Platform *platform.Client
	Log      *event.Log
	Clock    *clock.Clock
	// Self names this process, its data centre and its role.
	Self peer.Identity
	// Address is where other processes reach this one.
	Address string
	// Key authenticates connections between own processes.
	Key []byte
	// Contacts are the addresses of some processes, for a start while the
	// platform is down.
	Contacts []string
	// Scope takes the counters of platform calls; nil for none.
	Scope tally.Scope
	// Load reports the state of an agent's upstream; nil for an entry.
	Load func() frame.Load

	adopter adopt.Adopter
	inbox   *ring.Ring[input]
	current atomic.Pointer[Snapshot]
	// rejected is the version that failed its check last; it is not asked for again.
	rejected atomic.Uint64
	// reads tells whether this process reads the platform.
	reads   atomic.Bool
	planner planner
	audience
	limits limits

	mu      sync.Mutex
	changed chan struct{}

	// Owned by the main loop.
	ctx         context.Context
	group       *errgroup.Group
	reading     tasks
	reporting   tasks
	listening   map[string]*subscription
	connectedAt clock.Millis // when a subscription last stood
	nextReview  clock.Millis
}

// limits keep the reads of the platform within the parts of three duties.
type limits struct {
	start         *limiter.Limiter
	configuration *limiter.Limiter
	instances     *limiter.Limiter
	status        *limiter.Limiter
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

// reported is the configuration version that a relay has in force.
type reported struct {
	relay   string
	version uint64
}

// marked is the set of out marks at a version.
type marked struct {
	version uint64
	marks   mark.Set
	relayed bool
}

// listed is the instance list.
type listed struct {
	version uint64
	list    []platform.Instance
	relayed bool
}

// pushed is a value or a delta from a relay.
type pushed struct {
	from *subscription
	v    *frame.Version
}

// failed is a platform call without an answer.
type failed struct {
	err error
}

// ended is a subscription whose connection ended or could not be made.
type ended struct {
	from *subscription
	err  error
}

// audienceChanged tells that the first subscriber came or the last one left.
type audienceChanged struct{}

func (offered) input()         {}
func (reported) input()        {}
func (marked) input()          {}
func (listed) input()          {}
func (pushed) input()          {}
func (failed) input()          {}
func (ended) input()           {}
func (audienceChanged) input() {}

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

// put hands an input to the main loop.
func (c *Client) put(in input) bool { return c.inbox.Put(c.ctx.Done(), in) }

// Run keeps Current up to date until ctx is done.
func (c *Client) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	c.group, c.ctx = group, ctx
	c.inbox = ring.New[input](ringSize)
	c.listening = map[string]*subscription{}
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
			l.Observe(c.Scope)
		}
	}
	c.connectedAt = c.Clock.Now()
	c.audience.start(c.put)
	group.Go(func() error { return c.decide(ctx) })
	group.Go(func() error { return c.source().first(ctx) })
	return group.Wait()
}

// decide is the main loop. It alone changes the adopter and Current, and starts
// and stops the goroutines that read the platform and relays.
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
			if c.Clock.Now() >= c.nextReview {
				c.review()
			}
		}
	}
}

func (c *Client) take(in input) {
	switch in := in.(type) {
	case offered:
		c.step(adopt.Offer{At: c.Clock.Now(), Relay: in.relay, Version: in.version, Value: in.value}, in.value)
	case reported:
		c.step(adopt.Reported{At: c.Clock.Now(), Relay: in.relay, Version: in.version}, nil)
	case marked:
		if next, changed := c.Current().withMarks(in); changed {
			c.publish(next)
		}
	case listed:
		if next, changed := c.Current().withList(in); changed {
			c.publish(next)
			c.review()
		}
	case pushed:
		c.takePushed(in)
	case failed:
		c.Log.Error(event.PlatformFailed, in.err, nil)
		c.step(adopt.PlatformFailed{At: c.Clock.Now()}, nil)
	case ended:
		c.end(in)
	case audienceChanged:
		c.review()
	}
}

// takePushed takes a value from a relay and asks it for whole values when a
// delta does not fit.
func (c *Client) takePushed(p pushed) {
	in, err := c.Current().resolve(p.from.target.name, p.v)
	if err != nil {
		p.from.askWhole(p.v.Kind())
		return
	}
	c.take(in)
}

// step carries out what the adopter decides; value is the text on offer.
func (c *Client) step(e adopt.Event, value []byte) {
	for _, a := range c.adopter.Step(e) {
		next := *c.Current()
		switch a := a.(type) {
		case adopt.Adopt:
			next.config, next.text = next.config.next(a.Version, value), a.Text
			c.Log.Emit(event.ConfigAdopted, event.Fields{"version": a.Version, "atMs": c.Clock.Now()})
		case adopt.Reject:
			c.rejected.Store(a.Version)
			c.Log.Error(event.ConfigRejected, a.Err, event.Fields{"version": a.Version})
			continue
		case adopt.Ready:
			next.ready = true
		}
		c.publish(&next)
	}
}

// review starts and stops reading the platform and subscriptions according to
// the plan.
func (c *Client) review() {
	now, list := c.Clock.Now(), c.Current().Instances()
	c.nextReview = now + reviewInterval
	c.reviewSources(now, list)
	c.reviewSubscriptions(now, list)
}

// reviewSources reads the platform while this process is a source, is
// subscribed to although the list makes it a leaf, or is connected to no process that does.
func (c *Client) reviewSources(now clock.Millis, list []platform.Instance) {
	own := c.planner.part(list)
	served := c.audience.size() > 0
	if c.connected(own) {
		c.connectedAt = now
	}
	alone := now-c.connectedAt >= aloneAfter
	reads := own == sourcePart || (own == leafPart && served)
	h := holdersOf(list)
	if alone && !reads {
		// Every process of a cut-off data centre may be alone at one moment.
		h.sources = max(h.sources, len(list))
	}
	c.limits.configuration.Share(now, h.sources)
	c.limits.instances.Share(now, h.sources)
	c.limits.status.Share(now, h.reporters)
	s := c.source()
	reads = reads || alone
	c.reads.Store(reads)
	c.reading.set(c, reads, s.watchConfiguration, s.watchMarks, s.pollInstances)
	c.reporting.set(c, own != leafPart || served, c.reportStatus)
}

// tasks are goroutines that run while a condition holds.
type tasks struct {
	cancel context.CancelFunc // not nil while they run
}

// set starts or stops the goroutines.
func (t *tasks) set(c *Client, wanted bool, runs ...func(context.Context)) {
	if wanted == (t.cancel != nil) {
		return
	}
	if !wanted {
		t.cancel()
		t.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	t.cancel = cancel
	for _, run := range runs {
		c.group.Go(func() error {
			run(ctx)
			return nil
		})
	}
}

// source returns the reader of the platform.
func (c *Client) source() *source {
	return &source{platform: c.Platform, clock: c.Clock, limits: c.limits, put: c.put}
}

// connected tells whether a subscription is up. One of a relay counts only if the
// other end reads the platform: with lists that differ, two relays may each
// take the other for a source.
func (c *Client) connected(own part) bool {
	for _, s := range c.listening {
		if s.connected.Load() && (own != relayPart || s.fed.Load()) {
			return true
		}
	}
	return false
}

// reviewSubscriptions starts missing subscriptions, and ends unwanted ones once
// the wanted ones stand.
func (c *Client) reviewSubscriptions(now clock.Millis, list []platform.Instance) {
	wanted := map[string]bool{}
	standing := 0
	for _, t := range c.planner.targets(now, list) {
		wanted[t.name] = true
		s := c.listening[t.name]
		if s == nil {
			c.subscribe(t)
		} else if s.connected.Load() {
			standing++
		}
	}
	for name, s := range c.listening {
		if !wanted[name] && standing == len(wanted) {
			s.cancel()
			delete(c.listening, name)
		}
	}
}

func (c *Client) subscribe(t target) {
	ctx, cancel := context.WithCancel(c.ctx)
	s := newSubscription(c, t, cancel)
	c.listening[t.name] = s
	c.group.Go(func() error {
		err := s.run(ctx)
		c.put(ended{s, err})
		return nil
	})
}

// end forgets a subscription and chooses another relay.
func (c *Client) end(e ended) {
	if c.listening[e.from.target.name] != e.from {
		return // it was replaced on purpose
	}
	now := c.Clock.Now()
	delete(c.listening, e.from.target.name)
	c.planner.fail(now, e.from.target.name)
	peer.LogEnd(c.Log, e.err, e.from.target.name)
	c.review()
}
