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

// resolveChange completes or rolls back a pending change of this process or an
// earlier owner. It completes the change if every rank is armed for the same pass and
// at most one rank holds a pass: holds on more ranks show that a rollback was in
// progress. Otherwise it rolls the change back while the pass is held.
func (o *Owner) resolveChange(ctx context.Context, ranks []*rank, engine *config.Engine) error {
	observedAt := o.Clock.Now()
	version, step, all := armedFor(ranks)
	if step != group.None && step <= latestStep(ranks) {
		return nil // outdated report; the ranks have already switched
	}
	complete := all && countHolding(ranks) <= 1
	o.Log.Emit(event.MapRecovered, event.Fields{"service": o.Service, "epoch": o.state.epoch, "version": version, "step": step, "complete": complete})
	if complete {
		o.state.mapKnown = false
		return o.releaseAll(ctx, ranks, observedAt)
	}
	if step == group.None {
		step = earliestHeldStep(ranks) // orders to arm may still be in transit
	}
	return o.rollBack(ctx, ranks, engine, step, observedAt)
}

// earliestHeldStep returns the earliest pass that any rank holds.
func earliestHeldStep(ranks []*rank) int64 {
	step := int64(group.None)
	for _, r := range ranks {
		held := r.report.HeldStep
		if held != group.None && (step == group.None || held < step) {
			step = held
		}
	}
	return step
}

// armedFor returns the earliest pass for which any rank is armed, the version of the
// first armed rank, and whether all ranks are armed for the same pass and version.
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

// rollBack holds the pass on all ranks, disarms them, and makes them prepare a newer
// version of the current map, after which they refuse late orders to arm. No rank is
// disarmed before all hold the pass, and none is released before all have prepared.
func (o *Owner) rollBack(ctx context.Context, ranks []*rank, engine *config.Engine, step int64, observedAt clock.Millis) error {
	current, ok := o.mapForRollback(ranks, engine)
	if !ok {
		return nil // retried in the next cycle
	}
	o.state.mapKnown = false
	if err := forEachRank(ranks, func(r *rank) error { return o.holdRank(ctx, r, step, observedAt) }); err != nil {
		return err
	}
	if err := forEachRank(ranks, func(r *rank) error { return o.disarm(ctx, r, observedAt) }); err != nil {
		return err
	}
	superseding := group.Order{Op: int(group.Prepare), Version: o.nextVersion(ranks), Epoch: o.state.epoch, Map: current}
	if err := forEachRank(ranks, func(r *rank) error { return o.forceOrder(ctx, r, superseding, observedAt) }); err != nil {
		return err
	}
	ranks, err := o.pollRanks(ctx, directCheckTimeout, func(ranks []*rank) bool { return rolledBack(ranks, superseding.Version) })
	if err != nil {
		return errors.Wrap(err, "not all ranks have rolled back the change")
	}
	return o.releaseAll(ctx, ranks, observedAt)
}

// mapForRollback returns the map that ranks prepare to supersede a change. No rank switches to
// it, so that one that is likely the map in use will do while their lists of experts are not a
// map: the group waits. Ranks refuse what they can't prepare; another candidate is tried then.
func (o *Owner) mapForRollback(ranks []*rank, engine *config.Engine) (placement.Map, bool) {
	if o.state.mapKnown {
		return o.state.current, true
	}
	if !haveLists(ranks) {
		return nil, false
	}
	if m, err := o.readMap(ranks, engine); err == nil {
		return m, true
	}
	candidates := shapeOf(engine, ranks).Candidates(listsOf(ranks))
	if len(candidates) == 0 {
		return nil, false
	}
	candidate := candidates[o.state.rollbacksWithoutMap%len(candidates)]
	o.state.rollbacksWithoutMap++
	return candidate, true
}

// rolledBack reports whether no rank is armed or can still be armed for a version
// before the given one.
func rolledBack(ranks []*rank, version int64) bool {
	for _, r := range ranks {
		if r.report.ArmedVersion != group.None || r.report.Prepared < version {
			return false
		}
	}
	return true
}

// holdRank makes a rank hold a pass unless it already holds one.
func (o *Owner) holdRank(ctx context.Context, r *rank, step int64, observedAt clock.Millis) error {
	if r.report.HeldStep != group.None {
		return nil
	}
	err := o.forceOrder(ctx, r, group.Order{Op: int(group.Hold), Step: step, Epoch: o.state.epoch}, observedAt)
	if err == nil {
		r.report.HeldStep = step
	}
	return err
}

// disarm disarms a rank if it is armed.
func (o *Owner) disarm(ctx context.Context, r *rank, observedAt clock.Millis) error {
	if r.report.ArmedVersion == group.None {
		return nil
	}
	err := o.forceOrder(ctx, r, group.Order{Op: int(group.Disarm), Version: r.report.ArmedVersion, Epoch: o.state.epoch}, observedAt)
	if err == nil {
		r.report.ArmedVersion = group.None
	}
	return err
}

// releaseAll releases the holds of all ranks.
func (o *Owner) releaseAll(ctx context.Context, ranks []*rank, observedAt clock.Millis) error {
	return forEachRank(ranks, func(r *rank) error {
		if r.report.HeldStep == group.None {
			return nil
		}
		return o.forceOrder(ctx, r, group.Order{Op: int(group.Release), Step: r.report.HeldStep, Epoch: o.state.epoch}, observedAt)
	})
}
