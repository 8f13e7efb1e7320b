// Package retry decides whether a failed request is sent to another upstream. It
// has no side effects: events go in, actions come out.
package retry

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// Failure classifies how an attempt ended without a complete response.
type Failure int

// Failures of an attempt. Only after the first two is it certain that the upstream
// did not start the request.
const (
	RefusedNotRun     Failure = iota // the agent refused the request and will not run it later
	LostBeforeSubmit                 // the connection was lost before any byte of the request was sent
	RefusedUnknown                   // the agent cannot determine whether the request ran
	LostAfterSubmit                  // the connection was lost after bytes of the request were sent
	FailedBeforeBytes                // the upstream failed before any response byte reached the caller
	FailedAfterBytes                 // the upstream failed after response bytes reached the caller
)

// neverStarted reports whether it is certain that the upstream did not start the
// attempt.
func (f Failure) neverStarted() bool { return f == RefusedNotRun || f == LostBeforeSubmit }

// Request holds the state of a request across its attempts. The zero value is a
// non-idempotent request that has not been sent.
type Request struct {
	idempotent     bool
	attempts       int
	mayHaveStarted bool
}

// NewRequest returns the state of a request that has not been sent. An idempotent
// request may run more than once.
func NewRequest(idempotent bool) Request { return Request{idempotent: idempotent} }

// Attempts returns the number of failed attempts so far.
func (r Request) Attempts() int { return r.attempts }

// MayHaveRun reports whether an upstream may have started any attempt so far.
func (r Request) MayHaveRun() bool { return r.mayHaveStarted }

// Event is an input of Budget.Handle.
type Event interface{ event() }

// FirstAttempt reports the first attempt of a request.
type FirstAttempt struct{}

// Failed reports that an attempt of a request ended without a complete response.
type Failed struct {
	request      Request
	failure      Failure
	code         outcome.Code
	retryAfterMs int64
	remaining    clock.Millis
}

// NewFailed returns the event of a failed attempt. The code and retryAfterMs are
// for the refusal if there is no further attempt; remaining is the time until the
// caller's deadline.
func NewFailed(r Request, f Failure, code outcome.Code, retryAfterMs int64, remaining clock.Millis) Failed {
	return Failed{r, f, code, retryAfterMs, remaining}
}

func (FirstAttempt) event() {}
func (Failed) event()       {}

// Action is an output of Budget.Handle.
type Action interface{ action() }

// Retry instructs the entry to send the request to another upstream.
type Retry struct{ request Request }

// Request returns the state of the request for its next attempt.
func (a Retry) Request() Request { return a.request }

// Abandon instructs the entry to end the request with a refusal. After response
// bytes have reached the caller, the entry can only log the refusal and abort the
// connection.
type Abandon struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the caller.
func (a Abandon) Refusal() *outcome.Refusal { return a.refusal }

func (Retry) action()   {}
func (Abandon) action() {}
