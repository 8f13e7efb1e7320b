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

// all asks every member and returns the replies in the order of ranks, with
// whether the whole group has answered in one epoch. Ranks whose agents do not
// answer are asked themselves, if most agents do: a process that is cut off from
// most of them may have been replaced without noticing.
func (o *Owner) all(ctx context.Context, call group.Call, limit clock.Millis) ([]*rank, bool) {
	members := o.Members()
	answers := o.askAgents(ctx, members, call, limit)
	var answered []*rank
	var silent []Member
	for i, a := range answers {
		switch {
		case a.rank != nil:
			answered = append(answered, a.rank)
		case a.silent:
			silent = append(silent, members[i])
		}
	}
	ranks, whole := arrange(answered)
	if whole || len(silent) == 0 || !o.mayAskDirectly(len(silent), len(members), pending(ranks)) {
		return ranks, whole
	}
	return arrange(append(answered, o.askDirectly(ctx, silent, call, limit)...))
}

// answer is what came back from an agent.
type answer struct {
	rank *rank
	// silent is set when the agent itself did not answer.
	silent bool
}

// askAgents calls the agents of all members at once, but for those that have
// just been silent.
func (o *Owner) askAgents(ctx context.Context, members []Member, call group.Call, limit clock.Millis) []answer {
	answers := make([]answer, len(members))
	now := o.Clock.Now()
	var running sync.WaitGroup
	for i, m := range members {
		if now < o.silent[m.Upstream] {
			answers[i].silent = true
			continue
		}
		running.Go(func() { answers[i] = o.askAgent(ctx, m, call, limit) })
	}
	running.Wait()
	for i, m := range members {
		switch {
		case !answers[i].silent:
			delete(o.silent, m.Upstream)
		case now >= o.silent[m.Upstream]:
			o.passOver(m)
		}
	}
	return answers
}

// passOver has a rank asked past its agent for a while.
func (o *Owner) passOver(m Member) {
	if o.silent == nil {
		o.silent = make(map[string]clock.Millis)
	}
	o.silent[m.Upstream] = o.Clock.Now() + silentTime
}

func (o *Owner) askAgent(ctx context.Context, m Member, call group.Call, limit clock.Millis) answer {
	reply, err := o.Ranks.Call(ctx, m, &call, limit)
	if err != nil {
		o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
		return answer{silent: true}
	}
	return answer{rank: o.rank(m, reply)}
}

// askDirectly asks ranks past their agents, without their counts: those of the
// others are a large enough sample, and far counts are dear.
func (o *Owner) askDirectly(ctx context.Context, members []Member, call group.Call, limit clock.Millis) []*rank {
	call.WantCounts = false
	answered := make([]*rank, len(members))
	var running sync.WaitGroup
	for i, m := range members {
		running.Go(func() {
			reply, err := o.Ranks.Direct(ctx, m, &call, limit)
			if err != nil {
				o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
				return
			}
			answered[i] = o.rank(m, reply)
		})
	}
	running.Wait()
	for _, r := range answered {
		if r != nil {
			r.direct = true
		}
	}
	return answered
}

// rank returns what a rank says, nil when it says nothing.
func (o *Owner) rank(m Member, reply *group.Reply) *rank {
	if reply.Failure != "" {
		o.Log.Emit(event.RankUnreached, event.Fields{"upstream": m.Upstream, "error": reply.Failure})
		return nil
	}
	return &rank{Member: m, report: reply.Report, reply: reply}
}

// mayAskDirectly tells whether ranks may be asked past their agents. Outside a
// change that is done at most once in a pause, since such calls are dear.
func (o *Owner) mayAskDirectly(silent, members int, pending bool) bool {
	if 2*silent >= members && !pending && o.state.settled {
		return false
	}
	now := o.Clock.Now()
	if !pending && !o.state.changing && now < o.directAt {
		return false
	}
	o.directAt = now + directPause
	return true
}

// pausing tells whether a rank is to be asked past its agent and the pause
// between such calls is not over.
func (o *Owner) pausing() bool {
	now := o.Clock.Now()
	if now >= o.directAt {
		return false
	}
	for _, until := range o.silent {
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

// mostAgents tells whether most ranks were reached through their agents, which
// refuse the orders of an owner that was replaced.
func mostAgents(ranks []*rank) bool {
	direct := 0
	for _, r := range ranks {
		if r.direct {
			direct++
		}
	}
	return 2*direct < len(ranks)
}

// arrange orders replies by rank and tells whether they are a whole group.
func arrange(answered []*rank) ([]*rank, bool) {
	var ranks []*rank
	for _, r := range answered {
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

// lastStep returns the last pass that any rank has begun.
func lastStep(ranks []*rank) int64 {
	last := int64(0)
	for _, r := range ranks {
		last = max(last, r.report.Step)
	}
	return last
}

// holders returns the number of ranks that hold a pass.
func holders(ranks []*rank) int {
	n := 0
	for _, r := range ranks {
		if r.report.HeldStep != group.None {
			n++
		}
	}
	return n
}

// mayBeHeld returns the last pass that an earlier owner may have held.
func mayBeHeld(ranks []*rank) int64 {
	for _, r := range ranks {
		if r.report.Map > 0 || r.report.Prepared != group.None || r.report.HeldStep != group.None {
			return lastStep(ranks) + mostAhead + 1
		}
	}
	return 0
}

// pending tells whether a change has been begun and not ended.
func pending(ranks []*rank) bool {
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
