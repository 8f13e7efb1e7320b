package rank

import (
	"testing"

	"goldcrestshore/core/process/check"
)

const testEpoch = 1

var (
	base   = NewMapID(1, 0)
	next   = NewMapID(1, 1)
	change = NewChange(testEpoch, next, 5)
)

// newRunningRank returns rank 0 of three, recovered and in step 1.
func newRunningRank() *Rank {
	r := &Rank{Self: 0, Members: []Member{0, 1, 2}, Epoch: testEpoch, Incarnation: 7}
	r.Start(0)
	r.Handle(EngineState{Step: 1, Current: base})
	r.Handle(Received{1, Refuse{Change{}, 1}})
	r.Handle(Received{2, Refuse{Change{}, 1}})
	return r
}

// newPreparedRank returns a running rank that has loaded the map next.
func newPreparedRank() *Rank {
	r := newRunningRank()
	r.Handle(Received{1, NewPrepare(testEpoch, next, base, nil, nil)})
	r.Handle(Loaded{next})
	return r
}

// newArmedRank returns a rank that has placed its hold and voted yes.
func newArmedRank() *Rank {
	r := newPreparedRank()
	r.Handle(Received{1, Arm{change, 7}})
	r.Handle(HoldPlaced{change, true})
	return r
}

// firstAction returns the first action of type A.
func firstAction[A Action](t *testing.T, actions []Action) A {
	t.Helper()
	for _, a := range actions {
		if found, ok := a.(A); ok {
			return found
		}
	}
	var none A
	t.Fatalf("actions: got %v, want a %T", actions, none)
	return none
}

// messageAs returns m as an M and fails the test if it is of another type.
func messageAs[M Message](t *testing.T, m Message) M {
	t.Helper()
	found, ok := m.(M)
	if !ok {
		t.Fatalf("message: got %T, want %T", m, found)
	}
	return found
}

// TestVoteSentAfterHoldPlaced guards against a yes vote before the engine has
// stored the hold: the engine could then enter the step without the outcome.
func TestVoteSentAfterHoldPlaced(t *testing.T) {
	r := newPreparedRank()
	actions := r.Handle(Received{1, Arm{change, 7}})
	check.Equal(t, "actions before the hold", len(actions), 1)
	check.Equal(t, "held change", firstAction[Hold](t, actions).Change, change)
	vote := firstAction[Broadcast](t, r.Handle(HoldPlaced{change, true}))
	check.Equal(t, "vote", messageAs[Armed](t, vote.Message).Change(), change)
}

// TestArmRefused guards against a yes vote by a rank that must vote no.
func TestArmRefused(t *testing.T) {
	for _, c := range []struct {
		name    string
		newRank func() *Rank
		arm     Arm
	}{
		{"step already entered", newPreparedRank, Arm{NewChange(testEpoch, next, 1), 7}},
		{"vote requested from a former incarnation", newPreparedRank, Arm{change, 6}},
		{"map not loaded", newRunningRank, Arm{change, 7}},
		{"higher fencing token seen", func() *Rank {
			r := newPreparedRank()
			r.Handle(Received{2, NewPrepare(testEpoch, NewMapID(2, 1), base, nil, nil)})
			return r
		}, Arm{change, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.newRank()
			vote := firstAction[Broadcast](t, r.Handle(Received{1, c.arm}))
			check.Equal(t, "vote", messageAs[Refuse](t, vote.Message).Change(), c.arm.change)
			repeated := firstAction[Send](t, r.Handle(Received{1, c.arm}))
			check.Equal(t, "vote on a repeated arm", messageAs[Refuse](t, repeated.Message).Change(), c.arm.change)
		})
	}
}

