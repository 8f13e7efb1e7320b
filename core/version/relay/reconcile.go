package relay

import (
	"context"

	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
)

// reconcile starts and stops subscriptions and the goroutines that read the
// platform, according to the planner.
func (c *Client) reconcile() {
	now, list := c.Clock.Now(), c.Current().Instances()
	c.nextReconcile = now + reconcileInterval
	c.reconcileTasks(now, list)
	c.reconcileSubscriptions(now, list)
}

// reconcileTasks starts and stops the goroutines that read the platform and
// report statuses. A process reads the platform while it is a source, while it
// has subscribers although the list makes it a leaf, or while it is isolated: it
// has had no usable subscription for isolationTimeout.
func (c *Client) reconcileTasks(now clock.Millis, list []platform.Instance) {
	ownTier := c.planner.tier(list)
	hasSubscribers := c.subscriberSet.size() > 0
	if c.connected(ownTier) {
		c.lastConnected = now
	}
	isolated := now-c.lastConnected >= isolationTimeout
	readsPlatform := ownTier == sourceTier || (ownTier == leafTier && hasSubscribers)
	holders := countQuotaHolders(list)
	if isolated && !readsPlatform {
		// All processes of a partitioned data centre may be isolated at the same
		// time, so the quota is divided among all processes of the fleet.
		holders.sources = max(holders.sources, len(list))
	}
	c.limits.configuration.SetHolders(now, holders.sources)
	c.limits.instances.SetHolders(now, holders.sources)
	c.limits.status.SetHolders(now, holders.reporters)
	s := c.source()
	readsPlatform = readsPlatform || isolated
	c.readsPlatform.Store(readsPlatform)
	c.platformReaders.set(c, readsPlatform, s.watchConfiguration, s.watchDrainFlags, s.pollInstances)
	c.statusReporter.set(c, ownTier != leafTier || hasSubscribers, c.reportStatus)
}

// tasks are goroutines that run while a condition holds.
type tasks struct {
	cancel context.CancelFunc // not nil while they run
}

// set starts the goroutines if shouldRun is true and they do not run yet, and
// stops them if it is false.
func (t *tasks) set(c *Client, shouldRun bool, runs ...func(context.Context)) {
	if shouldRun == (t.cancel != nil) {
		return
	}
	if !shouldRun {
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

// source returns a reader of the platform.
func (c *Client) source() *source {
	return &source{platform: c.Platform, clock: c.Clock, limits: c.limits, put: c.put}
}

// connected reports whether a subscription is connected. A subscription of a
// relay counts only if the other end reads the platform: if their instance lists
// differ, two relays may each assume that the other is a source.
func (c *Client) connected(ownTier tier) bool {
	for _, s := range c.subscriptions {
		if s.connected.Load() && (ownTier != relayTier || s.relayReadsPlatform.Load()) {
			return true
		}
	}
	return false
}

// reconcileSubscriptions starts missing subscriptions, and ends unwanted ones once
// all wanted ones are connected.
func (c *Client) reconcileSubscriptions(now clock.Millis, list []platform.Instance) {
	wanted := map[string]bool{}
	established := 0
	for _, t := range c.planner.targets(now, list) {
		wanted[t.name] = true
		s := c.subscriptions[t.name]
		if s == nil {
			c.subscribe(t)
		} else if s.connected.Load() {
			established++
		}
	}
	for name, s := range c.subscriptions {
		if !wanted[name] && established == len(wanted) {
			s.cancel()
			delete(c.subscriptions, name)
		}
	}
}

func (c *Client) subscribe(t target) {
	ctx, cancel := context.WithCancel(c.ctx)
	s := newSubscription(c, t, cancel)
	c.subscriptions[t.name] = s
	c.group.Go(func() error {
		err := s.run(ctx)
		c.put(subscriptionEnded{s, err})
		return nil
	})
}

// handleSubscriptionEnd removes a subscription and selects another relay.
func (c *Client) handleSubscriptionEnd(e subscriptionEnded) {
	if c.subscriptions[e.from.target.name] != e.from {
		return // already removed by reconcileSubscriptions
	}
	now := c.Clock.Now()
	delete(c.subscriptions, e.from.target.name)
	c.planner.markFailed(now, e.from.target.name)
	peer.LogFailure(c.Log, e.err, e.from.target.name)
	c.reconcile()
}
