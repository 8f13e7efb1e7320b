package relay

import (
	"context"
	"sync/atomic"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
)

// subscription is the connection to one relay.
type subscription struct {
	client    *Client
	target    target
	cancel    context.CancelFunc
	connected atomic.Bool
	fed       atomic.Bool // the other end reads the platform
	whole     chan string // kinds whose whole value is asked for
	digest    chan versions
}

// wholeQueue holds one request of each kind.
const wholeQueue = 6

func newSubscription(c *Client, t target, cancel context.CancelFunc) *subscription {
	return &subscription{
		client: c,
		target: t,
		cancel: cancel,
		whole:  make(chan string, wholeQueue),
		digest: make(chan versions, 1),
	}
}

// run subscribes and passes on what arrives until the connection ends.
func (s *subscription) run(ctx context.Context) error {
	defer s.cancel()
	c := s.client
	self := peer.NewIdentity(RoleSubscriber, c.Self.Instance(), c.Self.DataCentre())
	conn, err := peer.Dial(ctx, s.target.address, self, c.Key)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.Handle = s.handle
	conn.OnHeartbeat = func(b *frame.Heartbeat) { c.put(reported{s.target.name, b.ConfigVersion()}) }
	conn.Heartbeat = func() *frame.Heartbeat { return c.heartbeat() }
	go s.ask(conn)
	s.connected.Store(true)
	defer s.connected.Store(false)
	return conn.Run(ctx)
}

// ask sends the first request, and further ones when the relay holds more or a
// delta did not fit.
func (s *subscription) ask(conn *peer.Conn) {
	_ = conn.Send(frame.ID{}, subscribe(s.client.Current().versions()))
	for {
		has := versions{}
		select {
		case <-conn.Done():
			return
		case <-s.digest:
			has = s.client.Current().versions()
		case kind := <-s.whole:
			has = without(s.client.Current().versions(), kind)
		}
		_ = conn.Send(frame.ID{}, subscribe(has))
	}
}

func subscribe(v versions) *frame.Subscribe { return frame.NewSubscribe(v.config, v.out, v.list) }

// without returns versions as if the value of one kind were not held.
func without(v versions, kind string) versions {
	switch kind {
	case kindConfig, kindConfigDelta:
		v.config = 0
	case kindOut, kindOutDelta:
		v.out = 0
	case kindList, kindListDelta:
		v.list = 0
	}
	return v
}

// askWhole requests the whole value of a kind.
func (s *subscription) askWhole(kind string) {
	select {
	case s.whole <- kind:
	default: // a request for each kind is waiting already
	}
}

func (s *subscription) handle(_ frame.ID, m frame.Message) {
	switch m := m.(type) {
	case *frame.Version:
		if m.Kind() == kindReads {
			s.fed.Store(m.Version() != 0)
			return
		}
		s.client.put(pushed{s, m})
	case *frame.Subscribe:
		s.compare(versions{m.ConfigVersion(), m.OutVersion(), m.ListVersion()})
	}
}

// compare asks again when the relay's digest shows that a push was missed.
func (s *subscription) compare(theirs versions) {
	own := s.client.Current().versions()
	own.config = max(own.config, s.client.rejected.Load())
	if theirs.config <= own.config && theirs.out <= own.out && theirs.list <= own.list {
		return
	}
	select {
	case s.digest <- theirs:
	default:
	}
}
