package experts

import (
	"context"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/process/supervise"
	"goldcrestshore/core/version/group"
)

// rank is a member with its latest report.
type rank struct {
	Member
	report group.Report
	reply  *group.Reply
	// direct is true if the rank was called without its agent. Its report may then
	// be a few hundred milliseconds old.
	direct bool
}

// queryAll calls every member and returns the replies in rank order, and whether
// the complete group has replied in the same epoch. While a change may be pending it also
// calls members whose records have lapsed, if the others are not the complete group. Ranks
// with unresponsive agents are called directly if most agents reply or a change may be
// pending: a process that is partitioned from most agents may have been replaced without
// receiving the newer term.
func (o *Owner) queryAll(ctx context.Context, call group.Call, timeout clock.Millis) ([]*rank, bool) {
	members := o.Members()
	responding, unresponsive := o.queryAgents(ctx, members, call, timeout)
	ranks, complete := arrangeByRank(responding)
	if !complete && o.mayBePending(ranks) {
		lapsed := o.members.lapsed(members)
		lapsedResponding, lapsedUnresponsive := o.queryAgents(ctx, lapsed, call, timeout)
		members = slices.Concat(members, lapsed)
		responding, unresponsive = slices.Concat(responding, lapsedResponding), slices.Concat(unresponsive, lapsedUnresponsive)
		ranks, complete = arrangeByRank(responding)
	}
	if complete || len(unresponsive) == 0 || !o.mayCallDirectly(len(unresponsive), len(members), changePending(ranks)) {
		return ranks, complete
	}
	return arrangeByRank(append(responding, o.callDirectly(ctx, unresponsive, call, timeout)...))
}

// mayBePending reports whether a change of this or an earlier owner may be pending.
func (o *Owner) mayBePending(ranks []*rank) bool {
	return o.state.changing || !o.state.resolved || changePending(ranks)
}

// queryAgents calls members through their agents. It returns the ranks that replied and the
// members whose agents did not.
func (o *Owner) queryAgents(ctx context.Context, members []Member, call group.Call, timeout clock.Millis) (responding []*rank, unresponsive []Member) {
	for i, reply := range o.callAgents(ctx, members, call, timeout) {
		switch {
		case reply.rank != nil:
			responding = append(responding, reply.rank)
		case reply.unresponsive:
			unresponsive = append(unresponsive, members[i])
		}
	}
	return responding, unresponsive
}

// agentReply is the result of a call to an agent.
type agentReply struct {
	rank *rank
	// unresponsive is true if the agent itself did not reply or was skipped.
	unresponsive bool
}

