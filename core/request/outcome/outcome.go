// Package outcome names how a request ended when its answer was not delivered.
package outcome

import (
	"github.com/cockroachdb/errors"
)

// Outcome tells a caller whether a refused request can have run.
type Outcome string

// Outcomes, as sent in the Goldcrest-Outcome header.
const (
	NotRun  Outcome = "not-run" // no upstream can have started the request
	Unknown Outcome = "unknown" // an upstream may have run the request
)

// Header is the response header that carries an Outcome.
const Header = "Goldcrest-Outcome"

// Code identifies the reason of a refusal. The catalogue below documents each.
type Code string

// Refusal codes in the order of the catalogue in docs/operators.md.
const (
	BadRequest            Code = "badRequest"        // the request is malformed or too large
	Unauthorized          Code = "unauthorized"      // no customer has this key
	NoRoute               Code = "noRoute"           // no service takes this method and path
	NotReady              Code = "notReady"          // this process has not confirmed the configuration yet
	Stopping              Code = "stopping"          // this process is shutting down
	CustomerLimit         Code = "customerLimit"     // the customer's own limit is reached
	Overloaded            Code = "overloaded"        // no upstream can take the request before its deadline
	MemoryFull            Code = "memoryFull"        // the upstream's memory budget is reserved
	Cold                  Code = "cold"              // the upstream is at its cold limit
	TooLarge              Code = "tooLarge"          // the request exceeds the budget of an empty upstream
	OutOfService          Code = "outOfService"      // the data centre or instance is out, or the upstream is leaving
	DependencyUnavailable Code = "dependencyOut"     // a service it depends on has no upstream
	NoUpstream            Code = "noUpstream"        // the service has no reachable upstream
	DeadlineExceeded      Code = "deadlineExceeded"  // the caller's deadline passed
	ClaimPending          Code = "claimPending"      // another request with this key is still running
	ClaimUnresolved       Code = "claimUnsettled"    // an earlier request with this key may have run
	ClaimMismatch         Code = "claimMismatch"     // this key was used with a different request
	PlatformDown          Code = "platformDown"      // a claim cannot be made durable now
	Quarantined           Code = "quarantined"       // this request has crashed upstreams
	UpstreamFailed        Code = "upstreamFailed"    // the upstream broke off before the answer was complete
	ConnectionLost        Code = "connectionLost"    // contact with the agent was lost
	StreamMemoryFull      Code = "streamMemoryFull"  // too many bytes are held for slow readers
	GroupIncomplete       Code = "groupIncomplete"   // the upstream's rank group lacks a rank
	ConfigUnconfirmed     Code = "configUnconfirmed" // the agent has no confirmed configuration
)

// Refusal is the typed error of a request that gets no answer.
type Refusal struct {
	code       Code
	outcome    Outcome
	retryAfter int64
}

// Refuse returns a refusal; retryAfterMs is 0 when waiting does not help.
func Refuse(code Code, outcome Outcome, retryAfterMs int64) *Refusal {
	return &Refusal{code: code, outcome: outcome, retryAfter: retryAfterMs}
}

// Error describes the refusal in one line.
func (r *Refusal) Error() string {
	return "request refused: " + string(r.code) + " (" + string(r.outcome) + ")"
}

// Code returns the reason.
func (r *Refusal) Code() Code { return r.code }

// Outcome tells whether the request can have run.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfterMs returns the suggested wait in milliseconds, 0 for none.
func (r *Refusal) RetryAfterMs() int64 { return r.retryAfter }

// As returns the refusal that err wraps, or a refusal with the unknown outcome.
func As(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Refuse(UpstreamFailed, Unknown, 0)
}
