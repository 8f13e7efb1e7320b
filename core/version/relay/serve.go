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

// digestInterval is the time between two lists of versions to a subscriber. A
// push that was missed is repaired within the 3 s for a change to be in force.
const digestInterval = 2 * clock.Second

// audience is the subscribers of a process.
type audience struct {
	guard   sync.Mutex
	members map[*subscriber]bool
	notify  func(input) bool
}

func (a *audience) start(notify func(input) bool) {
	a.guard.Lock()
	defer a.guard.Unlock()
	a.notify = notify
}

func (a *audience) size() int {
	a.guard.Lock()
	defer a.guard.Unlock()
	return len(a.members)
}

func (a *audience) add(s *subscriber) {
	a.guard.Lock()
	defer a.guard.Unlock()
	if a.members == nil {
		a.members = map[*subscriber]bool{}
	}
	a.members[s] = true
	a.tell()
}

func (a *audience) remove(s *subscriber) {
	a.guard.Lock()
	defer a.guard.Unlock()
	delete(a.members, s)
	a.tell()
}

// tell wakes the main loop when the audience begins or ends. It does not wait:
// the loop looks at the audience at each tick as well.
func (a *audience) tell() {
	if len(a.members) <= 1 && a.notify != nil {
		go a.notify(audienceChanged{})
	}
}

// processes returns the last state that each subscriber reported.
func (a *audience) processes() []status.Process {
	a.guard.Lock()
	defer a.guard.Unlock()
	all := make([]status.Process, 0, len(a.members))
	for s := range a.members {
		if beat := s.heard(); beat != nil {
			all = append(all, process(s.conn.Peer().Instance(), beat))
		}
	}
	return all
}

func process(instance string, beat *frame.Heartbeat) status.Process {
	l := beat.Load()
	o, cond := l.Occupancy(), l.Condition()
	load := status.NewLoad(l.Service(), o.Held(), o.Limit(), cond.Cold(), cond.Leaving())
	return status.NewProcess(instance, beat.ConfigVersion(), load)
}

// subscriber is one served connection.
type subscriber struct {
	conn  *peer.Conn
	asked chan versions
	mu    sync.Mutex
	beat  *frame.Heartbeat
}

func (s *subscriber) heard() *frame.Heartbeat {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beat
}

func (s *subscriber) hear(b *frame.Heartbeat) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beat = b
}

func (s *subscriber) handle(_ frame.ID, m frame.Message) {
	ask, ok := m.(*frame.Subscribe)
	if !ok {
		return
	}
	has := versions{ask.ConfigVersion(), ask.OutVersion(), ask.ListVersion()}
	select {
	case <-s.asked: // only the last request matters
	default:
	}
	s.asked <- has
}

// Serve pushes versions over an accepted connection of RoleSubscriber until it
// ends or ctx is done.
func (c *Client) Serve(ctx context.Context, conn *peer.Conn) {
	s := &subscriber{conn: conn, asked: make(chan versions, 1)}
	conn.Handle = s.handle
	conn.OnHeartbeat = s.hear
	conn.Heartbeat = func() *frame.Heartbeat { return c.heartbeat() }
	c.audience.add(s)
	defer c.audience.remove(s)
	go c.push(s)
	if err := conn.Run(ctx); ctx.Err() == nil {
		peer.LogEnd(c.Log, err, conn.Peer().Instance())
	}
}

// heartbeat carries the configuration version in force and an agent's load.
func (c *Client) heartbeat() *frame.Heartbeat {
	load := frame.Load{}
	if c.Load != nil {
		load = c.Load()
	}
	return frame.NewHeartbeat(c.Current().Version(), load)
}

// push sends each change to a subscriber, and a digest from time to time.
func (c *Client) push(s *subscriber) {
	ticker := time.NewTicker(digestInterval.Duration())
	defer ticker.Stop()
	var has versions
	subscribed := false
	for {
		changed := c.Changed()
		if subscribed {
			now := c.Current()
			for _, v := range now.frames(has) {
				if s.conn.Send(frame.ID{}, v) != nil {
					return
				}
			}
			has = now.versions()
		}
		select {
		case <-s.conn.Done():
			return
		case has = <-s.asked:
			subscribed = true
			c.tellReads(s)
		case <-changed:
		case <-ticker.C:
			c.tellReads(s)
			_ = s.conn.Send(frame.ID{}, subscribe(c.Current().versions()))
		}
	}
}

// tellReads tells a subscriber whether this process reads the platform.
func (c *Client) tellReads(s *subscriber) {
	reads := uint64(0)
	if c.reads.Load() {
		reads = 1
	}
	_ = s.conn.Send(frame.ID{}, frame.NewVersion(kindReads, reads, nil))
}

// reportStatus writes what this relay knows of its subscribers to the platform
// until ctx is done, then removes the report.
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
		own := process(c.Self.Instance(), c.heartbeat())
		report := status.NewReport(c.Self.Instance(), now, append(c.audience.processes(), own))
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
