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

// running returns a recovered rank 0 of three that has entered step 1.
func running() *Rank {
	r := &Rank{Self: 0, Members: []Member{0, 1, 2}, Epoch: testEpoch, Incarnation: 7}
	r.Start(0)
	r.Handle(EngineState{Step: 1, Current: base})
	r.Handle(Received{1, Refuse{Change{}, 1}})
	r.Handle(Received{2, Refuse{Change{}, 1}})
	return r
}

// prepared returns a running rank that has loaded the next map.
func prepared() *Rank {
	r := running()
	r.Handle(Received{1, NewPrepare(testEpoch, next, base, nil, nil)})
	r.Handle(Loaded{next})
	return r
}

// armed returns a rank whose hold is stored and whose vote is sent.
func armed() *Rank {
	r := prepared()
	r.Handle(Received{1, Arm{change, 7}})
	r.Handle(HoldPlaced{change, true})
	return r
}

// first returns the first action of kind A.
func first[A Action](t *testing.T, actions []Action) A {
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

func message[M Message](t *testing.T, m Message) M {
	t.Helper()
	found, ok := m.(M)
	if !ok {
		t.Fatalf("message: got %T, want %T", m, found)
	}
	return found
}

// TestVoteFollowsHold guards against a vote that the engine could break.
func TestVoteFollowsHold(t *testing.T) {
	r := prepared()
	actions := r.Handle(Received{1, Arm{change, 7}})
	check.Equal(t, "actions before the hold", len(actions), 1)
	check.Equal(t, "held change", first[Hold](t, actions).Change, change)
	vote := first[Broadcast](t, r.Handle(HoldPlaced{change, true}))
	check.Equal(t, "vote", message[Armed](t, vote.Message).Change(), change)
}

// TestRefusals guards against a yes that must be a no.
func TestRefusals(t *testing.T) {
	for _, c := range []struct {
		name string
		prep func() *Rank
		arm  Arm
	}{
		{"step already entered", prepared, Arm{NewChange(testEpoch, next, 1), 7}},
		{"vote asked from a former incarnation", prepared, Arm{change, 6}},
		{"map not loaded", running, Arm{change, 7}},
		{"higher fencing token seen", func() *Rank {
			r := prepared()
			r.Handle(Received{2, NewPrepare(testEpoch, NewMapID(2, 1), base, nil, nil)})
			return r
		}, Arm{change, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := c.prep()
			vote := first[Broadcast](t, r.Handle(Received{1, c.arm}))
			check.Equal(t, "vote", message[Refuse](t, vote.Message).Change(), c.arm.change)
			again := first[Send](t, r.Handle(Received{1, c.arm}))
			check.Equal(t, "vote when asked again", message[Refuse](t, again.Message).Change(), c.arm.change)
		})
	}
}

// TestOutcomeIsFunctionOfVotes guards against a commit without every vote.
func TestOutcomeIsFunctionOfVotes(t *testing.T) {
	t.Run("all armed", func(t *testing.T) {
		r := armed()
		check.Equal(t, "actions after one vote", len(r.Handle(Received{1, Armed{change}})), 0)
		got := first[Activate](t, r.Handle(Received{2, Armed{change}}))
		check.Equal(t, "activated", got.Change, change)
	})
	t.Run("one refused", func(t *testing.T) {
		got := first[Release](t, armed().Handle(Received{2, Refuse{change, 1}}))
		check.Equal(t, "released", got.Change, change)
	})
	t.Run("vote before its arm", func(t *testing.T) {
		r := prepared()
		r.Handle(Received{2, Armed{change}})
		r.Handle(Received{1, Armed{change}})
		r.Handle(Received{1, Arm{change, 7}})
		got := first[Activate](t, r.Handle(HoldPlaced{change, true}))
		check.Equal(t, "activated", got.Change, change)
	})
}

// TestAskedRankThatHasNotVoted guards against two ranks that learn different
// outcomes: whoever is asked before voting votes no for good.
func TestAskedRankThatHasNotVoted(t *testing.T) {
	r := prepared()
	got := first[Broadcast](t, r.Handle(Received{2, NewAsk(testEpoch, change)}))
	check.Equal(t, "vote", message[Refuse](t, got.Message).Change(), change)
	later := first[Send](t, r.Handle(Received{1, Arm{change, 7}}))
	check.Equal(t, "vote on a late arm", message[Refuse](t, later.Message).Change(), change)
}

// TestRestartTakesUpHold guards against a restarted agent that forgets its yes.
func TestRestartTakesUpHold(t *testing.T) {
	r := &Rank{Self: 0, Members: []Member{0, 1, 2}, Epoch: testEpoch, Incarnation: 8}
	r.Start(0)
	check.Equal(t, "answers before the engine is known", len(r.Handle(Received{1, NewAsk(testEpoch, change)})), 0)
	actions := r.Handle(EngineState{Step: 1, Current: base, Held: change})
	first[Pause](t, actions)
	got := first[Send](t, r.Handle(Received{1, NewAsk(testEpoch, change)}))
	check.Equal(t, "vote", message[Armed](t, got.Message).Change(), change)
	r.Handle(Received{1, Refuse{Change{}, 3}})
	check.Equal(t, "running with one peer unheard", r.Running(), false)
	first[Resume](t, r.Handle(Received{2, Refuse{Change{}, 2}}))
	check.Equal(t, "fencing token from the peers", r.Fence(), 3)
}

// TestUndecided guards against a rank that waits for ever at its step.
func TestUndecided(t *testing.T) {
	r := armed()
	r.Handle(Received{1, Armed{change}})
	ask := first[Send](t, r.Handle(AtBoundary{change}))
	check.Equal(t, "asked", ask.To, 2)
	r.Handle(Tick{undecidedAfter})
	got := first[Undecided](t, r.Handle(Tick{undecidedAfter + askEvery}))
	check.Equal(t, "missing members", len(got.Missing), 1)
	check.Equal(t, "missing member", got.Missing[0], 2)
	r.Handle(Reformed{Epoch: 2, Members: []Member{0, 1}, Current: NewMapID(2, 0), Step: 6})
	check.Equal(t, "actions on a vote of the former group", len(r.Handle(Received{1, Armed{change}})), 0)
}

// TestOwnerStopsWhenSuperseded guards against an owner that wakes from a pause
// and goes on.
func TestOwnerStopsWhenSuperseded(t *testing.T) {
	o := &Owner{Members: []Member{0, 1, 2}, Epoch: testEpoch, Fence: 1, Lead: DefaultLead, PrepareWithin: 1000}
	check.Equal(t, "prepares", len(o.Handle(Propose{Base: base})), 3)
	got := first[Superseded](t, o.Handle(Received{1, Refuse{Change{testEpoch, next, 0}, 2}}))
	check.Equal(t, "fencing token", got.Fence, 2)
	check.Equal(t, "actions afterwards", len(o.Handle(Propose{Base: base})), 0)
}
