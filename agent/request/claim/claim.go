// Package claim keeps an agent from running a keyed request twice and reports
// the state of keyed requests to entries. It performs no I/O: it receives
// events and returns actions.
//
// The key of an idempotency record has the form "shard-position-index".
// Positions of a shard only increase, so records that had to be evicted are
// covered by the highest evicted position of their shard.
package claim

import (
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/stored"
)

const (
	// recordTTL is how long a resolved record is kept with its response. It
	// exceeds the time after which the owner of the record stores the outcome.
	recordTTL = 15 * clock.Minute
	// maxRecords bounds the number of records.
	maxRecords = 4096
	// maxResponsesBytes bounds the total size of the stored responses.
	maxResponsesBytes = 1 << 20
)

// State is the state of a keyed request at this incarnation of the agent.
type State string

// States of a request, as encoded in the claimState frame.
const (
	NeverSeen State = "never"   // not seen before; refused from now on
	NotRun    State = "notRun"  // refused earlier; will not run
	Running   State = "running" // in flight at the upstream
	Done      State = "done"    // completed by the upstream
	Unknown   State = "unknown" // interrupted at the upstream, or the record was evicted
)

// Event is an input of Table.Handle. Each has the key of a record.
type Event interface{ claimKey() string }

// Submitted requests permission to send a submitted request to the upstream.
type Submitted struct{ key string }

// NewSubmitted returns the event of a submit frame with a claimKey.
func NewSubmitted(key string) Submitted { return Submitted{key} }

// Rejected reports that admission refused the request after Run.
type Rejected struct{ key string }

// NewRejected returns the event of a request that did not reach the upstream.
func NewRejected(key string) Rejected { return Rejected{key} }

// Finished reports that the upstream completed the request.
type Finished struct {
	key      string
	response stored.Response
}

// NewFinished returns the event of a completed request.
func NewFinished(key string, resp stored.Response) Finished { return Finished{key, resp} }

// Failed reports that the request was interrupted at the upstream or cancelled.
type Failed struct{ key string }

// NewFailed returns the event of a request that may have run in part.
func NewFailed(key string) Failed { return Failed{key} }

// Queried requests the state of a keyed request.
type Queried struct{ key string }

// NewQueried returns the event of a claimQuery frame.
func NewQueried(key string) Queried { return Queried{key} }

func (e Submitted) claimKey() string { return e.key }
func (e Rejected) claimKey() string  { return e.key }
func (e Finished) claimKey() string  { return e.key }
func (e Failed) claimKey() string    { return e.key }
func (e Queried) claimKey() string   { return e.key }

// Action is an output of Table.Handle.
type Action interface{ action() }

// Run permits the request to be passed to admission and then to the upstream.
type Run struct{}

// Refuse refuses the submitted request.
type Refuse struct {
	notRun     bool
	superseded bool
}

// NotRun reports whether the request has not run and never will run here.
func (r Refuse) NotRun() bool { return r.notRun }

// Superseded reports whether the request was refused because the owner of its
// record queried it first, so that the entry must query the owner again.
func (r Refuse) Superseded() bool { return r.superseded }

// StateReply is the reply to Queried.
type StateReply struct {
	state    State
	response stored.Response
}

// State returns the state of the request.
func (r StateReply) State() State { return r.state }

// Response returns the stored response, whose status is 0 if there is none.
func (r StateReply) Response() stored.Response { return r.response }

func (Run) action()        {}
func (Refuse) action()     {}
func (StateReply) action() {}

type record struct {
	state    State
	queried  bool // refused because a query arrived first
	response stored.Response
	expires  clock.Millis // 0 while running
}

// logPosition is the shard and the position of a record.
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
