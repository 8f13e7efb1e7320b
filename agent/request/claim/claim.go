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
	// recordTTL is how long a settled claim is remembered with its answer. It exceeds
	// the time after which the owner of the claim stores the outcome.
	recordTTL = 15 * clock.Minute
	// maxRecords bounds the claims remembered.
	maxRecords = 4096
	// maxResponsesBytes bounds all stored answers together.
	maxResponsesBytes = 1 << 20
)

// State is what this incarnation knows about a claim.
type State string

// States of a claim, as they stand in the claimState frame.
const (
	NeverSeen State = "never"   // not seen before; refused from now on
	NotRun    State = "notRun"  // refused earlier; will not run
	Running   State = "running" // the upstream has it
	Done      State = "done"    // the upstream completed it
	Unknown   State = "unknown" // the upstream broke off, or the claim is forgotten
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
	key      string
	response stored.Answer
}

// NewFinished describes a completed request.
func NewFinished(key string, a stored.Answer) Finished { return Finished{key, a} }

// Failed tells that the upstream broke off or was cancelled.
type Failed struct{ key string }

// NewFailed describes a request that may have run in part.
func NewFailed(key string) Failed { return Failed{key} }

// Queried asks what became of the claim.
type Queried struct{ key string }

// NewQueried describes a claimQuery frame.
func NewQueried(key string) Queried { return Queried{key} }

func (e Submitted) claimKey() string { return e.key }
func (e Rejected) claimKey() string  { return e.key }
func (e Finished) claimKey() string  { return e.key }
func (e Failed) claimKey() string    { return e.key }
func (e Queried) claimKey() string   { return e.key }

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

// StateReply answers Asked.
type StateReply struct {
	state    State
	response stored.Answer
}

// State returns what became of the claim.
func (t StateReply) State() State { return t.state }

// Response returns the stored answer, whose status is 0 if there is none.
func (t StateReply) Response() stored.Answer { return t.response }

func (Run) action()        {}
func (Refuse) action()     {}
func (StateReply) action() {}

type record struct {
	state          State
	refusedByQuery bool // refused by a query
	response       stored.Answer
	expires        clock.Millis // 0 while running
}

// logPosition is a claim's shard and position.
type logPosition struct {
	shard    string
	position uint64
}

func parsePosition(key string) (logPosition, bool) {
	parts := strings.Split(key, "-")
	if len(parts) != 3 {
		return logPosition{}, false
	}
	position, err := strconv.ParseUint(parts[1], 10, 64)
	return logPosition{parts[0], position}, err == nil
}
