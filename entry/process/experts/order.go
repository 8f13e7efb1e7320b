package experts

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/supervise"
	"goldcrestshore/core/version/group"
)

// ErrRefused means that a change failed because a rank did not accept an order or
// did not reach the expected state.
var ErrRefused = errors.New("rank did not accept an order")

// maxDirectOrderAge bounds how long after querying the ranks an order may still be
// sent directly, since only agents refuse orders of an owner that was paused and
// replaced.
const maxDirectOrderAge clock.Millis = 800

// agentOrderTimeout bounds an order through an agent before it is sent directly to
// the rank. It is short because the whole group waits.
const agentOrderTimeout clock.Millis = 350

// order sends an order to a rank through its agent, or directly if the agent was
// unresponsive.
func (o *Owner) order(ctx context.Context, r *rank, order group.Order, timeout clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	send := o.Ranks.Call
	if r.direct {
		send = o.Ranks.CallDirect
	}
	reply, err := send(ctx, r.Member, call, timeout)
	return o.checkOutcome(r.Member, order, reply, err)
}

// checkOutcome returns nil if an order was accepted. It ends the ownership of
// this process if the order was fenced.
func (o *Owner) checkOutcome(m Member, order group.Order, reply *group.Reply, err error) error {
	fields := event.Fields{"upstream": m.Upstream, "op": group.Op(order.Op).String(), "version": order.Version, "step": order.Step, "epoch": order.Epoch}
	if err != nil {
		o.countOrder(order, group.Unknown)
		o.Log.Error(event.RankUnreachable, err, fields)
		return errors.Wrapf(ErrRefused, "%s: no reply from %s", group.Op(order.Op), m.Upstream)
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

// orderFirstRank sends an order directly to the first rank, bypassing its agent. If
// the instance of the rank that holds a pass stopped, nobody could release the hold;
// if this process stops, the next owner can.
func (o *Owner) orderFirstRank(ctx context.Context, ranks []*rank, order group.Order) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	reply, err := o.Ranks.CallDirect(ctx, ranks[0].Member, call, callTimeout)
	return o.checkOutcome(ranks[0].Member, order, reply, err)
}

// orderAll sends the same order to all ranks concurrently. It fails unless most
// ranks were reached through their agents.
func (o *Owner) orderAll(ctx context.Context, ranks []*rank, order group.Order, timeout clock.Millis) error {
	if !mostViaAgents(ranks) {
		return errors.Wrap(ErrRefused, "at least half of the agents are unresponsive")
	}
	return forEachRank(ranks, func(r *rank) error { return o.order(ctx, r, order, timeout) })
}

// forEachRank calls f concurrently for all ranks and returns the first error in rank
// order.
func forEachRank(ranks []*rank, f func(r *rank) error) error {
	errs := make([]error, len(ranks))
	supervise.Each(len(ranks), func(i int) { errs[i] = f(ranks[i]) })
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// forceOrder sends an order through the agent, or directly to the rank if the agent
// is unresponsive and the ranks were queried less than maxDirectOrderAge ago.
func (o *Owner) forceOrder(ctx context.Context, r *rank, order group.Order, observedAt clock.Millis) error {
	call := &group.Call{Term: o.term.Load(), HasOrder: true, Order: order}
	if !r.direct {
		reply, err := o.Ranks.Call(ctx, r.Member, call, agentOrderTimeout)
		if err == nil {
			return o.checkOutcome(r.Member, order, reply, err)
		}
	}
	if o.Clock.Now()-observedAt > maxDirectOrderAge {
		return errors.Wrapf(ErrRefused, "%s: agent of %s is unresponsive and the report of the rank is too old", group.Op(order.Op), r.Upstream)
	}
	reply, err := o.Ranks.CallDirect(ctx, r.Member, call, callTimeout)
	return o.checkOutcome(r.Member, order, reply, err)
}
