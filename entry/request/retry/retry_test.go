package retry

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// fullBudget returns a budget with the maximum credit, so that it does not limit
// the test.
func fullBudget() *Budget { return &Budget{credit: maxCredit} }

func requireAbandon(t *testing.T, a Action) *outcome.Refusal {
	t.Helper()
	abandoned, ok := a.(Abandon)
	if !ok {
		t.Fatalf("action: got %T, want Abandon", a)
	}
	return abandoned.Refusal()
}

// TestRetryRules guards against running a non-idempotent request twice and against
// the outcome "not run" for a request that may have run.
func TestRetryRules(t *testing.T) {
	cases := []struct {
		name       string
		failure    Failure
		idempotent bool
		retried    bool
		outcome    outcome.Outcome
	}{
		{"refused, not run", RefusedNotRun, false, true, ""},
		{"lost before submit", LostBeforeSubmit, false, true, ""},
		{"refused, unknown outcome", RefusedUnknown, false, false, outcome.Unknown},
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
			check.Equal(t, "retried", retried, c.retried)
			if !c.retried {
				check.Equal(t, "outcome", requireAbandon(t, a).Outcome(), c.outcome)
			}
		})
	}
}

// TestRefusalAfterEarlierAttempt guards against the outcome "not run" for a request
// whose last attempt was refused but of which an earlier attempt may have run.
func TestRefusalAfterEarlierAttempt(t *testing.T) {
	b := fullBudget()
	a := b.Handle(NewFailed(NewRequest(true), LostAfterSubmit, outcome.ConnectionLost, 0, clock.Second))
	request := a.(Retry).Request()
	a = b.Handle(NewFailed(request, RefusedNotRun, outcome.Overloaded, 50, 0))
	check.Equal(t, "outcome", requireAbandon(t, a).Outcome(), outcome.Unknown)
	check.Equal(t, "code", requireAbandon(t, a).Code(), outcome.DeadlineExceeded)
}

// TestRetryBudget guards against a retry storm when every upstream refuses.
func TestRetryBudget(t *testing.T) {
	b := &Budget{}
	for range 10_000 {
		b.Handle(FirstAttempt{})
		request := NewRequest(true)
		for {
			retry, ok := b.Handle(NewFailed(request, RefusedNotRun, outcome.Overloaded, 0, clock.Second)).(Retry)
			if !ok {
				break
			}
			request = retry.Request()
		}
		check.AtMost(t, "retries", b.Retries()*firstAttemptsPerRetry, b.FirstAttempts())
	}
	check.Equal(t, "retries", b.Retries(), b.FirstAttempts()/firstAttemptsPerRetry)
}

// TestMaxAttempts guards against a single request that spends the whole budget.
func TestMaxAttempts(t *testing.T) {
	b := fullBudget()
	request := NewRequest(false)
	for range maxAttempts - 1 {
		request = b.Handle(NewFailed(request, RefusedNotRun, outcome.Cold, 20, clock.Second)).(Retry).Request()
	}
	last := requireAbandon(t, b.Handle(NewFailed(request, RefusedNotRun, outcome.Cold, 20, clock.Second)))
	check.Equal(t, "outcome", last.Outcome(), outcome.NotRun)
	check.Equal(t, "retry after ms", last.RetryAfterMs(), 20)
}
