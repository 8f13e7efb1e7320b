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

// ErrRefused means that a rank did not accept an order of a change.
var ErrRefused = errors.New("rank did not accept an order")

const (
	// minGain is the part of the skew that a change must take away.
	minGain = 0.05
	// minGainPerGigabyte is what each copied gigabyte must take off the skew on average,
	// times the ranks: its price is the same in a large group, and more gains by it.
	minGainPerGigabyte = 0.0082
	// minStepGainPerGigabyte is the part of the cost of a layer that a step of a plan must
	// take off for each copied gigabyte, times the ranks; the cost grows with the
	// eighth power of the load.
	minStepGainPerGigabyte = 1.36
	// maxCopyMillis is how long the copies of a change may take at a rank; fewer serve
	// sooner.
	maxCopyMillis = 300.0
	// minCopiesPerRank is the number of copies at a rank whatever they take.
	minCopiesPerRank = 2
	// prepareTimeout bounds the copying of experts.
	prepareTimeout = 3 * clock.Second
	// pollInterval is the time between two looks at the copies.
	pollInterval clock.Millis = 40
	// directPollInterval is that pause when ranks are asked past their agents.
	directPollInterval clock.Millis = 150
	// armDuration is the time that arming all ranks usually takes; the pass at which
	// they switch lies that far ahead.
	armDuration clock.Millis = 60
	// versionsPerTerm is more than the changes of one owner.
	versionsPerTerm = 1 << 20
	// ordersBeforeRelease is how many orders follow each other until the release, each
	// about as slow as that to prepare.
	ordersBeforeRelease = 2
	// maxHoldAttempts bounds how often a later pass is chosen because that to be held has
	// begun.
	maxHoldAttempts = 4
	// directCheckTimeout bounds how long reports past agents, which are some hundred ms old,
	// are waited for.
	directCheckTimeout clock.Millis = 500
	// minStepsAhead and mostAhead bound the number of passes to the switch.
	minStepsAhead = 2
	maxStepsAhead = 8
	// defaultPassDuration is the length of a pass before it is known.
	defaultPassDuration clock.Millis = 60
)

// rebalance changes the map if another one divides the demand more evenly.
func (o *Owner) rebalance(ctx context.Context, ranks []*rank, engine *config.Engine) error {
	s := &o.state
	if s.demand.Total() < minPlanTokens {
		return nil
	}
	scaledGigabytes := engine.ExpertMB / megabytesPerGigabyte / float64(len(ranks))
	shape := placement.Shape{
		Layers: engine.Layers, Experts: engine.Experts, Ranks: len(ranks),
		SlotsPerRank: engine.SlotsPerRank, SpareSlots: engine.SpareSlots, MaxCopies: maxCopiesPerRank(engine), Pace: slowdowns(ranks),
	}
	next := placement.Plan(shape, s.current, s.demand.Loads(), minStepGainPerGigabyte*scaledGigabytes)
	before, after := shape.Skew(s.current, s.demand.Loads()), shape.Skew(next, s.demand.Loads())
	moves := s.current.Moves(next)
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
		return errors.Wrapf(err, "version %d", version)
	}
	s.current = next
	return nil
}

// slowdowns returns the pace of each rank.
func slowdowns(ranks []*rank) []float64 {
	factors := make([]float64, len(ranks))
	for i, r := range ranks {
		factors[i] = r.report.Pace
	}
	return factors
}

// nextVersion returns a version that no rank has had. A copy that is not complete
// does not show, so that terms keep the versions of two owners apart.
func (o *Owner) nextVersion(ranks []*rank) int64 {
	version := max(o.state.version, o.term.Load()*versionsPerTerm) + 1
	for _, r := range ranks {
		version = max(version, r.report.Map+1, r.report.Prepared+1)
	}
	o.state.version = version
	return version
}

const megabytesPerGigabyte = 1000

// maxCopiesPerRank returns how many experts a change may bring to a rank.
func maxCopiesPerRank(e *config.Engine) int {
	if e.CopyMillis() <= 0 {
		return minCopiesPerRank
	}
	return max(minCopiesPerRank, int(maxCopyMillis/e.CopyMillis()))
}

// applyMap makes all ranks use a map.
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
	o.state.resolved = false // until the release, the next cycle ends what fails here
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

// holdNextStep makes the first rank holdNextStep a pass to come, which lies the given time ahead,
// and returns the pass with the ranks. When the pass has begun in the meantime a
// later one is taken.
func (o *Owner) holdNextStep(ctx context.Context, ranks []*rank, leadTime clock.Millis) ([]*rank, int64, error) {
	term := o.term.Load()
	for attempt := 1; ; attempt++ {
		step, ok := o.chooseSwitchStep(ranks, leadTime)
		if !ok {
			return nil, 0, errors.Wrap(ErrRefused, "the group makes too few passes")
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
			return latest, step, nil // accepted, but the answer was lost
		case changePending(latest):
			return nil, 0, err
		}
		ranks, leadTime = latest, 2*leadTime
	}
}

