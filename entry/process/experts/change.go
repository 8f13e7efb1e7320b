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
	prepareTime = 3 * clock.Second
	// preparePause is the time between two looks at the copies.
	preparePause clock.Millis = 40
	// directPreparePause is that pause when ranks are asked past their agents.
	directPreparePause clock.Millis = 150
	// armTime is the time that arming all ranks usually takes; the pass at which
	// they switch lies that far ahead.
	armTime clock.Millis = 60
	// versionsPerTerm is more than the changes of one owner.
	versionsPerTerm = 1 << 20
	// ordersPerSwitch is how many orders follow each other until the release, each
	// about as slow as that to prepare.
	ordersPerSwitch = 2
	// holdTries bounds how often a later pass is chosen because that to be held has
	// begun.
	holdTries = 4
	// checkTime bounds how long reports past agents, which are some hundred ms old,
	// are waited for.
	checkTime clock.Millis = 500
	// leastAhead and mostAhead bound the number of passes to the switch.
	leastAhead = 2
	mostAhead  = 8
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
		SlotsPerRank: engine.SlotsPerRank, SpareSlots: engine.SpareSlots, MaxCopies: mostCopies(engine), Pace: paces(ranks),
	}
	next := placement.Plan(shape, s.current, s.demand.Loads(), gainPerStep*gigabytes)
	before, after := shape.Skew(s.current, s.demand.Loads()), shape.Skew(next, s.demand.Loads())
	moves := s.current.Moves(next)
	if before-after < max(leastGain, gainPerMove*gigabytes*float64(moves)) {
		return nil
	}
	if _, ok := o.switchStep(ranks, armTime); !ok {
		return nil
	}
	version := o.nextVersion(ranks)
	o.Log.Emit(event.MapProposed, event.Fields{"service": o.Service, "version": version, "epoch": s.epoch, "skew": before, "expected": after, "moves": moves, "tokens": s.demand.Total(), "passMs": s.pass})
	if err := o.change(ctx, ranks, version, next); err != nil {
		s.known = false
		return errors.Wrapf(err, "version %d", version)
	}
	s.current = next
	return nil
}

