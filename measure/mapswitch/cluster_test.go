package mapswitch_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"goldcrestshore/agent/process/orders"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/process/experts"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/standin/process/lockstep"
)

// cluster is a group with its agents and the processes that can own its maps.
type cluster struct {
	*lockstep.Group
	log *event.Log

	// engine is the configuration of the engine that is in force.
	engine atomic.Pointer[config.Engine]

	mu     sync.Mutex
	agents []*orders.Executor
	owners []*owner

	termMu sync.Mutex
	term   int64
	// pausedUntil is the time until which each agent is paused, and
	// unreachableUntil the time until which calls do not reach its rank either.
	pausedUntil, unreachableUntil [lockstep.Ranks]time.Time

	// membersPanic makes each read of the members panic.
	membersPanic atomic.Bool

	// lapsed marks the ranks whose records are missing.
	lapsed [lockstep.Ranks]bool

	responses [lockstep.Ranks]responses

	// unreadableMaps counts the log lines about lists of experts that are not a map.
	unreadableMaps atomic.Int64
}

// countEvent implements event.Log.Count.
func (c *cluster) countEvent(e event.Event) {
	if e == event.MapUnreadable {
		c.unreadableMaps.Add(1)
	}
}

// pauseAgent suspends an agent for d.
func (c *cluster) pauseAgent(i int, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[i] = time.Now().Add(d)
}

// pauseInstance suspends an agent and makes its rank unreachable for d. Calls to
// them are delivered afterwards.
func (c *cluster) pauseInstance(i int, d time.Duration) {
	c.pauseAgent(i, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachableUntil[i] = c.pausedUntil[i]
}

// awaitDelivery waits until a call can be delivered to an agent or, if direct, to
// its rank.
func (c *cluster) awaitDelivery(i int, direct bool) {
	c.mu.Lock()
	until := c.pausedUntil[i]
	if direct {
		until = c.unreachableUntil[i]
	}
	c.mu.Unlock()
	time.Sleep(time.Until(until))
}

func newCluster(ctx context.Context, t *testing.T, seed uint64, owners int) *cluster {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "test", "test")
	check.NoError(t, "NewLog", err)
	c := &cluster{Group: lockstep.New(seed), log: log}
	log.Count = c.countEvent
	c.engine.Store(lockstepEngine())
	for i := range lockstep.Ranks {
		c.agents = append(c.agents, c.agent(i))
	}
	for i := range owners {
		c.owners = append(c.owners, c.startOwner(ctx, i))
	}
	go c.Run(ctx)
	return c
}

// lockstepEngine returns the configuration of the group's engine.
func lockstepEngine() *config.Engine {
	return &config.Engine{Layers: lockstep.Layers, Experts: lockstep.Experts, SlotsPerRank: lockstep.SlotsPerRank, SpareSlots: lockstep.SpareSlots}
}

func (c *cluster) agent(i int) *orders.Executor {
	return &orders.Executor{Clock: clock.System(), Log: c.log, Rank: rank{c.Rank(i), &c.responses[i]}}
}

func (c *cluster) agentAt(i int) *orders.Executor {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.agents[i]
}

// lapse removes the record of a rank, which goes on.
func (c *cluster) lapse(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapsed[i] = true
}

// registered returns the members whose records have not lapsed.
func (c *cluster) registered(members []experts.Member) []experts.Member {
	if c.membersPanic.Load() {
		panic("members")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []experts.Member
	for i, m := range members {
		if !c.lapsed[i] {
			out = append(out, m)
		}
	}
	return out
}

// Claim implements experts.Claimer. It stands in for a conditional write.
func (c *cluster) Claim(context.Context, string, int64) (int64, error) {
	c.termMu.Lock()
	defer c.termMu.Unlock()
	c.term += termIncrement
	return c.term, nil
}

// termIncrement is the difference between the terms of consecutive claims.
const termIncrement = 10

// terms returns how many processes have owned the maps so far.
func (c *cluster) terms() int64 {
	c.termMu.Lock()
	defer c.termMu.Unlock()
	return c.term / termIncrement
}

// finish stops all processes and waits for calls and orders in progress.
func finish(cancel context.CancelFunc) {
	cancel()
	time.Sleep(30 * time.Second)
}
