package claim

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// Event is an input of Owner.Handle.
type Event interface{ event() }

// Open makes the owner load its shard, for instance after the live list
// assigned the shard to this entry. An Acquire does the same.
type Open struct{}

// Close makes the owner release its shard to another entry. The owner writes
// the pending outcomes and then discards the shard; the event is repeated until
// Ready reports false.
type Close struct{}

// Acquire requests the permission to run the request of a key.
type Acquire struct {
	attempt  AttemptID
	key      Key
	body     uint64 // hash of the request
	upstream Upstream
	deadline clock.Millis
}

// NewAcquire returns a request for a grant. The caller accepts no reply after
// deadline, an instant on the owner's clock.
func NewAcquire(attempt AttemptID, key Key, body uint64, u Upstream, deadline clock.Millis) Acquire {
	return Acquire{attempt, key, body, u, deadline}
}

// AttemptID returns the attempt that requests the grant.
func (a Acquire) AttemptID() AttemptID { return a.attempt }

// Key returns the key to claim.
func (a Acquire) Key() Key { return a.key }

// Body returns the hash of the request.
func (a Acquire) Body() uint64 { return a.body }

// Upstream returns the agent chosen for the request.
func (a Acquire) Upstream() Upstream { return a.upstream }

// Deadline returns the instant after which the caller accepts no reply.
func (a Acquire) Deadline() clock.Millis { return a.deadline }

// Report states the outcome of a granted request.
type Report struct {
	key      Key
	grant    Grant
	state    State
	response stored.Response
}

// NewReport returns a report. The state is NotRun only if the agent refused the
// request and will not run it later, Done with the response (status 0 if it is
// too large to be stored), or Unknown.
func NewReport(k Key, g Grant, s State, resp stored.Response) Report { return Report{k, g, s, resp} }

// Key returns the claimed key.
func (r Report) Key() Key { return r.key }

// Grant returns the grant that the report is about.
func (r Report) Grant() Grant { return r.grant }

// State returns the reported state.
func (r Report) State() State { return r.state }

// Response returns the response if the state is Done.
func (r Report) Response() stored.Response { return r.response }

// Withdraw requests the refusal of an attempt whose grant the agent refused and
// that is not retried. Another attempt with the key may have been granted in
// the meantime, which only the owner can determine.
type Withdraw struct {
	attempt      AttemptID
	key          Key
	grant        Grant
	code         outcome.Code
	retryAfterMs int64
}

// NewWithdraw returns a request for a refusal with the given code and suggested
// wait.
func NewWithdraw(attempt AttemptID, k Key, g Grant, c outcome.Code, retryAfterMs int64) Withdraw {
	return Withdraw{attempt, k, g, c, retryAfterMs}
}

// AttemptID returns the attempt to withdraw.
func (w Withdraw) AttemptID() AttemptID { return w.attempt }

// Key returns the claimed key.
func (w Withdraw) Key() Key { return w.key }

// Grant returns the grant that the agent refused.
func (w Withdraw) Grant() Grant { return w.grant }

// Code returns the refusal code for the caller.
func (w Withdraw) Code() outcome.Code { return w.code }

// RetryAfterMs returns the wait suggested to the caller.
func (w Withdraw) RetryAfterMs() int64 { return w.retryAfterMs }

// AgentState is the result of a Query.
type AgentState struct {
	key         Key
	grant       Grant
	reachable   bool
	incarnation uint64
	state       State
	hasResponse bool
	response    stored.Response
}

// NewAgentState returns the state that the agent in the given incarnation
// reports for a grant; hasResponse reports whether resp holds the stored response.
func NewAgentState(q Query, incarnation uint64, s State, hasResponse bool, resp stored.Response) AgentState {
	return AgentState{q.key, q.grant, true, incarnation, s, hasResponse, resp}
}

// NewAgentUnreachable returns the result of a Query that received no reply.
func NewAgentUnreachable(q Query) AgentState { return AgentState{key: q.key, grant: q.grant} }

// EntryTerminated states that an entry's incarnation has ended, so that the
// owner resolves its grants without waiting for a report.
type EntryTerminated struct{ entry uint64 }

// NewEntryTerminated returns the event for the end of an entry's incarnation.
func NewEntryTerminated(entry uint64) EntryTerminated { return EntryTerminated{entry} }

// Object is an object in the platform's object API.
type Object struct {
	name    string
	version uint64
	value   []byte
}

// NewObject returns an object that was read from the platform.
func NewObject(name string, version uint64, value []byte) Object {
	return Object{name, version, value}
}

// Name returns the object's name within its kind.
func (o Object) Name() string { return o.name }

