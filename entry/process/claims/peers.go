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
	// outboxSize bounds the frames that wait for another entry.
	outboxSize = 256
	// redial is the pause after a connection to another entry has ended.
	redial = 100 * clock.Millis(1)
)

// outgoing is a frame for another entry.
type outgoing struct {
	id      frame.ID
	message frame.Message
}

// outbox passes frames to the goroutine that sends them, so that a slow entry
// does not stop the decisions.
type outbox struct{ ring *ring.Ring[outgoing] }

func newOutbox() *outbox { return &outbox{ring.New[outgoing](outboxSize)} }

// offer drops the frame when the outbox is full; the client asks again.
func (o *outbox) offer(ref claim.AttemptID, m frame.Message) {
	_ = o.ring.Offer(outgoing{frame.NewID(ref.Entry(), ref.Sequence()), m})
}

// send sends frames until the connection ends.
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

// dialled is this entry's connection to another entry.
type dialled struct {
	address string
	out     *outbox
	cancel  context.CancelFunc
}

// connect keeps a connection to each entry that holds a shard. Connections
// between all of 350 entries would carry 700 heartbeats/s at each.
func (s *Service) connect(v *relay.Snapshot) {
	holders := map[string]bool{}
	for shard := range s.owners {
		holders[s.holder(shard)] = true
	}
	listed := map[string]bool{}
	for _, i := range v.Instances() {
		if i.Role() != platform.RoleEntry || i.Name() == s.Self.Instance() || !holders[i.Name()] {
			continue
		}
		listed[i.Name()] = true
		if d := s.peers[i.Name()]; d != nil && d.address == i.Address() {
			continue
		}
		s.drop(i.Name())
		ctx, cancel := context.WithCancel(s.ctx)
		d := &dialled{i.Address(), newOutbox(), cancel}
		s.peers[i.Name()] = d
		go s.dial(ctx, d)
	}
	for name := range s.peers {
		if !listed[name] {
			s.drop(name)
		}
	}
}

func (s *Service) drop(name string) {
	if d := s.peers[name]; d != nil {
		d.cancel()
		delete(s.peers, name)
	}
}

func (s *Service) hangUp() {
	for name := range s.peers {
		s.drop(name)
	}
}

func (s *Service) dial(ctx context.Context, d *dialled) {
	for ctx.Err() == nil {
		c, err := peer.Dial(ctx, d.address, s.Self, s.Key)
		if err == nil {
			c.Handle = s.handleReply
			c.Heartbeat = s.heartbeat
			go d.out.send(c)
			err = c.Run(ctx)
		}
		if ctx.Err() == nil {
			peer.LogEnd(s.Log, err, d.address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(redial.Duration()):
		}
	}
}

func (s *Service) heartbeat() *frame.Heartbeat {
	return frame.NewHeartbeat(s.View().Version(), frame.Load{})
}

// Serve runs a connection that another entry has dialled.
func (s *Service) Serve(ctx context.Context, c *peer.Conn) {
	s.prepare()
	out := newOutbox()
	incarnation := c.Peer().Incarnation()
	c.Handle = s.handleAsk
	c.Heartbeat = s.heartbeat
	s.put(asker{incarnation, out, false})
	go out.send(c)
	err := c.Run(ctx)
	if ctx.Err() == nil {
		peer.LogEnd(s.Log, err, c.Peer().Instance())
	}
	s.put(asker{incarnation, out, true})
}

// handleAsk takes what another entry sends to an owner here.
func (s *Service) handleAsk(id frame.ID, m frame.Message) {
	if s.shared(m) {
		return
	}
	key, e, err := ownerEvent(id, m, s.Clock.Now())
	if err != nil {
		s.stray(id)
		return
	}
	s.put(shardEvent{key.Shard(), e})
}

// handleReply takes an owner's reply.
func (s *Service) handleReply(id frame.ID, m frame.Message) {
	if s.shared(m) {
		return
	}
	reply, ok := m.(*frame.ClaimReply)
	if !ok || id.Incarnation() != s.Self.Incarnation() {
		s.stray(id)
		return
	}
	a, err := answered(id, reply)
	if err != nil {
		s.stray(id)
		return
	}
	s.put(clientEvent{claim.NewReplyReceived(a), nil})
}

func (s *Service) stray(id frame.ID) {
	s.Log.Emit(event.PeerStrayFrame, event.Fields{"request": id.Sequence()})
}
