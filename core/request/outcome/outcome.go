// Package outcome defines the outcomes of requests whose response was not
// delivered.
package outcome

import (
	"github.com/cockroachdb/errors"
)

// Outcome states whether a refused request can have run.
type Outcome string

// Outcomes, as sent in the Goldcrest-Outcome header.
const (
	NotRun  Outcome = "not-run" // no upstream can have started the request
	Unknown Outcome = "unknown" // an upstream may have run the request
)

// Header is the response header that carries an Outcome.
const Header = "Goldcrest-Outcome"

// Code identifies the reason for a refusal.
type Code string

// Refusal codes in the order of the catalogue in docs/operators.md.
const (
	BadRequest            Code = "badRequest"        // the request is malformed or too large
	Unauthorized          Code = "unauthorized"      // no customer has this API key
	NoRoute               Code = "noRoute"           // no service matches this method and path
	NotReady              Code = "notReady"          // this process has not confirmed the configuration yet
	Stopping              Code = "stopping"          // this process is shutting down
	CustomerLimit         Code = "customerLimit"     // the customer's own limit is reached
	Overloaded            Code = "overloaded"        // no upstream can take the request before its deadline
	MemoryFull            Code = "memoryFull"        // the upstream's memory budget is reserved
	Cold                  Code = "cold"              // the upstream is at its cold limit
	TooLarge              Code = "tooLarge"          // the request exceeds the budget of an empty upstream
	OutOfService          Code = "outOfService"      // the data centre or instance is drained, or the upstream is draining
	DependencyUnavailable Code = "dependencyOut"     // a service that the requested one depends on has no upstream
	NoUpstream            Code = "noUpstream"        // the service has no reachable upstream
	DeadlineExceeded      Code = "deadlineExceeded"  // the caller's deadline passed
	ClaimPending          Code = "claimPending"      // another request with this key is still running
	ClaimUnresolved       Code = "claimUnsettled"    // an earlier request with this key may have run
	ClaimMismatch         Code = "claimMismatch"     // the key was used with a different request
	PlatformDown          Code = "platformDown"      // the idempotency record cannot be stored at present
	Quarantined           Code = "quarantined"       // this request has crashed upstreams
	UpstreamFailed        Code = "upstreamFailed"    // the upstream failed before the response was complete
	ConnectionLost        Code = "connectionLost"    // the connection to the agent was lost
	StreamMemoryFull      Code = "streamMemoryFull"  // too many bytes are buffered for slow readers
	GroupIncomplete       Code = "groupIncomplete"   // the upstream's rank group is missing a rank
	ConfigUnconfirmed     Code = "configUnconfirmed" // the agent has no confirmed configuration
)

// Refusal is the error of a request that gets no response.
type Refusal struct {
	code       Code
	outcome    Outcome
	retryAfter int64
}

// Refuse returns a Refusal. retryAfterMs is 0 when waiting does not help.
func Refuse(code Code, outcome Outcome, retryAfterMs int64) *Refusal {
	return &Refusal{code: code, outcome: outcome, retryAfter: retryAfterMs}
}

// Error implements error.
func (r *Refusal) Error() string {
	return "request refused: " + string(r.code) + " (" + string(r.outcome) + ")"
}

// Code returns the reason for the refusal.
func (r *Refusal) Code() Code { return r.code }

// Outcome returns whether the request can have run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfterMs returns the suggested wait in milliseconds, 0 for none.
func (r *Refusal) RetryAfterMs() int64 { return r.retryAfter }

// As returns the Refusal that err wraps. For any other error it returns a Refusal
// with code UpstreamFailed and outcome Unknown.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(UpstreamFailed, Unknown, 0)
}
