package retry

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// full returns a budget that does not limit the test.
func full() *Budget { return &Budget{credit: maxCredit} }

func refused(t *testing.T, a Action) *outcome.Refusal {
	t.Helper()
	g, ok := a.(GiveUp)
	if !ok {
		t.Fatalf("action: got %T, want GiveUp", a)
	}
	return g.Refusal()
}

// TestRule guards against a second run of non-idempotent work and against a
// refusal that wrongly says "not run".
func TestRule(t *testing.T) {
	cases := []struct {
		name       string
		failure    Failure
		idempotent bool
		again      bool
		outcome    outcome.Outcome
	}{
		{"refused not run", RefusedNotRun, false, true, ""},
		{"lost before submit", LostBeforeSubmit, false, true, ""},
		{"refused unknown", RefusedUnknown, false, false, outcome.Unknown},
		{"lost after submit", LostAfterSubmit, false, false, outcome.Unknown},
		{"failed before bytes", FailedBeforeBytes, false, false, outcome.Unknown},
		{"failed after bytes", FailedAfterBytes, false, false, outcome.Unknown},
		{"idempotent lost after submit", LostAfterSubmit, true, true, ""},
		{"idempotent failed before bytes", FailedBeforeBytes, true, true, ""},
		{"idempotent failed after bytes", FailedAfterBytes, true, false, outcome.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := full().Handle(NewFailed(NewRequest(c.idempotent), c.failure, outcome.UpstreamFailed, 0, clock.Second))
			_, again := a.(Again)
			check.Equal(t, "again", again, c.again)
			if !c.again {
				check.Equal(t, "outcome", refused(t, a).Outcome(), c.outcome)
			}
		})
	}
}

// TestEarlierAttempt guards against "not run" for a request whose last attempt
// was refused but whose earlier attempt may have run.
func TestEarlierAttempt(t *testing.T) {
	b := full()
	a := b.Handle(NewFailed(NewRequest(true), LostAfterSubmit, outcome.ConnectionLost, 0, clock.Second))
	r := a.(Again).Request()
	a = b.Handle(NewFailed(r, RefusedNotRun, outcome.Overloaded, 50, 0))
	check.Equal(t, "outcome", refused(t, a).Outcome(), outcome.Unknown)
	check.Equal(t, "code", refused(t, a).Code(), outcome.DeadlineExceeded)
}

// TestBudget guards against a retry storm when every upstream refuses.
func TestBudget(t *testing.T) {
	b := &Budget{}
	for range 10_000 {
		b.Handle(First{})
		r := NewRequest(true)
		for {
			again, ok := b.Handle(NewFailed(r, RefusedNotRun, outcome.Overloaded, 0, clock.Second)).(Again)
			if !ok {
				break
			}
			r = again.Request()
		}
		check.AtMost(t, "retries", b.Retries()*firstsPerRetry, b.Firsts())
	}
	check.Equal(t, "retries", b.Retries(), b.Firsts()/firstsPerRetry)
}

// TestAttempts guards against one request that spends the whole budget.
func TestAttempts(t *testing.T) {
	b := full()
	r := NewRequest(false)
	for range maxAttempts - 1 {
		r = b.Handle(NewFailed(r, RefusedNotRun, outcome.Cold, 20, clock.Second)).(Again).Request()
	}
	last := refused(t, b.Handle(NewFailed(r, RefusedNotRun, outcome.Cold, 20, clock.Second)))
	check.Equal(t, "outcome", last.Outcome(), outcome.NotRun)
	check.Equal(t, "retry after", last.RetryAfterMs(), 20)
}
