package claim

import (
	"fmt"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/request/stored"
)

func told(t *testing.T, a Action) Told {
	t.Helper()
	x, ok := a.(Told)
	if !ok {
		t.Fatalf("action: got %T, want Told", a)
	}
	return x
}

// TestSubmitOnce guards against a repeated submit frame that runs again.
func TestSubmitOnce(t *testing.T) {
	table := New()
	check.Equal(t, "first", table.Handle(0, NewSubmitted("1-1-0")), Action(Run{}))
	check.Equal(t, "while running", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	check.Equal(t, "state", told(t, table.Handle(0, NewAsked("1-1-0"))).State(), Running)
	table.Handle(0, NewFinished("1-1-0", stored.New(200, nil, []byte("x"))))
	check.Equal(t, "after the end", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	got := told(t, table.Handle(0, NewAsked("1-1-0")))
	check.Equal(t, "state", got.State(), Done)
	check.Equal(t, "answer", string(got.Answer().Body()), "x")
}

// TestAskedFirst guards against a submit frame that arrives after the owner was
// told that the claim never ran.
func TestAskedFirst(t *testing.T) {
	table := New()
	check.Equal(t, "state", told(t, table.Handle(0, NewAsked("1-1-0"))).State(), Never)
	check.Equal(t, "late submit", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{notRun: true, superseded: true}))
	check.Equal(t, "state", told(t, table.Handle(0, NewAsked("1-1-0"))).State(), NotRun)
}

// TestRejected guards against a request that runs after admission refused it.
func TestRejected(t *testing.T) {
	table := New()
	table.Handle(0, NewSubmitted("1-1-0"))
	table.Handle(0, NewRejected("1-1-0"))
	check.Equal(t, "again", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{notRun: true}))
}

// TestForgotten guards against "never" for a claim that ran but was forgotten.
func TestForgotten(t *testing.T) {
	table := New()
	body := []byte(strings.Repeat("x", stored.MaxBytes))
	for i := range 3 * maxClaims {
		key := fmt.Sprintf("1-%d-0", i+1)
		check.Equal(t, "run", table.Handle(0, NewSubmitted(key)), Action(Run{}))
		table.Handle(0, NewFinished(key, stored.New(200, nil, body)))
	}
	check.AtMost(t, "claims", table.Len(), maxClaims)
	check.AtMost(t, "bytes", table.answerBytes, maxAnswersBytes)
	check.Equal(t, "state", told(t, table.Handle(0, NewAsked("1-1-0"))).State(), Unknown)
	check.Equal(t, "late submit", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	table.Handle(keep, NewAsked("2-1-0"))
	check.Equal(t, "claims after expiry", table.Len(), 1)
}
