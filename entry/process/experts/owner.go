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
	// ownerTimeout is how long an owner is not heard before another process
	// takes over; a stalled change stops the whole group.
	ownerTimeout clock.Millis = 450
	// claimJitter keeps processes from taking over at the same moment.
	claimJitter clock.Millis = 200
	// startupDelay is how long a process listens for an owner after its start.
	startupDelay clock.Millis = 700
	// claimRetryInterval is the time between two tries to take over.
	claimRetryInterval clock.Millis = 450
	// callTimeout bounds a call that carries no order.
	callTimeout clock.Millis = 500
	// directCallInterval is the time between two looks past agents.
	directCallInterval clock.Millis = 400
	// agentSkipDuration is how long an agent that has not answered is passed over.
	agentSkipDuration = 1 * clock.Second
	// switchOrderTimeout bounds a call with an order while a pass is held.
	switchOrderTimeout clock.Millis = 700
	// orderTimeout bounds a call with an order, which the agent repeats until the
	// rank has answered.
	orderTimeout = 8 * clock.Second
	// demandHalfLife is how fast earlier counts lose their weight.
	demandHalfLife clock.Millis = 900
	// minPlanTokens is the number of choices a layer needs before a plan.
	minPlanTokens = 2000
	// minShiftTokens is the number of choices that show a jump in demand.
	minShiftTokens = 15000
	// minShiftSkew and jumpRatio are the skew, and its ratio to that expected, from
	// which on a jump is assumed.
	minShiftSkew  = 1.6
	minShiftRatio = 1.4
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
	Call(ctx context.Context, m Member, c *group.Call, timeout clock.Millis) (*group.Reply, error)
	// CallDirect asks the rank itself, for when its agent is gone; it costs more.
	CallDirect(ctx context.Context, m Member, c *group.Call, timeout clock.Millis) (*group.Reply, error)
}

// Claimer takes ownership by a conditional write.
type Claimer interface {
	// Claim makes the process the owner and returns the new term. The newest term
	// that the process knows of is 0 for none; with ErrClaimed comes a newer one.
	Claim(ctx context.Context, service string, knownTerm int64) (int64, error)
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
	// CountOrder is called with each order and its outcome; nil counts nothing.
	CountOrder func(op group.Op, outcome group.Outcome)
	// OwnerStatus returns the highest known term, the time since its owner was heard
	// and the number of agents that say so.
	OwnerStatus func() (int64, clock.Millis, int)

	term        atomic.Int64
	version     atomic.Int64
	epoch       atomic.Int64
	started     clock.Millis
	nextClaimAt clock.Millis
	// claimedTerm is the term of another process that has claimedTerm and not been heard.
	claimedTerm int64
	// nextDirectAt is when ranks may be asked past their agents again.
	nextDirectAt clock.Millis
	// unresponsive tells until when ranks are asked past their agents.
	unresponsive map[string]clock.Millis
	state        state
}

// state is what an owner knows of the group.
type state struct {
	epoch    int64
	mapKnown bool
	current  placement.Map
	version  int64
	// resolved is set while no change of this or an earlier owner can be
	// unfinished.
	resolved bool
	// changing is set while a change is under way.
	changing bool
	// switchStep is the pass at which the map of the last change is used.
	switchStep int64
	// maxHeldStep is the last pass that this or an earlier owner may have held.
	maxHeldStep  int64
	demand       placement.Estimator
	lastCounts   map[string]rankCounts
	lastStep     int64
	lastStepAt   clock.Millis
	passDuration clock.Millis
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
	if !o.ensureOwnership(ctx) {
		return
	}
	if err := o.reconcile(ctx, engine); err != nil {
		o.Log.Error(event.MapAbandoned, err, event.Fields{"service": o.Service})
	}
	o.version.Store(o.state.version)
	o.epoch.Store(o.state.epoch)
}

// ensureOwnership tells whether this process ensureOwnership the maps, and claims them when their
// owner has fallen silent.
func (o *Owner) ensureOwnership(ctx context.Context) bool {
	term, age, agents := o.OwnerStatus()
	ownTerm := o.term.Load()
	if ownTerm > 0 && term > ownTerm {
		o.term.Store(0)
		o.state = state{}
		o.Log.Emit(event.MapOwnerLost, event.Fields{"service": o.Service, "term": ownTerm, "newer": term})
		return false
	}
	if ownTerm > 0 {
		return true
	}
	timeout := ownerTimeout + o.jitter()
	now := o.Clock.Now()
	if agents == 0 || now-o.started < startupDelay+o.jitter() || now < o.nextClaimAt || (term > 0 && age < timeout) {
		return false
	}
	o.nextClaimAt = now + claimRetryInterval
	claimedTerm, err := o.Claimer.Claim(ctx, o.Service, max(term, o.claimedTerm))
	if errors.Is(err, ErrClaimed) {
		o.claimedTerm = claimedTerm
		o.nextClaimAt = now + timeout
	}
	if err != nil {
		o.Log.Error(event.MapOwnerLost, err, event.Fields{"service": o.Service, "term": term, "ownerAgeMs": age})
		return false
	}
	o.state = state{}
	o.term.Store(claimedTerm)
	o.Log.Emit(event.MapOwner, event.Fields{"service": o.Service, "term": claimedTerm, "before": term, "ownerAgeMs": age})
	return true
}

// jitter differs between processes.
func (o *Owner) jitter() clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Self)) // a hash never fails
	return clock.Millis(h.Sum32()) % claimJitter
}

// reconcile looks at the ranks once and changes the map when that pays.
func (o *Owner) reconcile(ctx context.Context, engine *config.Engine) error {
	if o.directCallDeferred() {
		return nil
	}
	term := o.term.Load()
	ranks, complete := o.queryAll(ctx, group.Call{Term: term, WantCounts: true, WantMap: !o.state.mapKnown}, callTimeout)
	if !complete {
		o.state.mapKnown = false
		return nil
	}
	if ranks[0].report.Epoch != o.state.epoch {
		o.state = state{epoch: ranks[0].report.Epoch, resolved: o.state.resolved, lastCounts: o.state.lastCounts, demand: o.state.demand}
		o.state.maxHeldStep = maxPossibleHeldStep(ranks)
	}
	o.updateDemand(ranks, engine)
	if o.awaitingSwitch(ranks) {
		return nil
	}
	if changePending(ranks) {
		return o.resolveChange(ctx, ranks)
	}
	o.state.resolved = true
	if !o.state.mapKnown {
		return o.loadMap(ranks)
	}
	if !mostViaAgents(ranks) {
		return nil
	}
	return o.rebalance(ctx, ranks, engine)
}

// awaitingSwitch tells whether all ranks wait for the pass at which they use the map
// of the last change.
func (o *Owner) awaitingSwitch(ranks []*rank) bool {
	version, step, all := armedFor(ranks)
	return all && version == o.state.version && step == o.state.switchStep && countHolding(ranks) == 0
}