// checkArmed returns the ranks when all of them say that they are armed. The outcomes
// of the orders may be outdated: another process can have given orders since.
func (o *Owner) checkArmed(ctx context.Context, version, step int64) ([]*rank, error) {
	ranks, err := o.pollRanks(ctx, 0, func(ranks []*rank) bool {
		armedVersion, armedStep, all := armedFor(ranks)
		return all && armedVersion == version && armedStep == step
	})
	return ranks, errors.Wrap(err, "not all ranks are armed")
}

// pollRanks looks at the ranks until they are as they should be, for a time; reports
// past agents are waited for in any case, since they are some hundred ms old.
func (o *Owner) pollRanks(ctx context.Context, timeout clock.Millis, done func([]*rank) bool) ([]*rank, error) {
	term := o.term.Load()
	start := o.Clock.Now()
	for {
		ranks, complete := o.queryAll(ctx, group.Call{Term: term}, callTimeout)
		switch {
		case !complete || ranks[0].report.Epoch != o.state.epoch:
			return nil, errors.Wrap(ErrRefused, "the group is no longer whole")
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

// chooseSwitchStep returns a pass that the group begins after the given time. No pass is
// held twice: an order to release it may still be on its way. A later owner counts
// on passes that are held to lie at most mostAhead ahead; ok is false when there
// is none.
func (o *Owner) chooseSwitchStep(ranks []*rank, leadTime clock.Millis) (step int64, ok bool) {
	passDuration := o.state.passDuration
	if passDuration <= 0 {
		passDuration = defaultPassDuration
	}
	last := latestStep(ranks)
	passes := min(max(minStepsAhead, int64(leadTime/passDuration)+1), maxStepsAhead)
	step = max(last+passes, o.state.maxHeldStep+1)
	return step, step <= last+maxStepsAhead
}

// awaitPrepared waits until all ranks hold the experts of a version.
func (o *Owner) awaitPrepared(ctx context.Context, version int64) ([]*rank, error) {
	ranks, err := o.pollRanks(ctx, prepareTimeout, func(ranks []*rank) bool { return allPrepared(ranks, version) })
	if err != nil {
		return nil, errors.Wrap(err, "experts were not copied")
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

// order gives an order to one rank through its agent, or to the rank itself when
// the agent was silent.
func (o *Owner) order(ctx context.Context, r *rank, order group.Order, timeout clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	send := o.Ranks.Call
	if r.direct {
		send = o.Ranks.CallDirect
	}
	reply, err := send(ctx, r.Member, call, timeout)
	return o.checkOutcome(r.Member, order, reply, err)
}

// checkOutcome returns nil when an order was accepted.
func (o *Owner) checkOutcome(m Member, order group.Order, reply *group.Reply, err error) error {
	fields := event.Fields{"upstream": m.Upstream, "op": group.Op(order.Op).String(), "version": order.Version, "step": order.Step, "epoch": order.Epoch}
	if err != nil {
		o.countOrder(order, group.Unknown)
		o.Log.Error(event.RankUnreached, err, fields)
		return errors.Wrapf(ErrRefused, "%s: no answer from %s", group.Op(order.Op), m.Upstream)
	}
	o.countOrder(order, group.Outcome(reply.Outcome))
	switch group.Outcome(reply.Outcome) {
	case group.Accepted:
		return nil
	case group.Fenced:
		o.term.Store(0)
		return errors.Wrapf(ErrNotOwner, "%s at %s", group.Op(order.Op), m.Upstream)
	case group.Refused, group.Unknown:
	}
	fields["outcome"] = reply.Outcome
	o.Log.Emit(event.OrderRefused, fields)
	return errors.Wrapf(ErrRefused, "%s at %s", group.Op(order.Op), m.Upstream)
}

func (o *Owner) countOrder(order group.Order, outcome group.Outcome) {
	if o.CountOrder != nil {
		o.CountOrder(group.Op(order.Op), outcome)
	}
}

// orderFirstRank gives an order to the first rank without its agent. If the machine
// of the rank that holds a pass stopped, nobody could release it; if this process
// stops, the next owner can.
func (o *Owner) orderFirstRank(ctx context.Context, ranks []*rank, order group.Order) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	reply, err := o.Ranks.CallDirect(ctx, ranks[0].Member, call, callTimeout)
	return o.checkOutcome(ranks[0].Member, order, reply, err)
}

// orderAll gives the same order to all ranks at once.
func (o *Owner) orderAll(ctx context.Context, ranks []*rank, order group.Order, timeout clock.Millis) error {
	if !mostViaAgents(ranks) {
		return errors.Wrap(ErrRefused, "most agents do not answer")
	}
	return forEachRank(ranks, func(r *rank) error { return o.order(ctx, r, order, timeout) })
}
