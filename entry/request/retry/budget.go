package retry

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// firstAttemptsPerRetry is the number of first attempts that pay for one retry.
	// With a tenth, an outage of every upstream adds at most 10% of load.
	firstAttemptsPerRetry = 10
	// maxCredit bounds the retries saved up in calm times, in first attempts,
	// so that they cannot all arrive as one burst on recovering upstreams.
	maxCredit = 100 * firstAttemptsPerRetry
	// maxAttempts bounds the attempts of one request, the first included.
	maxAttempts = 4
	// minRemaining is the least time in which another attempt is useful.
	minRemaining = 5 * clock.Millis(1)
)

// Budget holds the retries that an entry may still spend. The zero value has
// none, so that at every instant the retries sent are at most a tenth of the
// first attempts. It is not safe for concurrent use.
type Budget struct {
	credit        int
	firstAttempts uint64
	retries       uint64
}

// FirstAttempts returns the number of first attempts so far.
func (b *Budget) FirstAttempts() uint64 { return b.firstAttempts }

// Retries returns the number of retries granted so far.
func (b *Budget) Retries() uint64 { return b.retries }

// Handle applies an event. First has no action and returns nil.
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

// mayRetry holds the rule that keeps non-idempotent work from running twice:
// once any attempt may have started, only an idempotent request is repeated,
// and never after answer bytes have reached the caller, which would get parts
// of two answers.
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
