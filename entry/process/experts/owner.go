// Package experts owns the expert maps of a model service: it learns which
// experts are in demand, plans maps and makes all ranks of the group switch at
// the same pass.
//
// A change is made in this order: every rank prepares the new map; one rank
// holds a pass to come; every rank is armed for that pass; once all have
// accepted, the hold is released. While the hold stands no rank can begin the
// pass, so a change that fails is taken back before any rank has switched.
//
// Any order may be carried out again seconds later. A late copy does no harm:
//   - to prepare: ranks refuse versions that are not newer than all earlier ones;
//   - to arm: a change is taken back by preparing a newer version on every rank,
//     after which the old one can no longer be armed;
//   - to disarm: a version that was taken back is never armed again;
//   - to hold: the pass has begun, or the next look finds the hold and ends it;
//   - to release: no pass is held for a second change, also by later owners.
package experts

import (
	"context"
	"hash/fnv"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

// Errors of ownership, for use with errors.Is.
var (
	// ErrNotOwner means that another process owns the maps.
	ErrNotOwner = errors.New("another process owns the expert maps")
	// ErrClaimed means that another process has claimed the maps in between.
	ErrClaimed = errors.New("another process has claimed the expert maps")
)

const (
	// cycle is the time between two looks at the ranks.
	cycle clock.Millis = 100
	// ownerSilence is how long an owner is not heard before another process
	// takes over; a stalled change stops the whole group.
	ownerSilence clock.Millis = 450
	// claimSpread keeps processes from taking over at the same moment.
	claimSpread clock.Millis = 200
	// startTime is how long a process listens for an owner after its start.
	startTime clock.Millis = 700
	// claimPause is the time between two tries to take over.
	claimPause clock.Millis = 450
	// callTime bounds a call that carries no order.
	callTime clock.Millis = 500
	// directPause is the time between two looks past agents.
	directPause clock.Millis = 400
	// silentTime is how long an agent that has not answered is passed over.
	silentTime = 1 * clock.Second
	// switchTime bounds a call with an order while a pass is held.
	switchTime clock.Millis = 700
	// orderTime bounds a call with an order, which the agent repeats until the
	// rank has answered.
	orderTime = 8 * clock.Second
	// demandHalfLife is how fast earlier counts lose their weight.
	demandHalfLife clock.Millis = 900
	// leastTokens is the number of choices a layer needs before a plan.
	leastTokens = 2000
	// jumpTokens is the number of choices that show a jump in demand.
	jumpTokens = 15000
	// leastJump and jumpRatio are the skew, and its ratio to that expected, from
	// which on a jump is assumed.
	leastJump = 1.6
	jumpRatio = 1.4
)

// Member is a rank of the group.
type Member struct {
	// Upstream is the id of the replica.
	Upstream string
	// Agent is the address of the process beside it.
	Agent string
	// Address is that of the replica itself.
	Address string
}

// Ranks reaches the ranks of a group.
type Ranks interface {
	// Call asks the agent beside a rank.
	Call(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)
	// Direct asks the rank itself, for when its agent is gone; it costs more.
	Direct(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)
}

// Claimer takes ownership by a conditional write.
type Claimer interface {
	// Claim makes the process the owner and returns the new term. The newest term
	// that the process knows of is 0 for none; with ErrClaimed comes a newer one.
	Claim(ctx context.Context, service string, known int64) (int64, error)
}

// Owner owns the maps of one service, or waits until it may. Exported fields
// are set before Run.
type Owner struct {
	Clock   *clock.Clock
	Log     *event.Log
	Self    string
	Service string
	Ranks   Ranks
	Claimer Claimer
	// Members returns the replicas of the service.
	Members func() []Member
	// Engine returns the shape of the service's engine, nil when unknown.
	Engine func() *config.Engine
	// Count is called with each order and its outcome; nil counts nothing.
	Count func(op group.Op, outcome group.Outcome)
	// Heard returns the highest known term, the time since its owner was heard
	// and the number of agents that say so.
	Heard func() (int64, clock.Millis, int)

	term    atomic.Int64
	version atomic.Int64
	epoch   atomic.Int64
	started clock.Millis
	claimAt clock.Millis
	// claimed is the term of another process that has claimed and not been heard.
	claimed int64
	// directAt is when ranks may be asked past their agents again.
	directAt clock.Millis
	// silent tells until when ranks are asked past their agents.
	silent map[string]clock.Millis
	state  state
}

// state is what an owner knows of the group.
type state struct {
	epoch   int64
	known   bool
	current placement.Map
	version int64
	// settled is set while no change of this or an earlier owner can be
	// unfinished.
	settled bool
	// changing is set while a change is under way.
	changing bool
	// switchAt is the pass at which the map of the last change is used.
	switchAt int64
	// heldUpTo is the last pass that this or an earlier owner may have held.
	heldUpTo int64
	demand   placement.Estimator
	last     map[string]counted
	lastStep int64
	lastAt   clock.Millis
	pass     clock.Millis
}

// Map returns the version and the epoch of the last map that this process has
// planned or learned, 0 when it does not own the maps.
func (o *Owner) Map() (version, epoch int64) { return o.version.Load(), o.epoch.Load() }

// Term returns the term of this process's ownership, 0 for none.
func (o *Owner) Term() int64 { return o.term.Load() }

// Run owns or waits until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	o.started = o.Clock.Now()
	clock.Every(ctx, cycle, func() { o.cycle(ctx) })
}

