package experts

import (
	"context"
	"sync"

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
	// leastGain is the part of the skew that a change must take away.
	leastGain = 0.05
	// gainPerMove is what each copied gigabyte must take off the skew on average,
	// times the ranks: its price is the same in a large group, and more gains by it.
	gainPerMove = 0.0082
	// gainPerStep is the part of the cost of a layer that a step of a plan must
	// take off for each copied gigabyte, times the ranks; the cost grows with the
	// eighth power of the load.
	gainPerStep = 1.36
	// copyTime is how long the copies of a change may take at a rank; fewer serve
	// sooner.
	copyTime = 300.0
	// fewestCopies is the number of copies at a rank whatever they take.
	fewestCopies = 2
	// prepareTime bounds the copying of experts.
	prepareTime = 8 * clock.Second
	// preparePause is the time between two looks at the copies.
	preparePause clock.Millis = 40
	// armTime is the time that arming all ranks usually takes; the pass at which
	// they switch lies that far ahead.
	armTime clock.Millis = 60
	// leastAhead is the least number of passes to the switch.
	leastAhead = 2
	// defaultPass is the length of a pass before it is known.
	defaultPass clock.Millis = 60
)

// improve changes the map if another one divides the demand more evenly.
func (o *Owner) improve(ctx context.Context, ranks []*rank, engine *config.Engine) error {
	s := &o.state
	if s.demand.Total() < leastTokens {
		return nil
	}
	gigabytes := engine.ExpertMB / megabytesPerGigabyte / float64(len(ranks))
	shape := placement.Shape{
		Layers: engine.Layers, Experts: engine.Experts, Ranks: len(ranks),
		SlotsPerRank: engine.SlotsPerRank, SpareSlots: engine.SpareSlots, MaxCopies: mostCopies(engine),
	}
	next := placement.Plan(shape, s.current, s.demand.Loads(), gainPerStep*gigabytes)
	before, after := placement.Skew(s.current, s.demand.Loads()), placement.Skew(next, s.demand.Loads())
	moves := s.current.Moves(next)
	if before-after < max(leastGain, gainPerMove*gigabytes*float64(moves)) {
		return nil
	}
	version := s.version + 1
	for _, r := range ranks {
		version = max(version, r.report.Map+1, r.report.Prepared+1)
	}
	s.version = version
	o.Log.Emit(event.MapProposed, event.Fields{"service": o.Service, "version": version, "epoch": s.epoch, "skew": before, "expected": after, "moves": moves, "tokens": s.demand.Total(), "passMs": s.pass})
	if err := o.change(ctx, ranks, version, next); err != nil {
		s.known = false
		return errors.Wrapf(err, "version %d", version)
	}
	s.current = next
	return nil
}

const megabytesPerGigabyte = 1000

// mostCopies returns how many experts a change may bring to a rank.
func mostCopies(e *config.Engine) int {
	if e.CopyMillis() <= 0 {
		return fewestCopies
	}
	return max(fewestCopies, int(copyTime/e.CopyMillis()))
}

// change makes all ranks use a map.
func (o *Owner) change(ctx context.Context, ranks []*rank, version int64, next placement.Map) error {
	began := o.Clock.Now()
	order := group.Order{Op: int(group.Prepare), Version: version, Epoch: o.state.epoch, Map: next}
	if err := o.orderAll(ctx, ranks, order, orderTime); err != nil {
		return err
	}
	ranks, err := o.awaitPrepared(ctx, version)
	if err != nil {
		return err
	}
	prepared := o.Clock.Now()
	step := o.switchStep(ranks)
	o.state.settled = false // until the release, the next cycle ends what fails here
	hold := group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch, Expected: ranks[0].report.Sequence}
	if err := o.orderFirst(ctx, ranks, hold); err != nil {
		return err
	}
	if err := o.orderAll(ctx, ranks, group.Order{Op: int(group.Arm), Version: version, Step: step, Epoch: o.state.epoch}, switchTime); err != nil {
		return err
	}
	ranks, err = o.checkArmed(ctx, version, step)
	if err != nil {
		return err
	}
	armed := o.Clock.Now()
	release := group.Order{Op: int(group.Release), Step: step, Epoch: o.state.epoch, Expected: ranks[0].report.Sequence}
	if err := o.orderFirst(ctx, ranks, release); err != nil {
		return err
	}
	o.state.settled = true
	o.state.switchAt = step
	o.Log.Emit(event.MapActivated, event.Fields{"service": o.Service, "version": version, "epoch": o.state.epoch, "step": step, "prepareMs": prepared - began, "armMs": armed - prepared})
	return nil
}

