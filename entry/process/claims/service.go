// Package claims runs the state machines of package claim in an entry. One
// goroutine, the event loop, applies events to the client and to the owners of
// all shards; one goroutine per shard calls the platform, and one per connection
// sends frames to another entry. They communicate through bounded queues.
package claims

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/duty"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/limiter"
	"goldcrestshore/core/process/rendezvous"
	"goldcrestshore/core/process/ring"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/claim"
)

const (
	// inboxSize bounds the events queued for the event loop.
	inboxSize = 1024
	// callQueueSize bounds the platform calls queued for one shard. Its owner has
	// at most one call outstanding.
	callQueueSize = 4
	// refreshInterval is the interval between updates from the instance list.
	refreshInterval = 500 * clock.Millis(1)
	// clientTickInterval is the interval between client ticks while requests are
	// pending.
	clientTickInterval = 100 * clock.Millis(1)
	// platformTimeout is the timeout of a platform call. The platform responds
	// within milliseconds, and a caller waits at most two seconds for its record
	// to be durable.
	platformTimeout = 800 * clock.Millis(1)
	// queryTimeout is the timeout of a query to an agent.
	queryTimeout = 1500 * clock.Millis(1)
	// maxQueries bounds the outstanding queries. Further ones fail at once and
	// are retried by the owner.
	maxQueries = 64
)

// Service runs requests with an idempotency key at most once. Set its exported
// fields before Run.
type Service struct {
	Platform        *platform.Client
	Clock           *clock.Clock
	Log             *event.Log
	Self            peer.Identity
	Key             []byte
	CurrentSnapshot func() *relay.Snapshot
	// Query requests the state of a grant from the agent of an upstream.
	Query func(ctx context.Context, upstream, claimKey string) (*frame.ClaimState, error)
	// OnShares receives the Shares frames of other entries; it may be nil.
	OnShares func(*frame.Shares)

	initOnce    sync.Once
	inbox       *ring.Ring[input]
	done        chan struct{}
	sequence    atomic.Uint64
	querySlots  chan struct{}
	rateLimiter *limiter.Limiter

	// The fields below are set by Run and then owned by the event loop; the
	// goroutines that it starts may read ctx and callQueues.
	ctx           context.Context
	client        *claim.Client
	owners        [claim.Shards]*claim.Owner
	wakeAt        [claim.Shards]clock.Millis // when an owner's next Tick is due, 0 for none
	callQueues    [claim.Shards]*ring.Ring[claim.Action]
	entries       []string                 // entries that may hold a shard
	openCalls     map[uint64]*Call         // by request number
	outboundPeers map[string]*outboundPeer // by instance name
	inboundPeers  map[uint64]*outbox       // connections opened by other entries, by incarnation
}

// Usage returns the number of platform calls made so far.
func (s *Service) Usage() limiter.Usage {
	s.lazyInit()
	return s.rateLimiter.Usage()
}

// input is an event for the event loop.
type input interface{ input() }

// shardEvent is an event for the owner of a shard in this entry.
type shardEvent struct {
	shard int
	event claim.Event
}

// clientEvent is an event for the client. call is the Call that reported it, or
// nil for a reply.
type clientEvent struct {
	event claim.ClientEvent
	call  *Call
}

// callClosed states that a Call was closed.
type callClosed struct{ request uint64 }

// inboundPeer states that another entry connected, or that its connection
// ended.
type inboundPeer struct {
	incarnation uint64
	out         *outbox
	ended       bool
}

func (shardEvent) input()  {}
func (clientEvent) input() {}
func (callClosed) input()  {}
func (inboundPeer) input() {}

// lazyInit initializes the fields that the methods share, whichever of them is
// called first.
func (s *Service) lazyInit() {
	s.initOnce.Do(func() {
		s.inbox = ring.New[input](inboxSize)
		s.done = make(chan struct{})
		s.querySlots = make(chan struct{}, maxQueries)
		// One entry may hold all shards, so it gets the full rate. The owners
		// limit their writes themselves; this limit stops an endless loop of
		// calls.
		s.rateLimiter = limiter.New(limiter.Claims, 1)
	})
}