// paces returns the pace of each rank.
func paces(ranks []*rank) []float64 {
	out := make([]float64, len(ranks))
	for i, r := range ranks {
		out[i] = r.report.Pace
	}
	return out
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

// mostCopies returns how many experts a change may bring to a rank.
func mostCopies(e *config.Engine) int {
	if e.CopyMillis() <= 0 {
		return fewestCopies
	}
	return max(fewestCopies, int(copyTime/e.CopyMillis()))
}

// change makes all ranks use a map.
func (o *Owner) change(ctx context.Context, ranks []*rank, version int64, next placement.Map) error {
	o.state.changing = true
	defer func() { o.state.changing = false }()
	began := o.Clock.Now()
	order := group.Order{Op: int(group.Prepare), Version: version, Epoch: o.state.epoch, Map: next}
	if err := o.orderAll(ctx, ranks, order, orderTime); err != nil {
		return err
	}
	ahead := max(armTime, ordersPerSwitch*(o.Clock.Now()-began))
	ranks, err := o.awaitPrepared(ctx, version)
	if err != nil {
		return err
	}
	prepared := o.Clock.Now()
	o.state.settled = false // until the release, the next cycle ends what fails here
	ranks, step, err := o.hold(ctx, ranks, ahead)
	if err != nil {
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
	release := group.Order{Op: int(group.Release), Step: step, Epoch: o.state.epoch}
	if err := o.orderFirst(ctx, ranks, release); err != nil {
		return err
	}
	o.state.settled = true
	o.state.switchAt = step
	o.Log.Emit(event.MapActivated, event.Fields{"service": o.Service, "version": version, "epoch": o.state.epoch, "step": step, "prepareMs": prepared - began, "armMs": armed - prepared, "aheadMs": ahead})
	return nil
}

// hold makes the first rank hold a pass to come, which lies the given time ahead,
// and returns the pass with the ranks. When the pass has begun in the meantime a
// later one is taken.
func (o *Owner) hold(ctx context.Context, ranks []*rank, ahead clock.Millis) ([]*rank, int64, error) {
	term := o.term.Load()
	for try := 1; ; try++ {
		step, ok := o.switchStep(ranks, ahead)
		if !ok {
			return nil, 0, errors.Wrap(ErrRefused, "the group makes too few passes")
		}
		o.state.heldUpTo = step
		err := o.orderFirst(ctx, ranks, group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch})
		if err == nil {
			return ranks, step, nil
		}
		if errors.Is(err, ErrNotOwner) || try == holdTries {
			return nil, 0, err
		}
		now, whole := o.all(ctx, group.Call{Term: term}, callTime)
		switch {
		case !whole || now[0].report.Epoch != o.state.epoch:
			return nil, 0, err
		case now[0].report.HeldStep == step:
			return now, step, nil // accepted, but the answer was lost
		case pending(now):
			return nil, 0, err
		}
		ranks, ahead = now, 2*ahead
	}
}

// checkArmed returns the ranks when all of them say that they are armed. The outcomes
// of the orders may be outdated: another process can have given orders since.
func (o *Owner) checkArmed(ctx context.Context, version, step int64) ([]*rank, error) {
	ranks, err := o.await(ctx, 0, func(ranks []*rank) bool {
		armedVersion, armedStep, all := armedFor(ranks)
		return all && armedVersion == version && armedStep == step
	})
	return ranks, errors.Wrap(err, "not all ranks are armed")
}

// await looks at the ranks until they are as they should be, for a time; reports
// past agents are waited for in any case, since they are some hundred ms old.
func (o *Owner) await(ctx context.Context, limit clock.Millis, reached func([]*rank) bool) ([]*rank, error) {
	term := o.term.Load()
	began := o.Clock.Now()
	for {
		ranks, whole := o.all(ctx, group.Call{Term: term}, callTime)
		switch {
		case !whole || ranks[0].report.Epoch != o.state.epoch:
			return nil, errors.Wrap(ErrRefused, "the group is no longer whole")
		case reached(ranks):
			return ranks, nil
		}
		most, pause := limit, preparePause
		if anyDirect(ranks) {
			most, pause = max(limit, checkTime), directPreparePause
		}
		if o.Clock.Now()-began > most || !clock.Sleep(ctx, pause) {
			return nil, ErrRefused
		}
	}
}

// switchStep returns a pass that the group begins after the given time. No pass is
// held twice: an order to release it may still be on its way. A later owner counts
// on passes that are held to lie at most mostAhead ahead; ok is false when there
// is none.
func (o *Owner) switchStep(ranks []*rank, ahead clock.Millis) (step int64, ok bool) {
	pass := o.state.pass
	if pass <= 0 {
		pass = defaultPass
	}
	last := lastStep(ranks)
	passes := min(max(leastAhead, int64(ahead/pass)+1), mostAhead)
	step = max(last+passes, o.state.heldUpTo+1)
	return step, step <= last+mostAhead
}

// awaitPrepared waits until all ranks hold the experts of a version.
func (o *Owner) awaitPrepared(ctx context.Context, version int64) ([]*rank, error) {
	ranks, err := o.await(ctx, prepareTime, func(ranks []*rank) bool { return havePrepared(ranks, version) })
	if err != nil {
		return nil, errors.Wrap(err, "experts were not copied")
	}
	o.Log.Emit(event.MapPrepared, event.Fields{"service": o.Service, "version": version})
	return ranks, nil
}

func havePrepared(ranks []*rank, version int64) bool {
	for _, r := range ranks {
		if r.report.Prepared != version {
			return false
		}
	}
	return true
}

// order gives an order to one rank through its agent, or to the rank itself when
// the agent was silent.
func (o *Owner) order(ctx context.Context, r *rank, order group.Order, limit clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	ask := o.Ranks.Call
	if r.direct {
		ask = o.Ranks.Direct
	}
	reply, err := ask(ctx, r.Member, call, limit)
	return o.outcome(r.Member, order, reply, err)
}

// outcome returns nil when an order was accepted.
func (o *Owner) outcome(m Member, order group.Order, reply *group.Reply, err error) error {
	what := event.Fields{"upstream": m.Upstream, "op": group.Op(order.Op).String(), "version": order.Version, "step": order.Step, "epoch": order.Epoch}
	if err != nil {
		o.count(order, group.Unknown)
		o.Log.Error(event.RankUnreached, err, what)
		return errors.Wrapf(ErrRefused, "%s: no answer from %s", group.Op(order.Op), m.Upstream)
	}
	o.count(order, group.Outcome(reply.Outcome))
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

func (o *Owner) count(order group.Order, outcome group.Outcome) {
	if o.Count != nil {
		o.Count(group.Op(order.Op), outcome)
	}
}

// orderFirst gives an order to the first rank without its agent. If the machine
// of the rank that holds a pass stopped, nobody could release it; if this process
// stops, the next owner can.
func (o *Owner) orderFirst(ctx context.Context, ranks []*rank, order group.Order) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	reply, err := o.Ranks.Direct(ctx, ranks[0].Member, call, callTime)
	return o.outcome(ranks[0].Member, order, reply, err)
}

// orderAll gives the same order to all ranks at once.
func (o *Owner) orderAll(ctx context.Context, ranks []*rank, order group.Order, limit clock.Millis) error {
	if !mostAgents(ranks) {
		return errors.Wrap(ErrRefused, "most agents do not answer")
	}
	return each(ranks, func(r *rank) error { return o.order(ctx, r, order, limit) })
}
