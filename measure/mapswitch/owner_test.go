package mapswitch_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/supervise"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/process/experts"
	"goldcrestshore/standin/process/lockstep"
)

// callLatency is the one-way latency of a call.
const callLatency = time.Millisecond

var errUnreachable = errors.New("agent is unreachable")

// owner is one process that can own the maps. unreachable lists the agents that
// it is disconnected from.
type owner struct {
	c       *cluster
	process *experts.Owner
	stop    context.CancelFunc

	mu          sync.Mutex
	pausedUntil time.Time
	unreachable map[int]bool
}

// startOwner starts a process that can own the maps, and its heartbeats.
func (c *cluster) startOwner(ctx context.Context, i int) *owner {
	ctx, stop := context.WithCancel(ctx)
	o := &owner{c: c, stop: stop, unreachable: make(map[int]bool)}
	var members []experts.Member
	for i := range lockstep.Ranks {
		members = append(members, experts.Member{Upstream: fmt.Sprint(i), Agent: fmt.Sprint(i)})
	}
	o.process = &experts.Owner{
		Clock: clock.System(), Log: c.log, Self: fmt.Sprint("owner", i), Service: "s", Ranks: o, Claimer: c,
		Members:     func() []experts.Member { return c.registered(members) },
		Engine:      c.engine.Load,
		OwnerStatus: o.exchangeHeartbeats,
	}
	supervisor := &supervise.Supervisor{Clock: clock.System(), Log: c.log}
	go supervisor.Run(ctx, "maps", o.process.Run)
	go clock.Every(ctx, 120, func() {
		if !o.isPaused() {
			o.exchangeHeartbeats()
		}
	})
	return o
}

// exchangeHeartbeats sends a heartbeat to every reachable agent. It returns the
// highest term, the time since a heartbeat with it was received, and the number
// of agents that replied.
func (o *owner) exchangeHeartbeats() (int64, clock.Millis, int) {
	o.waitWhilePaused()
	term, age, n := int64(0), clock.Millis(0), 0
	for i := range lockstep.Ranks {
		if o.isUnreachable(i) {
			continue
		}
		agentTerm, sinceHeartbeat := o.c.agentAt(i).RecordTerm(o.process.Term())
		n++
		if agentTerm > term || (agentTerm == term && (n == 1 || sinceHeartbeat < age)) {
			term, age = agentTerm, sinceHeartbeat
		}
	}
	return term, age, n
}

// Call implements experts.Ranks.
func (o *owner) Call(ctx context.Context, m experts.Member, call *group.Call, limit clock.Millis) (*group.Reply, error) {
	return o.callAgent(ctx, m, call, limit, false)
}

// CallDirect implements experts.Ranks.
func (o *owner) CallDirect(ctx context.Context, m experts.Member, call *group.Call, limit clock.Millis) (*group.Reply, error) {
	return o.callAgent(ctx, m, call, limit, true)
}

func (o *owner) callAgent(ctx context.Context, m experts.Member, call *group.Call, limit clock.Millis, direct bool) (*group.Reply, error) {
	o.waitWhilePaused()
	var i int
	if _, err := fmt.Sscan(m.Upstream, &i); err != nil {
		return nil, err
	}
	time.Sleep(callLatency)
	agent := o.c.agentAt(i)
	if direct {
		agent = o.c.agent(i)
	} else if o.isUnreachable(i) {
		time.Sleep(limit.Duration())
		return nil, errUnreachable
	}
	replies := make(chan *group.Reply, 1)
	go func() { // the agent executes the call even if the owner times out
		o.c.awaitDelivery(i, direct)
		replies <- agent.Serve(context.Background(), call)
	}()
	select {
	case r := <-replies:
		o.waitWhilePaused()
		return r, nil
	case <-time.After(limit.Duration()):
		return nil, errUnreachable
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// waitWhilePaused blocks while the process is paused.
func (o *owner) waitWhilePaused() {
	for o.isPaused() {
		time.Sleep(10 * time.Millisecond)
	}
}

func (o *owner) isPaused() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return time.Now().Before(o.pausedUntil)
}

func (o *owner) isUnreachable(i int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unreachable[i]
}