// checkArmed returns the ranks when all of them say that they are armed. The outcomes
// of the orders may be outdated: another process can have given orders since.
func (o *Owner) checkArmed(ctx context.Context, version, step int64) ([]*rank, error) {
	term := o.term.Load()
	ranks, whole := o.all(ctx, func(Member) *group.Call { return &group.Call{Term: term} }, callTime)
	armedVersion, armedStep, all := armedFor(ranks)
	if !whole || !all || armedVersion != version || armedStep != step {
		return nil, errors.Wrap(ErrRefused, "not all ranks are armed")
	}
	return ranks, nil
}

// switchStep returns a pass that the group begins after all ranks are armed.
func (o *Owner) switchStep(ranks []*rank) int64 {
	last := int64(0)
	for _, r := range ranks {
		last = max(last, r.report.Step)
	}
	pass := o.state.pass
	if pass <= 0 {
		pass = defaultPass
	}
	return last + max(leastAhead, int64(armTime/pass)+1)
}

// awaitPrepared waits until all ranks hold the experts of a version.
func (o *Owner) awaitPrepared(ctx context.Context, version int64) ([]*rank, error) {
	end := o.Clock.Now() + prepareTime
	term := o.term.Load()
	for o.Clock.Now() < end {
		ranks, whole := o.all(ctx, func(Member) *group.Call { return &group.Call{Term: term} }, callTime)
		if !whole || ranks[0].report.Epoch != o.state.epoch {
			return nil, errors.Wrap(ErrRefused, "group changed while experts were copied")
		}
		if havePrepared(ranks, version) {
			o.Log.Emit(event.MapPrepared, event.Fields{"service": o.Service, "version": version})
			return ranks, nil
		}
		if !clock.Sleep(ctx, preparePause) {
			break
		}
	}
	return nil, errors.Wrap(ErrRefused, "experts were not copied in time")
}

func havePrepared(ranks []*rank, version int64) bool {
	for _, r := range ranks {
		if r.report.Prepared != version {
			return false
		}
	}
	return true
}

// order gives an order to one rank through its agent.
func (o *Owner) order(ctx context.Context, m Member, order group.Order, limit clock.Millis) error {
	reply, err := o.Ranks.Call(ctx, m, &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}, limit)
	return o.outcome(m, order, reply, err)
}

// outcome returns nil when an order was accepted.
func (o *Owner) outcome(m Member, order group.Order, reply *group.Reply, err error) error {
	what := event.Fields{"upstream": m.Upstream, "op": group.Op(order.Op).String(), "version": order.Version, "step": order.Step, "epoch": order.Epoch}
	if err != nil {
		o.Log.Error(event.RankUnreached, err, what)
		return errors.Wrapf(ErrRefused, "%s: no answer from %s", group.Op(order.Op), m.Upstream)
	}
	switch group.Outcome(reply.Outcome) {
	case group.Accepted:
		return nil
	case group.Fenced:
		o.term.Store(0)
		return errors.Wrapf(ErrNotOwner, "%s at %s", group.Op(order.Op), m.Upstream)
	case group.Refused, group.Unknown:
	}
	what["outcome"] = reply.Outcome
	o.Log.Emit(event.OrderRefused, what)
	return errors.Wrapf(ErrRefused, "%s at %s", group.Op(order.Op), m.Upstream)
}

// orderFirst gives an order to the first rank without its agent. If the machine
// of the rank that holds a pass stopped, nobody could release it; if this process
// stops, the next owner can.
func (o *Owner) orderFirst(ctx context.Context, ranks []*rank, order group.Order) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order, NoReport: true}
	reply, err := o.Ranks.Direct(ctx, ranks[0].Member, call, callTime)
	return o.outcome(ranks[0].Member, order, reply, err)
}

// orderAll gives the same order to all ranks at once.
func (o *Owner) orderAll(ctx context.Context, ranks []*rank, order group.Order, limit clock.Millis) error {
	failed := make([]error, len(ranks))
	var running sync.WaitGroup
	for i, r := range ranks {
		running.Go(func() { failed[i] = o.order(ctx, r.Member, order, limit) })
	}
	running.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}