// TestCommitRequiresEveryVote guards against a commit that lacks a yes vote of a
// member, and against the loss of votes that arrive before the Arm.
func TestCommitRequiresEveryVote(t *testing.T) {
	t.Run("all armed", func(t *testing.T) {
		r := newArmedRank()
		check.Equal(t, "actions after one vote", len(r.Handle(Received{1, Armed{change}})), 0)
		got := firstAction[Activate](t, r.Handle(Received{2, Armed{change}}))
		check.Equal(t, "activated", got.Change, change)
	})
	t.Run("one refused", func(t *testing.T) {
		got := firstAction[Release](t, newArmedRank().Handle(Received{2, Refuse{change, 1}}))
		check.Equal(t, "released", got.Change, change)
	})
	t.Run("vote before its arm", func(t *testing.T) {
		r := newPreparedRank()
		r.Handle(Received{2, Armed{change}})
		r.Handle(Received{1, Armed{change}})
		r.Handle(Received{1, Arm{change, 7}})
		got := firstAction[Activate](t, r.Handle(HoldPlaced{change, true}))
		check.Equal(t, "activated", got.Change, change)
	})
}

// TestQueryBeforeVoteRefuses guards against two ranks that derive different
// outcomes: a rank that is queried before it has voted casts a final no vote.
func TestQueryBeforeVoteRefuses(t *testing.T) {
	r := newPreparedRank()
	got := firstAction[Broadcast](t, r.Handle(Received{2, NewQuery(testEpoch, change)}))
	check.Equal(t, "vote", messageAs[Refuse](t, got.Message).Change(), change)
	later := firstAction[Send](t, r.Handle(Received{1, Arm{change, 7}}))
	check.Equal(t, "vote on a late arm", messageAs[Refuse](t, later.Message).Change(), change)
}

// TestRestartRestoresVoteFromHold guards against an agent that loses its yes vote
// in a restart. The engine still holds the change.
func TestRestartRestoresVoteFromHold(t *testing.T) {
	r := &Rank{Self: 0, Members: []Member{0, 1, 2}, Epoch: testEpoch, Incarnation: 8}
	r.Start(0)
	check.Equal(t, "replies before the engine state is received", len(r.Handle(Received{1, NewQuery(testEpoch, change)})), 0)
	actions := r.Handle(EngineState{Step: 1, Current: base, Held: change})
	firstAction[Pause](t, actions)
	got := firstAction[Send](t, r.Handle(Received{1, NewQuery(testEpoch, change)}))
	check.Equal(t, "vote", messageAs[Armed](t, got.Message).Change(), change)
	r.Handle(Received{1, Refuse{Change{}, 3}})
	check.Equal(t, "running before every peer has replied", r.Running(), false)
	firstAction[Resume](t, r.Handle(Received{2, Refuse{Change{}, 2}}))
	check.Equal(t, "fencing token from the peers", r.FencingToken(), 3)
}

// TestUnresponsiveMemberReported guards against a rank that waits indefinitely at
// a step boundary for the vote of a failed member.
func TestUnresponsiveMemberReported(t *testing.T) {
	r := newArmedRank()
	r.Handle(Received{1, Armed{change}})
	query := firstAction[Send](t, r.Handle(AtBoundary{change}))
	check.Equal(t, "queried member", query.To, 2)
	r.Handle(Tick{replyTimeout})
	got := firstAction[MembersUnresponsive](t, r.Handle(Tick{replyTimeout + queryInterval}))
	check.Equal(t, "missing members", len(got.Missing), 1)
	check.Equal(t, "missing member", got.Missing[0], 2)
	r.Handle(MembershipChanged{Epoch: 2, Members: []Member{0, 1}, Current: NewMapID(2, 0), Step: 6})
	check.Equal(t, "actions on a vote of the previous epoch", len(r.Handle(Received{1, Armed{change}})), 0)
}

// TestOwnerStopsWhenSuperseded guards against an owner that resumes after a pause
// and continues although another owner has taken over.
func TestOwnerStopsWhenSuperseded(t *testing.T) {
	o := &Owner{Members: []Member{0, 1, 2}, Epoch: testEpoch, FencingToken: 1, Lead: DefaultLeadSteps, PrepareTimeout: 1000}
	check.Equal(t, "prepares", len(o.Handle(Propose{Base: base})), 3)
	got := firstAction[Superseded](t, o.Handle(Received{1, Refuse{Change{testEpoch, next, 0}, 2}}))
	check.Equal(t, "fencing token", got.FencingToken, 2)
	check.Equal(t, "actions once superseded", len(o.Handle(Propose{Base: base})), 0)
}