// callAgents concurrently calls the agents of all members, except those that did
// not reply within the last agentSkipDuration.
func (o *Owner) callAgents(ctx context.Context, members []Member, call group.Call, timeout clock.Millis) []agentReply {
	replies := make([]agentReply, len(members))
	now := o.Clock.Now()
	supervise.Each(len(members), func(i int) {
		if now < o.unresponsive[members[i].Upstream] {
			replies[i].unresponsive = true
			return
		}
		replies[i] = o.callAgent(ctx, members[i], call, timeout)
	})
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

// skipAgent makes the owner call a rank directly for agentSkipDuration.
func (o *Owner) skipAgent(m Member) {
	if o.unresponsive == nil {
		o.unresponsive = make(map[string]clock.Millis)
	}
	o.unresponsive[m.Upstream] = o.Clock.Now() + agentSkipDuration
}

func (o *Owner) callAgent(ctx context.Context, m Member, call group.Call, timeout clock.Millis) agentReply {
	reply, err := o.Ranks.Call(ctx, m, &call, timeout)
	if err != nil {
		o.Log.Error(event.RankUnreachable, err, event.Fields{"upstream": m.Upstream})
		return agentReply{unresponsive: true}
	}
	return agentReply{rank: o.rank(m, reply)}
}

// callDirectly concurrently calls ranks without their agents. It omits their
// counts: those of the other ranks are a large enough sample, and fetching counts
// remotely is expensive.
func (o *Owner) callDirectly(ctx context.Context, members []Member, call group.Call, timeout clock.Millis) []*rank {
	call.WantCounts = false
	responding := make([]*rank, len(members))
	supervise.Each(len(members), func(i int) {
		m := members[i]
		reply, err := o.Ranks.CallDirect(ctx, m, &call, timeout)
		if err != nil {
			o.Log.Error(event.RankUnreachable, err, event.Fields{"upstream": m.Upstream})
			return
		}
		responding[i] = o.rank(m, reply)
	})
	for _, r := range responding {
		if r != nil {
			r.direct = true
		}
	}
	return responding
}

// rank returns the rank described by a reply, or nil if the reply is a
// failure.
func (o *Owner) rank(m Member, reply *group.Reply) *rank {
	if reply.Failure != "" {
		o.Log.Emit(event.RankUnreachable, event.Fields{"upstream": m.Upstream, "error": reply.Failure})
		return nil
	}
	return &rank{Member: m, report: reply.Report, reply: reply}
}

// mayCallDirectly reports whether ranks may be called without their agents. Outside
// a change it allows this at most once per directCallInterval, since direct calls
// are expensive.
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

// directCallDeferred reports whether an agent is being skipped and
// directCallInterval has not yet elapsed since the last direct call.
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

// anyDirect reports whether any rank was called without its agent.
func anyDirect(ranks []*rank) bool {
	return slices.ContainsFunc(ranks, func(r *rank) bool { return r.direct })
}

// mostViaAgents reports whether most ranks were reached through their agents, which
// refuse orders of an owner that was replaced.
func mostViaAgents(ranks []*rank) bool {
	direct := 0
	for _, r := range ranks {
		if r.direct {
			direct++
		}
	}
	return 2*direct < len(ranks)
}

// arrangeByRank sorts replies by rank and reports whether they form a complete
// group in a single epoch, whose size all of them agree on.
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
	if len(ranks) == 0 || ranks[0] == nil {
		return ranks, false
	}
	for _, r := range ranks {
		if r == nil || r.report.Size != len(ranks) || r.report.Epoch != ranks[0].report.Epoch || r.report.Group != ranks[0].report.Group || !r.report.Open {
			return ranks, false
		}
	}
	return ranks, true
}

// maxStepSpread exceeds the passes by which reports of ranks differ, which begin each pass together;
// a report may be a few hundred milliseconds old.
const maxStepSpread = 1000

// latestStep returns the latest pass that any rank has begun. It leaves out one rank that reports a
// pass far ahead of all others.
func latestStep(ranks []*rank) int64 {
	latest, second := latestSteps(ranks)
	if len(ranks) > 1 && latest-second > maxStepSpread {
		return second
	}
	return latest
}

// latestSteps returns the two latest passes that ranks report.
func latestSteps(ranks []*rank) (latest, second int64) {
	for _, r := range ranks {
		switch {
		case r == nil:
		case r.report.Step > latest:
			latest, second = r.report.Step, latest
		case r.report.Step > second:
			second = r.report.Step
		}
	}
	return latest, second
}

// confirmedStep returns the latest pass that two ranks have begun, or that of the only rank.
func confirmedStep(ranks []*rank) int64 {
	latest, second := latestSteps(ranks)
	if len(ranks) == 1 {
		return latest
	}
	return second
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

// maxPossibleHeldStep returns the latest pass that an earlier owner may have held,
// 0 for none.
func maxPossibleHeldStep(ranks []*rank) int64 {
	for _, r := range ranks {
		if r.report.Map > 0 || r.report.Prepared != group.None || r.report.HeldStep != group.None {
			return latestStep(ranks) + maxStepsAhead + 1
		}
	}
	return 0
}

// changePending reports whether a change was started and has not finished.
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
