// Package claims runs the claim decisions of an entry: one goroutine applies
// events to the client and to the owners of all shards, one per shard calls the
// platform, and one per other entry sends it frames. Bounded rings join them.
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
	// inboxSize bounds the events that wait for the decisions.
	inboxSize = 1024
	// callQueueSize bounds the calls of one shard; its owner makes one at a time.
	callQueueSize = 4
	// refreshInterval is how often shards follow the instance list.
	refreshInterval = 500 * clock.Millis(1)
	// clientTickInterval is how often requests that wait for an owner are looked at.
	clientTickInterval = 100 * clock.Millis(1)
	// platformTimeout ends a call; the platform answers in milliseconds, and a
	// caller waits at most two seconds for its claim.
	platformTimeout = 800 * clock.Millis(1)
	// queryTimeout ends a query to an agent.
	queryTimeout = 1500 * clock.Millis(1)
	// maxQueries bounds the queries under way; one beyond it is asked again.
	maxQueries = 64
)

// Service makes keyed requests run at most once. Exported fields are set before
// Run.
type Service struct {
	Platform *platform.Client
	Clock    *clock.Clock
	Log      *event.Log
	Self     peer.Identity
	Key      []byte
	View     func() *relay.Snapshot
	// Query asks the agent of an upstream about a claim.
	Query func(ctx context.Context, upstream, claimKey string) (*frame.ClaimState, error)
	// OnShares receives what other entries share; nil ignores it.
	OnShares func(*frame.Shares)

	initOnce    sync.Once
	inbox       *ring.Ring[input]
	done        chan struct{}
	sequence    atomic.Uint64
	querySlots  chan struct{}
	rateLimiter *limiter.Limiter

	// The fields below belong to the goroutine of decide.
	ctx           context.Context
	client        *claim.Client
	owners        [claim.Shards]*claim.Owner
	wakeAt        [claim.Shards]clock.Millis
	callQueues    [claim.Shards]*ring.Ring[claim.Action]
	entries       []string
	openCalls     map[uint64]*Call
	outboundPeers map[string]*outboundPeer
	inboundPeers  map[uint64]*outbox // connections of other entries, by incarnation
}

// Use returns the platform calls made so far.
func (s *Service) Use() limiter.Use {
	s.lazyInit()
	return s.rateLimiter.Use()
}

// input is an event for the goroutine that decides.
type input interface{ input() }

// shardEvent is for the owner of a shard in this entry.
type shardEvent struct {
	shard int
	event claim.Event
}

// clientEvent is for the client; call is set when a request begins.
type clientEvent struct {
	event claim.ClientEvent
	call  *Call
}

// callClosed tells that nobody waits for a call any more.
type callClosed struct{ request uint64 }

// inboundPeer tells that another entry connected, or that its connection ended.
type inboundPeer struct {
	incarnation uint64
	out         *outbox
	ended       bool
}

func (shardEvent) input()  {}
func (clientEvent) input() {}
func (callClosed) input()  {}
func (inboundPeer) input() {}

// lazyInit makes what Run, Serve and Open share.
func (s *Service) lazyInit() {
	s.initOnce.Do(func() {
		s.inbox = ring.New[input](inboxSize)
		s.done = make(chan struct{})
		s.querySlots = make(chan struct{}, maxQueries)
		// One entry may hold all shards, whose owners pace their writes. The limit
		// stops calls that repeat without end.
		s.rateLimiter = limiter.New(limiter.Claims, 1)
	})
}

// Run decides until ctx is done.
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

// untilWake returns the time until an owner or the client is due.
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

// refresh follows the live list: it loads the shards that are this entry's now,
// gives up others, and keeps connections to the other entries.
func (s *Service) refresh() {
	v := s.View()
	s.entries = duty.Eligible(v.Instances(), v.Out(), func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	if len(s.entries) == 0 {
		// Without a list this entry serves its own callers.
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
	s.updateOutboundPeers(v)
}

// holder returns the entry that the list assigns a shard to. It is only a hint:
// authority comes from the conditional write.
func (s *Service) holder(shard int) string {
	return rendezvous.Top(shardNames[shard], s.entries, 1)[0]
}

var shardNames = [claim.Shards]string{"claim0", "claim1", "claim2", "claim3", "claim4", "claim5", "claim6", "claim7"}

// handleShardEvent applies an event to the owner of a shard.
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

// sendReply passes an owner's reply to the entry that asked.
func (s *Service) sendReply(r claim.OwnerReply) {
	if r.AttemptID().Entry() == s.Self.Incarnation() {
		s.handleClientEvent(claim.NewReplyReceived(r))
		return
	}
	if out := s.inboundPeers[r.AttemptID().Entry()]; out != nil {
		out.offer(r.AttemptID(), replyFrame(r))
	}
}

// handleClientEvent applies an event to the client.
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
			s.step(a.Request(), Stored{a.Answer()})
		case claim.Refuse:
			s.step(a.Request(), Refused{a.Refusal()})
		}
	}
}

func (s *Service) step(request uint64, step Step) {
	if c := s.openCalls[request]; c != nil {
		select {
		case c.steps <- step:
		default:
			// The call has ended; each event of a call has one step.
		}
	}
}

// sendToOwner passes an event to the entry that holds a shard. What cannot be sent is
// lost; the client asks again.
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

// queryAgent asks an agent outside the deciding goroutine.
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
