package experts

import (
	"context"
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
}

// all asks every member and returns the replies in the order of ranks, with
// whether the whole group has answered in one epoch.
func (o *Owner) all(ctx context.Context, call func(Member) *group.Call, limit clock.Millis) ([]*rank, bool) {
	members := o.Members()
	answered := make([]*rank, len(members))
	var running sync.WaitGroup
	for i, m := range members {
		running.Go(func() { answered[i] = o.look(ctx, o.Ranks.Call, m, call(m), limit) })
	}
	running.Wait()
	ranks, whole := arrange(answered)
	if whole || !(pending(ranks) || o.unsettled()) {
		return ranks, whole
	}
	// A change that was begun must be ended although an agent is gone.
	for i, m := range members {
		if answered[i] == nil {
			running.Go(func() { answered[i] = o.look(ctx, o.Ranks.Direct, m, call(m), limit) })
		}
	}
	running.Wait()
	return arrange(answered)
}

// asker is a way to a rank.
type asker func(ctx context.Context, m Member, c *group.Call, limit clock.Millis) (*group.Reply, error)

// look returns what a rank says, nil when it does not answer.
func (o *Owner) look(ctx context.Context, ask asker, m Member, c *group.Call, limit clock.Millis) *rank {
	reply, err := ask(ctx, m, c, limit)
	if err != nil {
		o.Log.Error(event.RankUnreached, err, event.Fields{"upstream": m.Upstream})
		return nil
	}
	if reply.Failure != "" {
		o.Log.Emit(event.RankUnreached, event.Fields{"upstream": m.Upstream, "error": reply.Failure})
		return nil
	}
	return &rank{m, reply.Report, reply}
}

// unsettled tells whether a change may have been left unfinished, at most once
// in a pause, since ranks are asked past their agents then.
func (o *Owner) unsettled() bool {
	now := o.Clock.Now()
	if o.state.settled || now < o.directAt {
		return false
	}
	o.directAt = now + directPause
	return true
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
