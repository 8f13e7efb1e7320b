package experts

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// directTime bounds how long after the look at the ranks an order is still
// given past an agent, since only agents refuse the orders of an owner that
// stood still and was replaced.
const directTime clock.Millis = 800

// agentTime is how long an agent may take for an order before the rank itself is
// given it: the whole group waits.
const agentTime clock.Millis = 350

// settle ends a change that was begun and not ended, by this process or by an
// earlier owner. If every rank is armed for the same pass and at most one holds it
// the change is completed: holds on more ranks show that it was being taken back.
// Otherwise it is taken back behind a hold.
func (o *Owner) settle(ctx context.Context, ranks []*rank) error {
	began := o.Clock.Now()
	version, step, all := armedFor(ranks)
	if step != group.None && step <= lastStep(ranks) {
		return nil // an old report; the switch has been made
	}
	complete := all && holders(ranks) <= 1
	o.Log.Emit(event.MapRecovered, event.Fields{"service": o.Service, "epoch": o.state.epoch, "version": version, "step": step, "complete": complete})
	if complete {
		o.state.known = false
		return o.releaseAll(ctx, ranks, began)
	}
	if step == group.None {
		step = earliestHeld(ranks) // orders to arm may still be on their way
	}
	return o.takeBack(ctx, ranks, step, began)
}

// earliestHeld returns the first pass that a rank holds.
func earliestHeld(ranks []*rank) int64 {
	step := int64(group.None)
	for _, r := range ranks {
		held := r.report.HeldStep
		if held != group.None && (step == group.None || held < step) {
			step = held
		}
	}
	return step
}

// armedFor returns the earliest pass for which a rank is armed, its version,
// and whether all ranks are armed for the same.
func armedFor(ranks []*rank) (version, step int64, all bool) {
	version, step, all = group.None, group.None, true
	for _, r := range ranks {
		switch {
		case r == nil || r.report.ArmedVersion == group.None:
			all = false
		case step == group.None:
			version, step = r.report.ArmedVersion, r.report.ArmedStep
		case r.report.ArmedStep != step || r.report.ArmedVersion != version:
			all = false
			step = min(step, r.report.ArmedStep)
		}
	}
	return version, step, all && step != group.None
}

// takeBack holds the pass on all ranks, disarms them, and has them prepare a newer
// version with the map in use, after which late orders to arm are refused. No rank
// is disarmed before all are held, and none is released before all have prepared.
func (o *Owner) takeBack(ctx context.Context, ranks []*rank, step int64, began clock.Millis) error {
	if err := o.learnMap(ranks); err != nil || !o.state.known {
		return err
	}
	current := o.state.current
	o.state.known = false
	if err := each(ranks, func(r *rank) error { return o.holdAt(ctx, r, step, began) }); err != nil {
		return err
	}
	if err := each(ranks, func(r *rank) error { return o.disarm(ctx, r, began) }); err != nil {
		return err
	}
	void := group.Order{Op: int(group.Prepare), Version: o.nextVersion(ranks), Epoch: o.state.epoch, Map: current}
	if err := each(ranks, func(r *rank) error { return o.orderAnyway(ctx, r, void, began) }); err != nil {
		return err
	}
	ranks, err := o.await(ctx, checkTime, func(ranks []*rank) bool { return takenBack(ranks, void.Version) })
	if err != nil {
		return errors.Wrap(err, "not all ranks have taken the change back")
	}
	return o.releaseAll(ctx, ranks, began)
}

// takenBack tells whether no rank is armed or can be armed for a version before
// the given one.
func takenBack(ranks []*rank, version int64) bool {
	for _, r := range ranks {
		if r.report.ArmedVersion != group.None || r.report.Prepared < version {
			return false
		}
	}
	return true
}

// holdAt makes a rank hold a pass unless it holds one.
func (o *Owner) holdAt(ctx context.Context, r *rank, step int64, began clock.Millis) error {
	if r.report.HeldStep != group.None {
		return nil
	}
	err := o.orderAnyway(ctx, r, group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch}, began)
	if err == nil {
		r.report.HeldStep = step
	}
	return err
}

// disarm makes a rank that is armed forget it.
func (o *Owner) disarm(ctx context.Context, r *rank, began clock.Millis) error {
	if r.report.ArmedVersion == group.None {
		return nil
	}
	err := o.orderAnyway(ctx, r, group.Order{Op: int(group.Disarm), Version: r.report.ArmedVersion, Epoch: o.state.epoch}, began)
	if err == nil {
		r.report.ArmedVersion = group.None
	}
	return err
}

// releaseAll ends all holds.
func (o *Owner) releaseAll(ctx context.Context, ranks []*rank, began clock.Millis) error {
	return each(ranks, func(r *rank) error {
		if r.report.HeldStep == group.None {
			return nil
		}
		return o.orderAnyway(ctx, r, group.Order{Op: int(group.Release), Step: r.report.HeldStep, Epoch: o.state.epoch}, began)
	})
}

// each calls f for all ranks at once and returns the first error in their order.
func each(ranks []*rank, f func(r *rank) error) error {
	failed := make([]error, len(ranks))
	var running sync.WaitGroup
	for i, r := range ranks {
		running.Go(func() { failed[i] = f(r) })
	}
	running.Wait()
	for _, err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// orderAnyway gives an order through the agent, or to the rank itself when the
// agent does not answer.
func (o *Owner) orderAnyway(ctx context.Context, r *rank, order group.Order, began clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	if !r.direct {
		reply, err := o.Ranks.Call(ctx, r.Member, call, agentTime)
		if err == nil {
			return o.outcome(r.Member, order, reply, err)
		}
	}
	if o.Clock.Now()-began > directTime {
		return errors.Wrapf(ErrRefused, "%s: agent of %s is silent and the look at the rank too old", group.Op(order.Op), r.Upstream)
	}
	reply, err := o.Ranks.Direct(ctx, r.Member, call, callTime)
	return o.outcome(r.Member, order, reply, err)
}
