package retry

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// firstAttemptsPerRetry is the number of first attempts that earn one retry.
	// With 10, retries add at most 10% of load when every upstream fails.
	firstAttemptsPerRetry = 10
	// maxCredit bounds the unspent credit, in first attempts, so that retries
	// accumulated during normal operation do not reach recovering upstreams as
	// one large burst.
	maxCredit = 100 * firstAttemptsPerRetry
	// maxAttempts is the maximum number of attempts of one request, including the
	// first.
	maxAttempts = 4
	// minRemaining is the minimum time until the deadline in which another attempt
	// is useful.
	minRemaining = 5 * clock.Millis(1)
)

// Budget limits the retries of an entry. The zero value has no credit, so that at
// any time the retries are at most one per firstAttemptsPerRetry first attempts.
// It is not safe for concurrent use.
type Budget struct {
	credit        int
	firstAttempts uint64
	retries       uint64
}

// FirstAttempts returns the number of first attempts so far.
func (b *Budget) FirstAttempts() uint64 { return b.firstAttempts }

// Retries returns the number of retries granted so far.
func (b *Budget) Retries() uint64 { return b.retries }

// Handle applies an event and returns the resulting action, which is nil for
// FirstAttempt.
func (b *Budget) Handle(e Event) Action {
	switch e := e.(type) {
	case FirstAttempt:
		b.firstAttempts++
		b.credit = min(b.credit+1, maxCredit)
		return nil
	case Failed:
		return b.failed(e)
	}
	return nil
}

func (b *Budget) failed(e Failed) Action {
	r := e.request
	r.attempts++
	r.mayHaveStarted = r.mayHaveStarted || !e.failure.neverStarted()
	if !mayRetry(r, e.failure) {
		return abandon(r, e.code, e.retryAfterMs)
	}
	if e.remaining < minRemaining {
		return abandon(r, outcome.DeadlineExceeded, 0)
	}
	if r.attempts >= maxAttempts || b.credit < firstAttemptsPerRetry {
		return abandon(r, e.code, e.retryAfterMs)
	}
	b.credit -= firstAttemptsPerRetry
	b.retries++
	return Retry{r}
}

// mayRetry reports whether another attempt is safe. A non-idempotent request must
// not run twice, so it is retried only if no attempt can have started. No request
// is retried after response bytes have reached the caller, which would otherwise
// receive parts of two responses.
func mayRetry(r Request, f Failure) bool {
	if f == FailedAfterBytes {
		return false
	}
	return r.idempotent || !r.mayHaveStarted
}

func abandon(r Request, code outcome.Code, retryAfterMs int64) Action {
	o := outcome.NotRun
	if r.mayHaveStarted {
		o = outcome.Unknown
	}
	return Abandon{outcome.Refuse(code, o, retryAfterMs)}
}
