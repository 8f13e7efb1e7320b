package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/status"
)

// digestInterval is the interval of the digests, lists of current versions, that
// are sent to a subscriber. At 2 s, a missed push is repaired within the 3 s in
// which a change must be in force.
const digestInterval = 2 * clock.Second

// subscriberSet is the set of connected subscribers of a process.
type subscriberSet struct {
	membersMu sync.Mutex
	members   map[*subscriber]bool
	notify    func(input) bool
}

func (set *subscriberSet) start(notify func(input) bool) {
	set.membersMu.Lock()
	defer set.membersMu.Unlock()
	set.notify = notify
}

func (set *subscriberSet) size() int {
	set.membersMu.Lock()
	defer set.membersMu.Unlock()
	return len(set.members)
}

func (set *subscriberSet) add(s *subscriber) {
	set.membersMu.Lock()
	defer set.membersMu.Unlock()
	if set.members == nil {
		set.members = map[*subscriber]bool{}
	}
	set.members[s] = true
	set.notifyChange()
}

func (set *subscriberSet) remove(s *subscriber) {
	set.membersMu.Lock()
	defer set.membersMu.Unlock()
	delete(set.members, s)
	set.notifyChange()
}

// notifyChange notifies the main loop when the first subscriber is added or the
// last one removed. It does not wait for the notification to be queued: the loop
// also checks the size of the set at every periodic reconciliation.
func (set *subscriberSet) notifyChange() {
	if len(set.members) <= 1 && set.notify != nil {
		go set.notify(subscribersChanged{})
	}
}

// statuses returns the last status reported by each subscriber.
func (set *subscriberSet) statuses() []status.Process {
	set.membersMu.Lock()
	defer set.membersMu.Unlock()
	all := make([]status.Process, 0, len(set.members))
	for s := range set.members {
		if beat := s.lastHeartbeat(); beat != nil {
			all = append(all, processStatus(s.conn.Peer().Instance(), beat))
		}
	}
	return all
}

func processStatus(instance string, heartbeat *frame.Heartbeat) status.Process {
	l := heartbeat.Load()
	occupancy, condition := l.Occupancy(), l.Condition()
	load := status.NewLoad(l.Service(), occupancy.Held(), occupancy.Limit(), condition.Cold(), condition.Leaving())
	return status.NewProcess(instance, heartbeat.ConfigVersion(), load)
}

// subscriber is the connection of one subscriber.
type subscriber struct {
	conn     *peer.Conn
	requests chan versions
	mu       sync.Mutex
	latest   *frame.Heartbeat
}

func (s *subscriber) lastHeartbeat() *frame.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest
}

func (s *subscriber) onHeartbeat(b *frame.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latest = b
}

func (s *subscriber) handle(_ frame.ID, m frame.Message) {
	request, ok := m.(*frame.Subscribe)
	if !ok {
		return
	}
	has := versions{request.ConfigVersion(), request.OutVersion(), request.ListVersion()}
	select {
	case <-s.requests: // a newer request replaces a pending one
	default:
	}
	s.requests <- has
}

// Serve pushes new versions over an accepted connection of RoleSubscriber until
// the connection ends or ctx is done.
func (c *Client) Serve(ctx context.Context, conn *peer.Conn) {
	s := &subscriber{conn: conn, requests: make(chan versions, 1)}
	conn.Handle = s.handle
	conn.OnHeartbeat = s.onHeartbeat
	conn.Heartbeat = func() *frame.Heartbeat { return c.heartbeat() }
	c.subscriberSet.add(s)
	defer c.subscriberSet.remove(s)
	go c.push(s)
	if err := conn.Run(ctx); ctx.Err() == nil {
		peer.LogFailure(c.Log, err, conn.Peer().Instance())
	}
}

// heartbeat returns a heartbeat with the configuration version in force and, for
// an agent, its load.
func (c *Client) heartbeat() *frame.Heartbeat {
	load := frame.Load{}
	if c.Load != nil {
		load = c.Load()
	}
	return frame.NewHeartbeat(c.Current().ConfigurationVersion(), load)
}

// push sends each change to a subscriber, and a digest every digestInterval.
func (c *Client) push(s *subscriber) {
	ticker := time.NewTicker(digestInterval.Duration())
	defer ticker.Stop()
	var sent versions
	subscribed := false
	for {
		changed := c.Changed()
		if subscribed {
			current := c.Current()
			for _, v := range current.frames(sent) {
				if s.conn.Send(frame.ID{}, v) != nil {
					return
				}
			}
			sent = current.versions()
		}
		select {
		case <-s.conn.Done():
			return
		case sent = <-s.requests:
			subscribed = true
			c.sendReadsPlatform(s)
		case <-changed:
		case <-ticker.C:
			c.sendReadsPlatform(s)
			_ = s.conn.Send(frame.ID{}, newSubscribe(c.Current().versions()))
		}
	}
}

// sendReadsPlatform notifies a subscriber whether this process reads the
// platform.
func (c *Client) sendReadsPlatform(s *subscriber) {
	readsPlatform := uint64(0)
	if c.readsPlatform.Load() {
		readsPlatform = 1
	}
	_ = s.conn.Send(frame.ID{}, frame.NewVersion(kindReadsPlatform, readsPlatform, nil))
}

// reportStatus periodically writes the statuses of this process and its
// subscribers to the platform until ctx is done, then removes the report.
func (c *Client) reportStatus(ctx context.Context) {
	name := status.Name(c.Self.Instance())
	ticker := time.NewTicker(status.Interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.withdrawStatus(context.WithoutCancel(ctx), name)
			return
		case <-ticker.C:
		}
		now := c.Clock.Now()
		if !c.limits.status.Write(now) {
			continue
		}
		own := processStatus(c.Self.Instance(), c.heartbeat())
		report := status.NewReport(c.Self.Instance(), now, append(c.subscriberSet.statuses(), own))
		if _, err := c.Platform.Put(ctx, platform.KindStatus, name, report.Encode()); err != nil && ctx.Err() == nil {
			c.Log.Error(event.PlatformFailed, err, event.Fields{"name": name})
		}
	}
}

func (c *Client) withdrawStatus(ctx context.Context, name string) {
	err := c.Platform.Delete(ctx, platform.KindStatus, name, 0)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		c.Log.Error(event.PlatformFailed, err, event.Fields{"name": name})
	}
}
