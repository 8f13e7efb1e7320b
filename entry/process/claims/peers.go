package claims

import (
	"context"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/ring"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/claim"
)

const (
	// outboxSize bounds the frames queued in one outbox.
	outboxSize = 256
	// redialDelay is the delay between the end of a connection to another entry
	// and the next attempt to connect.
	redialDelay = 100 * clock.Millis(1)
)

// outgoingFrame is a frame for another entry.
type outgoingFrame struct {
	id      frame.ID
	message frame.Message
}

// outbox queues frames for the goroutine that sends them, so that a slow entry
// does not block the event loop.
type outbox struct{ ring *ring.Ring[outgoingFrame] }

func newOutbox() *outbox { return &outbox{ring.New[outgoingFrame](outboxSize)} }

// offer queues the frame, or drops it if the outbox is full. The client repeats
// an Acquire or Withdraw that receives no reply.
func (o *outbox) offer(attempt claim.AttemptID, m frame.Message) {
	_ = o.ring.Offer(outgoingFrame{frame.NewID(attempt.Entry(), attempt.Sequence()), m})
}

// send sends the queued frames until the connection ends.
func (o *outbox) send(c *peer.Conn) {
	for {
		select {
		case <-c.Done():
			return
		case f := <-o.ring.Items():
			if c.Send(f.id, f.message) != nil {
				return
			}
		}
	}
}

// outboundPeer is another entry to which this entry maintains a connection.
type outboundPeer struct {
	address string
	out     *outbox
	cancel  context.CancelFunc
}

// updateOutboundPeers connects to the entries that hold a shard and disconnects
// from others. A full mesh of 350 entries would carry 700 heartbeats/s at each.
func (s *Service) updateOutboundPeers(v *relay.Snapshot) {
	holders := map[string]bool{}
	for shard := range s.owners {
		holders[s.holder(shard)] = true
	}
	wanted := map[string]bool{}
	for _, i := range v.Instances() {
		if i.Role() != platform.RoleEntry || i.Name() == s.Self.Instance() || !holders[i.Name()] {
			continue
		}
		wanted[i.Name()] = true
		if p := s.outboundPeers[i.Name()]; p != nil && p.address == i.Address() {
			continue
		}
		s.disconnect(i.Name())
		ctx, cancel := context.WithCancel(s.ctx)
		p := &outboundPeer{i.Address(), newOutbox(), cancel}
		s.outboundPeers[i.Name()] = p
		go s.dialLoop(ctx, p)
	}
	for name := range s.outboundPeers {
		if !wanted[name] {
			s.disconnect(name)
		}
	}
}

func (s *Service) disconnect(name string) {
	if p := s.outboundPeers[name]; p != nil {
		p.cancel()
		delete(s.outboundPeers, name)
	}
}

func (s *Service) disconnectAll() {
	for name := range s.outboundPeers {
		s.disconnect(name)
	}
}

// dialLoop maintains the connection to p until ctx is done.
func (s *Service) dialLoop(ctx context.Context, p *outboundPeer) {
	for ctx.Err() == nil {
		c, err := peer.Dial(ctx, p.address, s.Self, s.Key)
		if err == nil {
			c.Handle = s.handleReply
			c.Heartbeat = s.heartbeat
			go p.out.send(c)
			err = c.Run(ctx)
		}
		if ctx.Err() == nil {
			peer.LogFailure(s.Log, err, p.address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redialDelay.Duration()):
		}
	}
}

func (s *Service) heartbeat() *frame.Heartbeat {
	return frame.NewHeartbeat(s.CurrentSnapshot().ConfigurationVersion(), frame.Load{})
}

// Serve runs a connection that another entry has opened.
func (s *Service) Serve(ctx context.Context, c *peer.Conn) {
	s.lazyInit()
	out := newOutbox()
	incarnation := c.Peer().Incarnation()
	c.Handle = s.handleOwnerFrame
	c.Heartbeat = s.heartbeat
	s.put(inboundPeer{incarnation, out, false})
	go out.send(c)
	err := c.Run(ctx)
	if ctx.Err() == nil {
		peer.LogFailure(s.Log, err, c.Peer().Instance())
	}
	s.put(inboundPeer{incarnation, out, true})
}

// handleOwnerFrame handles a frame from another entry to an owner in this entry.
func (s *Service) handleOwnerFrame(id frame.ID, m frame.Message) {
	if s.handleShares(m) {
		return
	}
	key, e, err := parseOwnerEvent(id, m, s.Clock.Now())
	if err != nil {
		s.logUnmatchedFrame(id)
		return
	}
	s.put(shardEvent{key.Shard(), e})
}

// handleReply handles a frame from an owner in another entry.
func (s *Service) handleReply(id frame.ID, m frame.Message) {
	if s.handleShares(m) {
		return
	}
	reply, ok := m.(*frame.ClaimReply)
	if !ok || id.Incarnation() != s.Self.Incarnation() {
		s.logUnmatchedFrame(id)
		return
	}
	ownerReply, err := parseOwnerReply(id, reply)
	if err != nil {
		s.logUnmatchedFrame(id)
		return
	}
	s.put(clientEvent{claim.NewReplyReceived(ownerReply), nil})
}

func (s *Service) logUnmatchedFrame(id frame.ID) {
	s.Log.Emit(event.PeerUnmatchedFrame, event.Fields{"request": id.Sequence()})
}
