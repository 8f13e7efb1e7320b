// Package experts manages the expert maps of a model service: it estimates the
// demand for each expert, plans maps and switches all ranks of the group to a new
// map at the same forward pass.
//
// A change takes these steps: every rank prepares the new map; one rank holds a
// future pass; every rank is armed for that pass; once all ranks have accepted,
// the hold is released. No rank can begin the pass while it is held, so a change
// that fails is rolled back before any rank has switched.
//
// Any order may be executed again seconds later. Late duplicates are harmless:
//   - prepare: ranks refuse versions that are not newer than all earlier ones;
//   - arm: a change is rolled back by preparing a newer version on every rank,
//     after which the old version can no longer be armed;
//   - disarm: a version that was rolled back is never armed again;
//   - hold: either the pass has already begun, or the next query of the ranks
//     finds the hold and releases it;
//   - release: no pass is held for a second change, not even by a later owner.
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

// ErrNotOwner means that another process owns the maps.
var ErrNotOwner = errors.New("another process owns the expert maps")

const (
	// cycle is the interval between queries of the ranks.
	cycle clock.Millis = 100
	// ownerTimeout is how long no heartbeat of the owner arrives before another
	// process takes over. It is short because a stalled change stops the whole
	// group.
	ownerTimeout clock.Millis = 450
	// claimJitter bounds the per-process delay that keeps processes from claiming
	// the maps simultaneously.
	claimJitter clock.Millis = 200
	// startupDelay is how long a new process waits for heartbeats of an owner
	// before it may claim the maps.
	startupDelay clock.Millis = 700
	// claimRetryInterval is the minimum interval between attempts to claim the
	// maps.
	claimRetryInterval clock.Millis = 450
	// callTimeout bounds a query, and an order that orderFirstRank or forceOrder
	// sends directly to a rank.
	callTimeout clock.Millis = 500
	// directCallInterval is the minimum interval between queries that bypass
	// agents, except during a change.
	directCallInterval clock.Millis = 400
	// agentSkipDuration is how long an agent is skipped after it did not reply.
	agentSkipDuration = 1 * clock.Second
	// switchOrderTimeout bounds an order sent while a pass is held.
	switchOrderTimeout clock.Millis = 700
	// orderTimeout bounds any other order; the agent resends it until the rank
	// replies.
	orderTimeout = 8 * clock.Second
	// demandHalfLife is the half-life of earlier counts in the demand estimate.
	demandHalfLife clock.Millis = 900
	// minPlanTokens is the number of routed tokens per layer required for a plan.
	minPlanTokens = 2000
	// minShiftTokens is the number of routed tokens required to detect a shift in
	// demand.
	minShiftTokens = 15000
	// minShiftSkew and minShiftRatio are the thresholds for a shift in demand: the
	// skew of the latest counts, and its ratio to the skew of the estimate.
	minShiftSkew  = 1.6
	minShiftRatio = 1.4
)

// Ranks sends calls to the ranks of a group.
type Ranks interface {
	// Call sends c to the agent of a rank.
	Call(ctx context.Context, m Member, c *group.Call, timeout clock.Millis) (*group.Reply, error)
	// CallDirect sends c to the rank itself, for use when its agent is
	// unavailable. It is more expensive than Call.
	CallDirect(ctx context.Context, m Member, c *group.Call, timeout clock.Millis) (*group.Reply, error)
}

// Owner manages the maps of one service while its process owns them, and
// otherwise waits to take over. Exported fields must be set before Run.
type Owner struct {
	Clock   *clock.Clock
	Log     *event.Log
	Self    string
	Service string
	Ranks   Ranks
	Claimer Claimer
	// Members returns the replicas of the service.
	Members func() []Member
	// Engine returns the configuration of the service's engine, nil when unknown.
	Engine func() *config.Engine
	// CountOrder, if not nil, is called with each order and its outcome.
	CountOrder func(op group.Op, outcome group.Outcome)
	// OwnerStatus returns the highest known term, the time since a heartbeat of
	// its owner was last received, and the number of agents that report it.
	OwnerStatus func() (int64, clock.Millis, int)

	term        atomic.Int64
	version     atomic.Int64
	epoch       atomic.Int64
	started     clock.Millis
	nextClaimAt clock.Millis
	// claimedTerm is the term of another process that has claimed the maps and sent
	// no heartbeat yet.
	claimedTerm int64
	// nextDirectAt is when ranks may next be called directly.
	nextDirectAt clock.Millis
	// unresponsive is, by upstream, until when an agent is skipped and its rank
	// called directly.
	unresponsive map[string]clock.Millis
	members      memberLog
	// listsInvalid is true from lists of experts that are not a map until some that are.
	listsInvalid bool
	state        state
}

// dimensions are those of a group and its engine that maps and demand depend on.
type dimensions struct {
	layers, experts, ranks int
}