func (o *Owner) cycle(ctx context.Context) {
	engine := o.Engine()
	if engine == nil || engine.Layers == 0 {
		return
	}
	if !o.owns(ctx) {
		return
	}
	if err := o.tend(ctx, engine); err != nil {
		o.Log.Error(event.MapAbandoned, err, event.Fields{"service": o.Service})
	}
	o.version.Store(o.state.version)
	o.epoch.Store(o.state.epoch)
}

// owns tells whether this process owns the maps, and claims them when their
// owner has fallen silent.
func (o *Owner) owns(ctx context.Context) bool {
	term, age, agents := o.Heard()
	own := o.term.Load()
	if own > 0 && term > own {
		o.term.Store(0)
		o.state = state{}
		o.Log.Emit(event.MapOwnerLost, event.Fields{"service": o.Service, "term": own, "newer": term})
		return false
	}
	if own > 0 {
		return true
	}
	silence := ownerSilence + o.delay()
	now := o.Clock.Now()
	if agents == 0 || now-o.started < startTime+o.delay() || now < o.claimAt || (term > 0 && age < silence) {
		return false
	}
	o.claimAt = now + claimPause
	claimed, err := o.Claimer.Claim(ctx, o.Service, max(term, o.claimed))
	if errors.Is(err, ErrClaimed) {
		o.claimed = claimed
		o.claimAt = now + silence
	}
	if err != nil {
		o.Log.Error(event.MapOwnerLost, err, event.Fields{"service": o.Service, "term": term, "ownerAgeMs": age})
		return false
	}
	o.state = state{}
	o.term.Store(claimed)
	o.Log.Emit(event.MapOwner, event.Fields{"service": o.Service, "term": claimed, "before": term, "ownerAgeMs": age})
	return true
}

// delay differs between processes.
func (o *Owner) delay() clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Self)) // a hash never fails
	return clock.Millis(h.Sum32()) % claimSpread
}

// tend looks at the ranks once and changes the map when that pays.
func (o *Owner) tend(ctx context.Context, engine *config.Engine) error {
	if o.pausing() {
		return nil
	}
	term := o.term.Load()
	ranks, whole := o.all(ctx, group.Call{Term: term, WantCounts: true, WantMap: !o.state.known}, callTime)
	if !whole {
		o.state.known = false
		return nil
	}
	if ranks[0].report.Epoch != o.state.epoch {
		o.state = state{epoch: ranks[0].report.Epoch, settled: o.state.settled, last: o.state.last, demand: o.state.demand}
		o.state.heldUpTo = mayBeHeld(ranks)
	}
	o.observe(ranks, engine)
	if o.switching(ranks) {
		return nil
	}
	if pending(ranks) {
		return o.settle(ctx, ranks)
	}
	o.state.settled = true
	if !o.state.known {
		return o.learnMap(ranks)
	}
	if !mostAgents(ranks) {
		return nil
	}
	return o.improve(ctx, ranks, engine)
}

// switching tells whether all ranks wait for the pass at which they use the map
// of the last change.
func (o *Owner) switching(ranks []*rank) bool {
	version, step, all := armedFor(ranks)
	return all && version == o.state.version && step == o.state.switchAt && holders(ranks) == 0
}
