// Package retry decides whether a failed request is sent to another upstream.
// It is a pure decision: events go in, actions come out.
package retry

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// Failure is the way in which one attempt ended without a whole answer.
type Failure int

// Failures of an attempt. Only the first two leave the upstream untouched.
const (
	RefusedNotRun     Failure = iota // the agent refused it and will not run it later
	LostBeforeSubmit                 // the connection broke before the first byte of the request left
	RefusedUnknown                   // the agent cannot tell whether it ran
	LostAfterSubmit                  // contact was lost after bytes of the request left
	FailedBeforeBytes                // the upstream broke off before an answer byte reached the caller
	FailedAfterBytes                 // the upstream broke off after answer bytes reached the caller
)

// neverStarted tells that the upstream cannot have started the attempt.
func (f Failure) neverStarted() bool { return f == RefusedNotRun || f == LostBeforeSubmit }

// Request is the state of one caller's request over its attempts. The zero
// value is a request that was not sent yet.
type Request struct {
	idempotent     bool
	attempts       int
	mayHaveStarted bool
}

// NewRequest returns a request; an idempotent one may run more than once.
func NewRequest(idempotent bool) Request { return Request{idempotent: idempotent} }

// Attempts returns the number of attempts that ended.
func (r Request) Attempts() int { return r.attempts }

// MayHaveRun tells whether an upstream may have started any attempt so far.
func (r Request) MayHaveRun() bool { return r.mayHaveStarted }

// Event is an input of Budget.Handle.
type Event interface{ event() }

// FirstAttempt tells that a request is sent for the first time.
type FirstAttempt struct{}

// Failed tells that an attempt of a request ended without a whole answer.
type Failed struct {
	request      Request
	failure      Failure
	code         outcome.Code
	retryAfterMs int64
	remaining    clock.Millis
}

// NewFailed describes the end of an attempt. The code and retryAfterMs go into
// the refusal if there is no further attempt; remaining is the time until the
// caller's deadline.
func NewFailed(r Request, f Failure, code outcome.Code, retryAfterMs int64, remaining clock.Millis) Failed {
	return Failed{r, f, code, retryAfterMs, remaining}
}

func (FirstAttempt) event() {}
func (Failed) event()       {}

// Action is an output of Budget.Handle.
type Action interface{ action() }

// Retry tells to send the request to another upstream.
type Retry struct{ request Request }

// Request returns the request's state for its next attempt.
func (a Retry) Request() Request { return a.request }

// Abandon tells to end the request with a refusal. After answer bytes reached
// the caller the refusal can only be logged and the connection aborted.
type Abandon struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the caller.
func (a Abandon) Refusal() *outcome.Refusal { return a.refusal }

func (Retry) action()   {}
func (Abandon) action() {}