// Version returns the object's version, or 0 if the object does not exist.
func (o Object) Version() uint64 { return o.version }

// Value returns the stored bytes.
func (o Object) Value() []byte { return o.value }

// ListResult is the result of a List.
type ListResult struct {
	callID  uint64
	ok      bool
	objects []Object
}

// NewListResult returns all objects with the requested prefix.
func NewListResult(callID uint64, objects []Object) ListResult {
	return ListResult{callID, true, objects}
}

// NewListFailed returns the result of a List that received no response.
func NewListFailed(callID uint64) ListResult { return ListResult{callID: callID} }

// WriteStatus is the status of a conditional write.
type WriteStatus int

// Write statuses.
const (
	Applied       WriteStatus = iota // the write took effect
	Conflict                         // the condition was not met
	Indeterminate                    // no response, or an error: it may have taken effect or still do so
)

// WriteResult is the result of a Write.
type WriteResult struct {
	callID  uint64
	status  WriteStatus
	version uint64
}

// NewWriteResult returns the result of a write; version is the object's new
// version if the write took effect.
func NewWriteResult(callID uint64, s WriteStatus, version uint64) WriteResult {
	return WriteResult{callID, s, version}
}

// ReadResult is the result of a Read.
type ReadResult struct {
	callID uint64
	ok     bool
	object Object
}

// NewReadResult returns the object that was read; its version is 0 if it does
// not exist.
func NewReadResult(callID uint64, o Object) ReadResult { return ReadResult{callID, true, o} }

// NewReadFailed returns the result of a Read that received no response.
func NewReadFailed(callID uint64) ReadResult { return ReadResult{callID: callID} }

// Tick signals that time has passed. It is due no later than the instant of the
// last Wake.
type Tick struct{}

func (Open) event()            {}
func (Close) event()           {}
func (Acquire) event()         {}
func (Report) event()          {}
func (Withdraw) event()        {}
func (AgentState) event()      {}
func (EntryTerminated) event() {}
func (ListResult) event()      {}
func (WriteResult) event()     {}
func (ReadResult) event()      {}
func (Tick) event()            {}

// Action is an output of Owner.Handle.
type Action interface{ action() }

// OwnerReply carries a Reply to the entry that sent the Acquire or Withdraw.
type OwnerReply struct {
	attempt AttemptID
	key     Key
	reply   Reply
}

// NewOwnerReply returns a received reply.
func NewOwnerReply(attempt AttemptID, k Key, r Reply) OwnerReply { return OwnerReply{attempt, k, r} }

// AttemptID returns the attempt that the reply is for.
func (r OwnerReply) AttemptID() AttemptID { return r.attempt }

// Key returns the key that the reply is for.
func (r OwnerReply) Key() Key { return r.key }

// Reply returns the owner's decision.
func (r OwnerReply) Reply() Reply { return r.reply }

// Query requests the state of a grant from the agent that its record names.
type Query struct {
	key      Key
	grant    Grant
	upstream Upstream
}

// Key returns the key of the record.
func (q Query) Key() Key { return q.key }

// Grant returns the grant to query.
func (q Query) Grant() Grant { return q.grant }

// Upstream returns the agent to query.
func (q Query) Upstream() Upstream { return q.upstream }

// List reads all objects whose names have a prefix.
type List struct {
	callID uint64
	prefix string
}

// CallID returns the ID to repeat in the ListResult.
func (l List) CallID() uint64 { return l.callID }

// Prefix returns the prefix.
func (l List) Prefix() string { return l.prefix }

// Read reads one object.
type Read struct {
	callID uint64
	name   string
}

// CallID returns the ID to repeat in the ReadResult.
func (r Read) CallID() uint64 { return r.callID }

// Name returns the object's name.
func (r Read) Name() string { return r.name }

// Write writes one object conditionally.
type Write struct {
	callID  uint64
	name    string
	version uint64
	value   []byte
}

// CallID returns the ID to repeat in the WriteResult.
func (w Write) CallID() uint64 { return w.callID }

// Name returns the object's name.
func (w Write) Name() string { return w.name }

// Version returns the version to replace; 0 creates the object, which must not
// exist yet.
func (w Write) Version() uint64 { return w.version }

// Value returns the bytes to store.
func (w Write) Value() []byte { return w.value }

// Wake requests a Tick at an instant.
type Wake struct{ at clock.Millis }

// At returns the instant.
func (w Wake) At() clock.Millis { return w.at }

func (OwnerReply) action() {}
func (Query) action()      {}
func (List) action()       {}
func (Read) action()       {}
func (Write) action()      {}
func (Wake) action()       {}