// Run applies events and makes platform calls until ctx is done.
func (s *Service) Run(ctx context.Context) error {
	s.lazyInit()
	defer close(s.done)
	group, ctx := errgroup.WithContext(ctx)
	s.ctx = ctx
	s.client = claim.NewClient(s.Self.Incarnation())
	s.openCalls = map[uint64]*Call{}
	s.outboundPeers = map[string]*outboundPeer{}
	s.inboundPeers = map[uint64]*outbox{}
	for shard := range s.owners {
		s.owners[shard] = claim.NewOwner(shard, s.Self.Incarnation())
		s.callQueues[shard] = ring.New[claim.Action](callQueueSize)
		group.Go(func() error { s.callPlatform(ctx, shard); return nil })
	}
	group.Go(func() error { return s.eventLoop(ctx) })
	return group.Wait()
}

// put queues an event for the event loop. It blocks while the inbox is full and
// Run has not returned.
func (s *Service) put(in input) {
	s.inbox.Put(s.done, in)
}

func (s *Service) eventLoop(ctx context.Context) error {
	refresh := time.NewTicker(refreshInterval.Duration())
	defer refresh.Stop()
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.disconnectAll()
	s.refresh()
	for {
		timer.Reset(s.untilWake().Duration())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-refresh.C:
			s.refresh()
		case <-timer.C:
			s.tickDue()
		case in := <-s.inbox.Items():
			s.apply(in)
		}
	}
}

func (s *Service) apply(in input) {
	switch in := in.(type) {
	case shardEvent:
		s.handleShardEvent(in.shard, in.event)
	case clientEvent:
		if in.call != nil {
			s.openCalls[in.call.request] = in.call
		}
		s.handleClientEvent(in.event)
	case callClosed:
		s.handleClientEvent(claim.NewCallerDisconnected(in.request))
		delete(s.openCalls, in.request)
	case inboundPeer:
		s.inboundPeer(in)
	case broadcast:
		s.broadcast(in)
	}
}

// inboundPeer updates the connections opened by other entries. It treats the end
// of an entry's connection as the end of its incarnation, unless the same
// incarnation has already connected again.
func (s *Service) inboundPeer(in inboundPeer) {
	if !in.ended {
		s.inboundPeers[in.incarnation] = in.out
		return
	}
	if s.inboundPeers[in.incarnation] != in.out {
		return
	}
	delete(s.inboundPeers, in.incarnation)
	for shard := range s.owners {
		s.handleShardEvent(shard, claim.NewEntryTerminated(in.incarnation))
	}
}

// untilWake returns the time until the next tick of an owner or the client.
func (s *Service) untilWake() clock.Millis {
	now := s.Clock.Now()
	next := now + clock.Minute
	for _, at := range s.wakeAt {
		if at != 0 {
			next = min(next, at)
		}
	}
	if s.client.Len() > 0 {
		next = min(next, now+clientTickInterval)
	}
	return max(1, next-now)
}

// tickDue sends a tick to the owners that are due and to the client if it has
// pending requests.
func (s *Service) tickDue() {
	now := s.Clock.Now()
	for shard, at := range s.wakeAt {
		if at != 0 && at <= now {
			s.handleShardEvent(shard, claim.Tick{})
		}
	}
	if s.client.Len() > 0 {
		s.handleClientEvent(claim.ClientTick{})
	}
}

