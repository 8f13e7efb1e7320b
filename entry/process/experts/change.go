package experts

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/placement"
)

const (
	// minGain is the minimum reduction in skew required for a change.
	minGain = 0.05
	// minGainPerGigabyte is the average reduction in skew required for each copied
	// gigabyte, multiplied by the number of ranks: a copy costs the same in a large
	// group, but more ranks benefit from it.
	minGainPerGigabyte = 0.0082
	// minStepGainPerGigabyte is the relative reduction in the cost of a layer that
	// a step of a plan must achieve for each copied gigabyte, multiplied by the
	// number of ranks. The cost grows with the eighth power of the load.
	minStepGainPerGigabyte = 1.36
	// maxCopyMillis bounds the copy time of a change at each rank; a change with
	// fewer copies takes effect sooner.
	maxCopyMillis = 300.0
	// slowCopyMillis is the time of one copy from which on a change makes a single copy
	// at each rank: the first copies gain most, and each further one delays the change
	// by more than its orders do.
	slowCopyMillis = 60.0
	// minCopiesPerRank is the number of copies per rank that is allowed regardless of
	// maxCopyMillis if their time is unknown.
	minCopiesPerRank = 2
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 3 * clock.Second
	// pollInterval is the interval between queries while waiting for the ranks.
	pollInterval clock.Millis = 40
	// directPollInterval replaces pollInterval when ranks are called directly.
	directPollInterval clock.Millis = 150
	// armDuration is the usual time to arm all ranks, and thus the minimum time
	// until the pass at which they switch.
	armDuration clock.Millis = 60
	// versionsPerTerm exceeds the number of changes that one owner makes.
	versionsPerTerm = 1 << 20
	// ordersBeforeRelease is the number of consecutive orders up to the release,
	// each about as slow as the order to prepare.
	ordersBeforeRelease = 2
	// maxHoldAttempts bounds the attempts to hold a pass; another one is needed when
	// the chosen pass has already begun.
	maxHoldAttempts = 4
	// directCheckTimeout is the minimum time to wait for reports from direct calls,
	// which may be a few hundred milliseconds old.
	directCheckTimeout clock.Millis = 500
	// minStepsAhead and maxStepsAhead bound the number of passes until the switch.
	minStepsAhead = 2
	maxStepsAhead = 8
	// defaultPassDuration is assumed until the duration of a pass is measured.
	defaultPassDuration clock.Millis = 60
)

// rebalance changes the map if another one distributes the demand sufficiently more
// evenly.
func (o *Owner) rebalance(ctx context.Context, ranks []*rank, engine *config.Engine) error {
	s := &o.state
	if s.demand.Total() < minPlanTokens {
		return nil
	}
	scaledGigabytes := engine.ExpertMB / megabytesPerGigabyte / float64(len(ranks))
	shape := shapeOf(engine, ranks)
	shape.MaxCopies, shape.Slowdowns = maxCopiesPerRank(engine), slowdowns(ranks)
	next := placement.Plan(shape, s.current, s.demand.Loads(), minStepGainPerGigabyte*scaledGigabytes)
	before, after := shape.Skew(s.current, s.demand.Loads()), shape.Skew(next, s.demand.Loads())
	moves := s.current.Copies(next)
	if before-after < max(minGain, minGainPerGigabyte*scaledGigabytes*float64(moves)) {
		return nil
	}
	if _, ok := o.chooseSwitchStep(ranks, armDuration); !ok {
		return nil
	}
	version := o.nextVersion(ranks)
	o.Log.Emit(event.MapProposed, event.Fields{"service": o.Service, "version": version, "epoch": s.epoch, "skew": before, "expected": after, "moves": moves, "tokens": s.demand.Total(), "passMs": s.passDuration})
	if err := o.applyMap(ctx, ranks, version, next); err != nil {
		s.mapKnown = false
		return errors.Wrapf(err, "change to map version %d", version)
	}
	s.current = next
	return nil
}

// shapeOf returns the dimensions of a group without what only a plan needs.
func shapeOf(engine *config.Engine, ranks []*rank) placement.Shape {
	return placement.Shape{
		Layers: engine.Layers, Experts: engine.Experts, Ranks: len(ranks),
		SlotsPerRank: engine.SlotsPerRank, SpareSlots: engine.SpareSlots,
	}
}

// slowdowns returns the slowdown factor of each rank.
func slowdowns(ranks []*rank) []float64 {
	factors := make([]float64, len(ranks))
	for i, r := range ranks {
		factors[i] = r.report.Slowdown
	}
	return factors
}

// nextVersion returns a version that no rank has had. Reports do not include a
// version whose copy is incomplete, so versions are also offset by the term to keep
// those of different owners distinct.
func (o *Owner) nextVersion(ranks []*rank) int64 {
	version := max(o.state.version, o.term.Load()*versionsPerTerm) + 1
	for _, r := range ranks {
		version = max(version, r.report.Map+1, r.report.Prepared+1)
	}
	o.state.version = version
	return version
}

const megabytesPerGigabyte = 1000

// maxCopiesPerRank returns how many experts a change may copy to a rank.
func maxCopiesPerRank(e *config.Engine) int {
	copyMillis := e.CopyMillis()
	switch {
	case copyMillis <= 0:
		return minCopiesPerRank
	case copyMillis >= slowCopyMillis:
		return 1
	}
	return int(maxCopyMillis / copyMillis)
}

