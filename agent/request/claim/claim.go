// Package claim keeps an agent from running a claimed request twice and tells
// entries what became of a claim. It is a pure decision: events go in, actions
// come out.
//
// A claim is known here by its text form "shard-position-index". Positions of
// a shard only grow, so claims that had to be forgotten are covered by the
// highest forgotten position of their shard.
package claim

import (
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/stored"
)

const (
	// keep is how long a settled claim is remembered with its answer. It exceeds
	// the time after which the owner of the claim stores the outcome.
	keep = 15 * clock.Minute
	// maxClaims bounds the claims remembered.
	maxClaims = 4096
	// maxAnswersBytes bounds all stored answers together.
	maxAnswersBytes = 1 << 20
)

// State is what this incarnation knows about a claim.
type State string

// States of a claim, as they stand in the claimState frame.
const (
	Never   State = "never"   // not seen before; refused from now on
	NotRun  State = "notRun"  // refused earlier; will not run
	Running State = "running" // the upstream has it
	Done    State = "done"    // the upstream completed it
	Unknown State = "unknown" // the upstream broke off, or the claim is forgotten
)

// Event is an input of Table.Handle. Each names a claim by its text form.
type Event interface{ claimKey() string }

// Submitted asks whether a submitted request may be given to the upstream.
type Submitted struct{ key string }

// NewSubmitted describes a submit frame with a claimKey.
func NewSubmitted(key string) Submitted { return Submitted{key} }

// Rejected tells that admission refused the request after Run.
type Rejected struct{ key string }

// NewRejected describes a request that did not reach the upstream.
func NewRejected(key string) Rejected { return Rejected{key} }

// Finished tells that the upstream completed the request.
type Finished struct {
	key    string
	answer stored.Answer
}

// NewFinished describes a completed request.
func NewFinished(key string, a stored.Answer) Finished { return Finished{key, a} }

// Failed tells that the upstream broke off or was cancelled.
type Failed struct{ key string }

// NewFailed describes a request that may have run in part.
func NewFailed(key string) Failed { return Failed{key} }

// Asked asks what became of the claim.
type Asked struct{ key string }

// NewAsked describes a claimQuery frame.
func NewAsked(key string) Asked { return Asked{key} }

func (e Submitted) claimKey() string { return e.key }
func (e Rejected) claimKey() string  { return e.key }
func (e Finished) claimKey() string  { return e.key }
func (e Failed) claimKey() string    { return e.key }
func (e Asked) claimKey() string     { return e.key }

// Action is an output of Table.Handle.
type Action interface{ action() }

// Run permits to give the request to admission and then to the upstream.
type Run struct{}

// Refuse tells to refuse the submit.
type Refuse struct {
	notRun     bool
	superseded bool
}

// NotRun tells whether the claim was never and will never be run here.
func (r Refuse) NotRun() bool { return r.notRun }

// Superseded tells that the claim was refused because its owner asked about it,
// so that the entry must ask the owner again.
func (r Refuse) Superseded() bool { return r.superseded }

// Told answers Asked.
type Told struct {
	state  State
	answer stored.Answer
}

// State returns what became of the claim.
func (t Told) State() State { return t.state }

// Answer returns the stored answer, whose status is 0 if there is none.
func (t Told) Answer() stored.Answer { return t.answer }

func (Run) action()    {}
func (Refuse) action() {}
func (Told) action()   {}

type entry struct {
	state   State
	asked   bool // refused by a query
	answer  stored.Answer
	expires clock.Millis // 0 while running
}

// place is a claim's shard and position.
type place struct {
	shard    string
	position uint64
}

func placeOf(key string) (place, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 3 {
		return place{}, false
	}
	position, err := strconv.ParseUint(parts[1], 10, 64)
	return place{parts[0], position}, err == nil
}
