package experts

import (
	"context"
	"slices"
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
)

// rank is a member with its latest report.
type rank struct {
	Member
	report group.Report
	reply  *group.Reply
	// direct is set when the rank was asked past its agent; its report may be some
	// hundred ms old then.
	direct bool
}

// queryAll asks every member and returns the replies in the order of ranks, with
// whether the whole group has answered in one epoch. Ranks whose agents do not
// answer are asked themselves, if most agents do: a process that is cut off from
// most of them may have been replaced without noticing.
func (o *Owner) queryAll(ctx context.Context, call group.Call, timeout clock.Millis) ([]*rank, bool) {
	members := o.Members()
	replies := o.callAgents(ctx, members, call, timeout)
	var responding []*rank
	var unresponsive []Member
	for i, reply := range replies {
		switch {
		case reply.rank != nil:
			responding = append(responding, reply.rank)
		case reply.unresponsive:
			unresponsive = append(unresponsive, members[i])
		}
	}
	ranks, complete := arrangeByRank(responding)
	if complete || len(unresponsive) == 0 || !o.mayCallDirectly(len(unresponsive), len(members), changePending(ranks)) {
		return ranks, complete
	}
	return arrangeByRank(append(responding, o.callDirectly(ctx, unresponsive, call, timeout)...))
}

// agentReply is what came back from an agent.
type agentReply struct {
	rank *rank
	// unresponsive is set when the agent itself did not answer.
	unresponsive bool
}

// callAgents calls the agents of all members at once, but for those that have
// just been silent.
func (o *Owner) callAgents(ctx context.Context, members []Member, call group.Call, timeout clock.Millis) []agentReply {
	replies := make([]agentReply, len(members))
	now := o.Clock.Now()
	var wg sync.WaitGroup
	for i, m := range members {
		if now < o.unresponsive[m.Upstream] {
			replies[i].unresponsive = true
			continue
		}
		wg.Go(func() { replies[i] = o.callAgent(ctx, m, call, timeout) })
	}
	wg.Wait()
	for i, m := range members {
		switch {
		case !replies[i].unresponsive:
			delete(o.unresponsive, m.Upstream)
		case now >= o.unresponsive[m.Upstream]:
			o.skipAgent(m)
		}
	}
	return replies
}

// skipAgent has a rank asked past its agent for a while.
func (o *Owner) skipAgent(m Member) {
	if o.unresponsive == nil {
		o.unresponsive = make(map[string]clock.Millis)
	}
	o.unresponsive[m.Upstream] = o.Clock.Now() + agentSkipDuration
}

func (o *Owner) callAgent(ctx context.Context, m Member, call group.Call, timeout clock.Millis) agentReply {
	reply, err := o.Ranks.Call(ctx, m, &call, timeout)
	if err != nil {
		o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
		return agentReply{unresponsive: true}
	}
	return agentReply{rank: o.rank(m, reply)}
}

// callDirectly asks ranks past their agents, without their counts: those of the
// others are a large enough sample, and far counts are dear.
func (o *Owner) callDirectly(ctx context.Context, members []Member, call group.Call, timeout clock.Millis) []*rank {
	call.WantCounts = false
	responding := make([]*rank, len(members))
	var wg sync.WaitGroup
	for i, m := range members {
		wg.Go(func() {
			reply, err := o.Ranks.CallDirect(ctx, m, &call, timeout)
			if err != nil {
				o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
				return
			}
			responding[i] = o.rank(m, reply)
		})
	}
	wg.Wait()
	for _, r := range responding {
		if r != nil {
			r.direct = true
		}
	}
	return responding
}

// rank returns what a rank says, nil when it says nothing.
func (o *Owner) rank(m Member, reply *group.Reply) *rank {
	if reply.Failure != "" {
		o.Log.Emit(event.RankUnreached, event.Fields{"upstream": m.Upstream, "error": reply.Failure})
		return nil
	}
	return &rank{Member: m, report: reply.Report, reply: reply}
}

// mayCallDirectly tells whether ranks may be asked past their agents. Outside a
// change that is done at most once in a pause, since such calls are dear.
func (o *Owner) mayCallDirectly(unresponsive, members int, pending bool) bool {
	if 2*unresponsive >= members && !pending && o.state.resolved {
		return false
	}
	now := o.Clock.Now()
	if !pending && !o.state.changing && now < o.nextDirectAt {
		return false
	}
	o.nextDirectAt = now + directCallInterval
	return true
}

// directCallDeferred tells whether a rank is to be asked past its agent and the pause
// between such calls is not over.
func (o *Owner) directCallDeferred() bool {
	now := o.Clock.Now()
	if now >= o.nextDirectAt {
		return false
	}
	for _, until := range o.unresponsive {
		if now < until {
			return true
		}
	}
	return false
}

// anyDirect tells whether a rank was asked past its agent.
func anyDirect(ranks []*rank) bool {
	return slices.ContainsFunc(ranks, func(r *rank) bool { return r.direct })
}

// mostViaAgents tells whether most ranks were reached through their agents, which
// refuse the orders of an owner that was replaced.
func mostViaAgents(ranks []*rank) bool {
	direct := 0
	for _, r := range ranks {
		if r.direct {
			direct++
		}
	}
	return 2*direct < len(ranks)
}

// arrangeByRank orders replies by rank and tells whether they are a whole group.
func arrangeByRank(responding []*rank) ([]*rank, bool) {
	var ranks []*rank
	for _, r := range responding {
		if r == nil {
			continue
		}
		for len(ranks) <= r.report.Rank {
			ranks = append(ranks, nil)
		}
		ranks[r.report.Rank] = r
	}
	if len(ranks) == 0 || ranks[0] == nil || len(ranks) != ranks[0].report.Size {
		return ranks, false
	}
	for _, r := range ranks {
		if r == nil || r.report.Epoch != ranks[0].report.Epoch || r.report.Group != ranks[0].report.Group || !r.report.Open {
			return ranks, false
		}
	}
	return ranks, true
}

// latestStep returns the last pass that any rank has begun.
func latestStep(ranks []*rank) int64 {
	last := int64(0)
	for _, r := range ranks {
		last = max(last, r.report.Step)
	}
	return last
}

// countHolding returns the number of ranks that hold a pass.
func countHolding(ranks []*rank) int {
	n := 0
	for _, r := range ranks {
		if r.report.HeldStep != group.None {
			n++
		}
	}
	return n
}

// maxPossibleHeldStep returns the last pass that an earlier owner may have held.
func maxPossibleHeldStep(ranks []*rank) int64 {
	for _, r := range ranks {
		if r.report.Map > 0 || r.report.Prepared != group.None || r.report.HeldStep != group.None {
			return latestStep(ranks) + maxStepsAhead + 1
		}
	}
	return 0
}

// changePending tells whether a change has been begun and not ended.
func changePending(ranks []*rank) bool {
	for _, r := range ranks {
		if r == nil {
			continue
		}
		if r.report.ArmedVersion != group.None || r.report.HeldStep != group.None {
			return true
		}
	}
	return false
}