// applyMap switches all ranks to a new map.
func (o *Owner) applyMap(ctx context.Context, ranks []*rank, version int64, next placement.Map) error {
	o.state.changing = true
	defer func() { o.state.changing = false }()
	start := o.Clock.Now()
	order := group.Order{Op: int(group.Prepare), Version: version, Epoch: o.state.epoch, Map: next}
	if err := o.orderAll(ctx, ranks, order, orderTimeout); err != nil {
		return err
	}
	leadTime := max(armDuration, ordersBeforeRelease*(o.Clock.Now()-start))
	ranks, err := o.awaitPrepared(ctx, version)
	if err != nil {
		return err
	}
	preparedAt := o.Clock.Now()
	o.state.resolved = false // a failure before the release is resolved in the next cycle
	ranks, step, err := o.holdNextStep(ctx, ranks, leadTime)
	if err != nil {
		return err
	}
	if err := o.orderAll(ctx, ranks, group.Order{Op: int(group.Arm), Version: version, Step: step, Epoch: o.state.epoch}, switchOrderTimeout); err != nil {
		return err
	}
	ranks, err = o.checkArmed(ctx, version, step)
	if err != nil {
		return err
	}
	armedAt := o.Clock.Now()
	release := group.Order{Op: int(group.Release), Step: step, Epoch: o.state.epoch}
	if err := o.orderFirstRank(ctx, ranks, release); err != nil {
		return err
	}
	o.state.resolved = true
	o.state.switchStep = step
	o.Log.Emit(event.MapActivated, event.Fields{"service": o.Service, "version": version, "epoch": o.state.epoch, "step": step, "prepareMs": preparedAt - start, "armMs": armedAt - preparedAt, "aheadMs": leadTime})
	return nil
}

// holdNextStep makes the first rank hold a future pass, at least leadTime ahead, and
// returns the pass with the ranks. If the pass has already begun, it retries with a
// later one.
func (o *Owner) holdNextStep(ctx context.Context, ranks []*rank, leadTime clock.Millis) ([]*rank, int64, error) {
	term := o.term.Load()
	for attempt := 1; ; attempt++ {
		step, ok := o.chooseSwitchStep(ranks, leadTime)
		if !ok {
			return nil, 0, errors.Wrap(ErrRefused, "the group has begun too few passes since the last hold")
		}
		o.state.maxHeldStep = step
		err := o.orderFirstRank(ctx, ranks, group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch})
		if err == nil {
			return ranks, step, nil
		}
		if errors.Is(err, ErrNotOwner) || attempt == maxHoldAttempts {
			return nil, 0, err
		}
		latest, complete := o.queryAll(ctx, group.Call{Term: term}, callTimeout)
		switch {
		case !complete || latest[0].report.Epoch != o.state.epoch:
			return nil, 0, err
		case latest[0].report.HeldStep == step:
			return latest, step, nil // accepted, but the reply was lost
		case changePending(latest):
			return nil, 0, err
		}
		ranks, leadTime = latest, 2*leadTime
	}
}

// checkArmed returns the ranks once all of them report that they are armed. The
// outcomes of the orders are not sufficient: another process may have sent orders
// since.
func (o *Owner) checkArmed(ctx context.Context, version, step int64) ([]*rank, error) {
	ranks, err := o.pollRanks(ctx, 0, func(ranks []*rank) bool {
		armedVersion, armedStep, all := armedFor(ranks)
		return all && armedVersion == version && armedStep == step
	})
	return ranks, errors.Wrap(err, "not all ranks are armed")
}

// pollRanks queries the ranks until done returns true or timeout has elapsed. If a
// rank was called directly it waits for at least directCheckTimeout, since such
// reports may be a few hundred milliseconds old.
func (o *Owner) pollRanks(ctx context.Context, timeout clock.Millis, done func([]*rank) bool) ([]*rank, error) {
	term := o.term.Load()
	start := o.Clock.Now()
	for {
		ranks, complete := o.queryAll(ctx, group.Call{Term: term}, callTimeout)
		switch {
		case !complete || ranks[0].report.Epoch != o.state.epoch:
			return nil, errors.Wrap(ErrRefused, "the group is incomplete or in another epoch")
		case done(ranks):
			return ranks, nil
		}
		maxWait, interval := timeout, pollInterval
		if anyDirect(ranks) {
			maxWait, interval = max(timeout, directCheckTimeout), directPollInterval
		}
		if o.Clock.Now()-start > maxWait || !clock.Sleep(ctx, interval) {
			return nil, ErrRefused
		}
	}
}

// chooseSwitchStep returns a pass that the group is expected to begin after leadTime.
// No pass is held twice, since an earlier order to release it may still be in
// transit. A later owner relies on held passes being at most maxStepsAhead ahead; ok
// is false if there is no such pass.
func (o *Owner) chooseSwitchStep(ranks []*rank, leadTime clock.Millis) (step int64, ok bool) {
	passDuration := o.state.passDuration
	if passDuration <= 0 {
		passDuration = defaultPassDuration
	}
	last := confirmedStep(ranks) // a wrong pass far ahead would be waited for
	passes := min(max(minStepsAhead, int64(leadTime/passDuration)+1), maxStepsAhead)
	step = max(last+passes, o.state.maxHeldStep+1)
	return step, step <= last+maxStepsAhead
}

// awaitPrepared waits until all ranks have copied the experts of a version.
func (o *Owner) awaitPrepared(ctx context.Context, version int64) ([]*rank, error) {
	ranks, err := o.pollRanks(ctx, prepareTimeout, func(ranks []*rank) bool { return allPrepared(ranks, version) })
	if err != nil {
		return nil, errors.Wrap(err, "not all ranks have copied the experts")
	}
	o.Log.Emit(event.MapPrepared, event.Fields{"service": o.Service, "version": version})
	return ranks, nil
}

func allPrepared(ranks []*rank, version int64) bool {
	for _, r := range ranks {
		if r.report.Prepared != version {
			return false
		}
	}
	return true
}
