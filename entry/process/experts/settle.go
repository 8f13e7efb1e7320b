package experts

import (
	"context"

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
// earlier owner. If every rank is armed for the same pass the change is
// completed; otherwise it is taken back behind a hold.
func (o *Owner) settle(ctx context.Context, ranks []*rank) error {
	o.state.known = false
	began := o.Clock.Now()
	version, step, all := armedFor(ranks)
	o.Log.Emit(event.MapRecovered, event.Fields{"service": o.Service, "epoch": o.state.epoch, "version": version, "step": step, "complete": all})
	if !all && step != group.None {
		if err := o.takeBack(ctx, ranks, step, began); err != nil {
			return err
		}
	}
	return o.releaseAll(ctx, ranks, began)
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

// takeBack disarms all ranks while the pass is held. A rank that is not armed
// is held and later released instead, which makes an order void that an earlier
// owner sent there and that has had no answer.
func (o *Owner) takeBack(ctx context.Context, ranks []*rank, step int64, began clock.Millis) error {
	for _, r := range ranks {
		if r.report.HeldStep != group.None {
			continue
		}
		if err := o.orderAnyway(ctx, r.Member, group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch}, began); err != nil {
			return err
		}
		r.report.HeldStep = step
	}
	for _, r := range ranks {
		if r.report.ArmedVersion == group.None {
			continue
		}
		if err := o.orderAnyway(ctx, r.Member, group.Order{Op: int(group.Disarm), Version: r.report.ArmedVersion, Epoch: o.state.epoch}, began); err != nil {
			return err
		}
		r.report.ArmedVersion = group.None
	}
	return nil
}

// releaseAll ends all holds.
func (o *Owner) releaseAll(ctx context.Context, ranks []*rank, began clock.Millis) error {
	for _, r := range ranks {
		if r.report.HeldStep == group.None {
			continue
		}
		if err := o.orderAnyway(ctx, r.Member, group.Order{Op: int(group.Release), Step: r.report.HeldStep, Epoch: o.state.epoch}, began); err != nil {
			return err
		}
	}
	return nil
}

// orderAnyway gives an order through the agent, or to the rank itself when the
// agent does not answer.
func (o *Owner) orderAnyway(ctx context.Context, m Member, order group.Order, began clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	reply, err := o.Ranks.Call(ctx, m, call, agentTime)
	if err != nil && o.Clock.Now()-began < directTime {
		reply, err = o.Ranks.Direct(ctx, m, call, callTime)
	}
	return o.outcome(m, order, reply, err)
}
