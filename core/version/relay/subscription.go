package relay

import (
	"context"
	"sync/atomic"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
)

// subscription is the connection from this process to one relay.
type subscription struct {
	client             *Client
	target             target
	cancel             context.CancelFunc
	connected          atomic.Bool
	relayReadsPlatform atomic.Bool
	fullValueKinds     chan string // kinds whose full value is to be requested
	digests            chan versions
}

// fullValueQueueSize leaves space for one request of each kind.
const fullValueQueueSize = 6

func newSubscription(c *Client, t target, cancel context.CancelFunc) *subscription {
	return &subscription{
		client:         c,
		target:         t,
		cancel:         cancel,
		fullValueKinds: make(chan string, fullValueQueueSize),
		digests:        make(chan versions, 1),
	}
}

// run connects, subscribes and passes received messages to the client until the
// connection ends.
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
	conn.OnHeartbeat = func(b *frame.Heartbeat) { c.put(versionReported{s.target.name, b.ConfigVersion()}) }
	conn.Heartbeat = func() *frame.Heartbeat { return c.heartbeat() }
	go s.sendRequests(conn)
	s.connected.Store(true)
	defer s.connected.Store(false)
	return conn.Run(ctx)
}

// sendRequests sends the initial request, and another one whenever the relay
// holds newer versions or a delta could not be applied.
func (s *subscription) sendRequests(conn *peer.Conn) {
	_ = conn.Send(frame.ID{}, newSubscribe(s.client.Current().versions()))
	for {
		held := versions{}
		select {
		case <-conn.Done():
			return
		case <-s.digests:
			held = s.client.Current().versions()
		case kind := <-s.fullValueKinds:
			held = withoutKind(s.client.Current().versions(), kind)
		}
		_ = conn.Send(frame.ID{}, newSubscribe(held))
	}
}

func newSubscribe(v versions) *frame.Subscribe {
	return frame.NewSubscribe(v.config, v.drainFlags, v.instanceList)
}

// withoutKind returns v with the version of one kind set to 0, as if its value
// were not held.
func withoutKind(v versions, kind string) versions {
	switch kind {
	case kindConfig, kindConfigDelta:
		v.config = 0
	case kindDrainFlags, kindDrainFlagsDelta:
		v.drainFlags = 0
	case kindInstances, kindInstancesDelta:
		v.instanceList = 0
	}
	return v
}

// requestFullValue requests the full value of a kind instead of deltas.
func (s *subscription) requestFullValue(kind string) {
	select {
	case s.fullValueKinds <- kind:
	default: // the queue already holds a request for each kind
	}
}

func (s *subscription) handle(_ frame.ID, m frame.Message) {
	switch m := m.(type) {
	case *frame.Version:
		if m.Kind() == kindReadsPlatform {
			s.relayReadsPlatform.Store(m.Version() != 0)
			return
		}
		s.client.put(frameReceived{s, m})
	case *frame.Subscribe:
		s.handleDigest(versions{m.ConfigVersion(), m.DrainFlagsVersion(), m.InstanceListVersion()})
	}
}

// handleDigest sends another request if the relay's digest shows that a push was
// missed.
func (s *subscription) handleDigest(digest versions) {
	own := s.client.Current().versions()
	own.config = max(own.config, s.client.rejectedVersion.Load())
	if digest.config <= own.config && digest.drainFlags <= own.drainFlags && digest.instanceList <= own.instanceList {
		return
	}
	select {
	case s.digests <- digest:
	default:
	}
}
