package retry

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// fullBudget returns a budget that does not limit the test.
func fullBudget() *Budget { return &Budget{credit: maxCredit} }

func requireAbandon(t *testing.T, a Action) *outcome.Refusal {
	t.Helper()
	abandoned, ok := a.(Abandon)
	if !ok {
		t.Fatalf("action: got %T, want GiveUp", a)
	}
	return abandoned.Refusal()
}

// TestRetryRules guards against a second run of non-idempotent work and against a
// refusal that wrongly says "not run".
func TestRetryRules(t *testing.T) {
	cases := []struct {
		name       string
		failure    Failure
		idempotent bool
		retried    bool
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
			a := fullBudget().Handle(NewFailed(NewRequest(c.idempotent), c.failure, outcome.UpstreamFailed, 0, clock.Second))
			_, retried := a.(Retry)
			check.Equal(t, "again", retried, c.retried)
			if !c.retried {
				check.Equal(t, "outcome", requireAbandon(t, a).Outcome(), c.outcome)
			}
		})
	}
}

// TestRefusalAfterEarlierAttempt guards against "not run" for a request whose last attempt
// was refused but whose earlier attempt may have run.
func TestRefusalAfterEarlierAttempt(t *testing.T) {
	b := fullBudget()
	a := b.Handle(NewFailed(NewRequest(true), LostAfterSubmit, outcome.ConnectionLost, 0, clock.Second))
	r := a.(Retry).Request()
	a = b.Handle(NewFailed(r, RefusedNotRun, outcome.Overloaded, 50, 0))
	check.Equal(t, "outcome", requireAbandon(t, a).Outcome(), outcome.Unknown)
	check.Equal(t, "code", requireAbandon(t, a).Code(), outcome.DeadlineExceeded)
}

// TestRetryBudget guards against a retry storm when every upstream refuses.
func TestRetryBudget(t *testing.T) {
	b := &Budget{}
	for range 10_000 {
		b.Handle(FirstAttempt{})
		r := NewRequest(true)
		for {
			retry, ok := b.Handle(NewFailed(r, RefusedNotRun, outcome.Overloaded, 0, clock.Second)).(Retry)
			if !ok {
				break
			}
			r = retry.Request()
		}
		check.AtMost(t, "retries", b.Retries()*firstAttemptsPerRetry, b.FirstAttempts())
	}
	check.Equal(t, "retries", b.Retries(), b.FirstAttempts()/firstAttemptsPerRetry)
}

// TestMaxAttempts guards against one request that spends the whole budget.
func TestMaxAttempts(t *testing.T) {
	b := fullBudget()
	r := NewRequest(false)
	for range maxAttempts - 1 {
		r = b.Handle(NewFailed(r, RefusedNotRun, outcome.Cold, 20, clock.Second)).(Retry).Request()
	}
	last := requireAbandon(t, b.Handle(NewFailed(r, RefusedNotRun, outcome.Cold, 20, clock.Second)))
	check.Equal(t, "outcome", last.Outcome(), outcome.NotRun)
	check.Equal(t, "retry after", last.RetryAfterMs(), 20)
}