// refresh applies the current instance list: it loads the shards that the list
// assigns to this entry, releases others, and updates the outbound connections.
func (s *Service) refresh() {
	snapshot := s.CurrentSnapshot()
	s.entries = duty.Eligible(snapshot.Instances(), snapshot.DrainFlags(), func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	if len(s.entries) == 0 {
		// No eligible entry is listed: this entry serves its own callers.
		s.entries = []string{s.Self.Instance()}
	}
	for shard, o := range s.owners {
		switch {
		case s.holder(shard) == s.Self.Instance():
			s.handleShardEvent(shard, claim.Open{})
		case o.Ready():
			s.handleShardEvent(shard, claim.Close{})
		}
	}
	s.updateOutboundPeers(snapshot)
}

// holder returns the entry that the instance list assigns a shard to. It is only
// a hint: conditional writes to the platform decide who owns the shard.
func (s *Service) holder(shard int) string {
	return rendezvous.Top(shardNames[shard], s.entries, 1)[0]
}

// shardNames are the keys that rendezvous hashing assigns to entries. All entries
// must use the same names.
var shardNames = [claim.Shards]string{"claim0", "claim1", "claim2", "claim3", "claim4", "claim5", "claim6", "claim7"}

// handleShardEvent applies an event to the owner of a shard and performs the
// resulting actions.
func (s *Service) handleShardEvent(shard int, e claim.Event) {
	s.wakeAt[shard] = 0
	for _, a := range s.owners[shard].Handle(s.Clock.Now(), e) {
		switch a := a.(type) {
		case claim.OwnerReply:
			s.sendReply(a)
		case claim.Query:
			s.queryAgent(shard, a)
		case claim.Wake:
			s.wakeAt[shard] = a.At()
		default:
			s.callQueues[shard].Put(s.ctx.Done(), a)
		}
	}
}

// sendReply sends an owner's reply to the entry of the attempt. A reply to an
// entry that is not connected is dropped.
func (s *Service) sendReply(r claim.OwnerReply) {
	if r.AttemptID().Entry() == s.Self.Incarnation() {
		s.handleClientEvent(claim.NewReplyReceived(r))
		return
	}
	if out := s.inboundPeers[r.AttemptID().Entry()]; out != nil {
		out.offer(r.AttemptID(), replyFrame(r))
	}
}

// handleClientEvent applies an event to the client and performs the resulting
// actions.
func (s *Service) handleClientEvent(e claim.ClientEvent) {
	for _, a := range s.client.Handle(s.Clock.Now(), e) {
		switch a := a.(type) {
		case claim.SendAcquire:
			s.sendToOwner(a.Acquire().Key().Shard(), a.Acquire())
		case claim.SendReport:
			s.sendToOwner(a.Report().Key().Shard(), a.Report())
		case claim.SendWithdraw:
			s.sendToOwner(a.Withdraw().Key().Shard(), a.Withdraw())
		case claim.Submit:
			s.step(a.Request(), Submit{a.Grant().String()})
		case claim.Deliver:
			s.step(a.Request(), Stored{a.Response()})
		case claim.Refuse:
			s.step(a.Request(), Refused{a.Refusal()})
		}
	}
}

// step delivers a step to the Call that waits for it.
func (s *Service) step(request uint64, step Step) {
	if c := s.openCalls[request]; c != nil {
		select {
		case c.steps <- step:
		default:
			// The Call has ended: each event results in at most one step.
		}
	}
}

// sendToOwner sends an event to the entry that holds a shard, or drops it if that
// entry is not an outbound peer. The client repeats an Acquire or Withdraw that
// receives no reply.
func (s *Service) sendToOwner(shard int, e claim.Event) {
	holder := s.holder(shard)
	if holder == s.Self.Instance() {
		s.handleShardEvent(shard, e)
		return
	}
	if p := s.outboundPeers[holder]; p != nil {
		attempt, m := eventFrame(e, s.Clock.Now())
		p.out.offer(attempt, m)
	}
}

// queryAgent queries an agent in a separate goroutine.
func (s *Service) queryAgent(shard int, q claim.Query) {
	select {
	case s.querySlots <- struct{}{}:
	default:
		s.handleShardEvent(shard, claim.NewAgentUnreachable(q))
		return
	}
	go func() {
		defer func() { <-s.querySlots }()
		ctx, cancel := context.WithTimeout(s.ctx, queryTimeout.Duration())
		defer cancel()
		m, err := s.Query(ctx, q.Upstream().Name(), q.Grant().String())
		if err != nil {
			s.put(shardEvent{shard, claim.NewAgentUnreachable(q)})
			return
		}
		response := stored.New(m.Status(), m.Header(), slices.Clone(m.Body()))
		s.put(shardEvent{shard, claim.NewAgentState(q, m.Incarnation(), claim.ParseState(m.State()), m.Status() != 0, response)})
	}()
}