// state is the owner's view of the group.
type state struct {
	epoch int64
	// dimensions are those of current, demand and counts.
	dimensions dimensions
	mapKnown   bool
	current    placement.Map
	// lastRead is the map of the last lists of experts, nil if they were not a map.
	lastRead placement.Map
	version  int64
	// resolved is true if no change of this or an earlier owner can be pending.
	resolved bool
	// rollbacksWithoutMap counts the attempts to roll back a change while the map is unknown.
	rollbacksWithoutMap int
	// changing is true while a change is in progress.
	changing bool
	// switchStep is the pass at which the map of the last change takes effect.
	switchStep int64
	// maxHeldStep is the latest pass that this or an earlier owner may have held.
	maxHeldStep int64
	demand      placement.Estimator
	// counts are those of each rank, by upstream.
	counts       map[string]*rankCounts
	lastStep     int64
	lastStepAt   clock.Millis
	passDuration clock.Millis
}

// Map returns the version and the epoch of the last map that this process has
// planned or loaded as the owner, 0 for none.
func (o *Owner) Map() (version, epoch int64) { return o.version.Load(), o.epoch.Load() }

// Term returns the term of this process's ownership, 0 for none.
func (o *Owner) Term() int64 { return o.term.Load() }

// Run manages the maps, or waits to take over, until ctx is done. It may be called again after a
// panic: it begins without a map and without the term of before, whose orders may be in transit.
func (o *Owner) Run(ctx context.Context) {
	o.state, o.members, o.unresponsive = state{}, memberLog{}, nil
	o.nextClaimAt, o.claimedTerm, o.nextDirectAt = 0, 0, 0
	o.started = o.Clock.Now()
	defer o.term.Store(0) // another process takes over
	clock.Every(ctx, cycle, func() { o.cycle(ctx) })
}

func (o *Owner) cycle(ctx context.Context) {
	engine := o.Engine()
	if engine == nil || engine.Layers == 0 {
		return
	}
	o.members.record(o.Clock.Now(), o.Members())
	if !o.ensureOwnership(ctx) {
		return
	}
	if err := o.reconcile(ctx, engine); err != nil {
		o.Log.Error(event.MapAbandoned, err, event.Fields{"service": o.Service})
	}
	o.version.Store(o.state.version)
	o.epoch.Store(o.state.epoch)
}

// ensureOwnership reports whether this process owns the maps. It claims them when
// the heartbeats of their owner have timed out.
func (o *Owner) ensureOwnership(ctx context.Context) bool {
	term, age, agents := o.OwnerStatus()
	ownTerm := o.term.Load()
	if ownTerm > 0 && term > ownTerm {
		o.term.Store(0)
		o.state = state{}
		o.Log.Emit(event.MapOwnershipLost, event.Fields{"service": o.Service, "term": ownTerm, "newer": term})
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
		o.Log.Error(event.MapOwnershipLost, err, event.Fields{"service": o.Service, "term": term, "ownerAgeMs": age})
		return false
	}
	o.state = state{}
	o.term.Store(claimedTerm)
	o.Log.Emit(event.MapOwnershipAcquired, event.Fields{"service": o.Service, "term": claimedTerm, "before": term, "ownerAgeMs": age})
	return true
}

// jitter returns a delay that is constant for this process and differs between
// processes.
func (o *Owner) jitter() clock.Millis {
	h := fnv.New32a()
	_, _ = h.Write([]byte(o.Self)) // never returns an error
	return clock.Millis(h.Sum32()) % claimJitter
}

// reconcile queries the ranks once, resolves a pending change, and otherwise
// changes the map if that is beneficial.
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
		o.state = state{
			epoch: ranks[0].report.Epoch, resolved: o.state.resolved,
			dimensions: o.state.dimensions, counts: o.state.counts, demand: o.state.demand,
		}
		o.state.maxHeldStep = maxPossibleHeldStep(ranks)
	}
	o.state.resize(dimensions{engine.Layers, engine.Experts, len(ranks)})
	o.updateDemand(ranks, engine)
	if o.awaitingSwitch(ranks) {
		return nil
	}
	if changePending(ranks) {
		return o.resolveChange(ctx, ranks, engine)
	}
	o.state.resolved = true
	if !o.state.mapKnown {
		o.loadMap(ranks, engine)
		return nil
	}
	if !mostViaAgents(ranks) {
		return nil
	}
	return o.rebalance(ctx, ranks, engine)
}

// resize discards what depends on other dimensions than d: a configuration may change those of
// the engine at any time.
func (s *state) resize(d dimensions) {
	if s.dimensions == d {
		return
	}
	s.dimensions = d
	s.mapKnown, s.current, s.lastRead = false, nil, nil
	s.demand, s.counts = placement.Estimator{}, nil
}

// awaitingSwitch reports whether all ranks are armed for the last change and no
// pass is held, so that they will switch at its pass.
func (o *Owner) awaitingSwitch(ranks []*rank) bool {
	version, step, all := armedFor(ranks)
	return all && version == o.state.version && step == o.state.switchStep && countHolding(ranks) == 0
}
