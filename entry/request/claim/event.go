package claim

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// Event is an input of Owner.Handle.
type Event interface{ event() }

// Open tells the owner to load its shard, for instance after the live list
// assigned it to this entry. An Ask does the same.
type Open struct{}

// Close tells the owner that another entry should hold its shard. It writes the
// outcomes that wait and then forgets the shard; the event is repeated until
// Ready reports false.
type Close struct{}

// Acquire requests a claim.
type Acquire struct {
	attempt  AttemptID
	key      Key
	body     uint64
	upstream Upstream
	deadline clock.Millis
}

// NewAcquire returns a request for a claim; deadline is the instant, on the
// owner's clock, after which the caller wants no answer.
func NewAcquire(attempt AttemptID, key Key, body uint64, u Upstream, deadline clock.Millis) Acquire {
	return Acquire{attempt, key, body, u, deadline}
}

// AttemptID returns the sending that asks.
func (a Acquire) AttemptID() AttemptID { return a.attempt }

// Key returns the key to claim.
func (a Acquire) Key() Key { return a.key }

// Body returns the hash of the request.
func (a Acquire) Body() uint64 { return a.body }

// Upstream returns the agent chosen for the request.
func (a Acquire) Upstream() Upstream { return a.upstream }

// Deadline returns the instant after which the caller wants no answer.
func (a Acquire) Deadline() clock.Millis { return a.deadline }

// Report tells what became of a granted claim.
type Report struct {
	key      Key
	grant    Grant
	state    State
	response stored.Answer
}

// NewReport returns a report. State is NotRun only if the agent refused the
// claim and will not run it later, Done with the answer (status 0 if it is too
// large to be stored), or Unknown.
func NewReport(k Key, g Grant, s State, a stored.Answer) Report { return Report{k, g, s, a} }

// Key returns the claimed key.
func (r Report) Key() Key { return r.key }

// Grant returns the claim.
func (r Report) Grant() Grant { return r.grant }

// State returns what became of the claim.
func (r Report) State() State { return r.state }

// Answer returns the answer when the state is Done.
func (r Report) Answer() stored.Answer { return r.response }

// Withdraw asks for the refusal of a sending whose grant the agent refused and
// that is not tried again. Another sending of the key may have been granted
// meanwhile, which only the owner knows.
type Withdraw struct {
	attempt      AttemptID
	key          Key
	grant        Grant
	code         outcome.Code
	retryAfterMs int64
}

// NewWithdraw returns a request for a refusal with the code and the suggested
// wait in ms.
func NewWithdraw(attempt AttemptID, k Key, g Grant, c outcome.Code, retryAfterMs int64) Withdraw {
	return Withdraw{attempt, k, g, c, retryAfterMs}
}

// AttemptID returns the sending that asks.
func (w Withdraw) AttemptID() AttemptID { return w.attempt }

// Key returns the claimed key.
func (w Withdraw) Key() Key { return w.key }

// Grant returns the refused claim.
func (w Withdraw) Grant() Grant { return w.grant }

// Code returns the reason for the caller.
func (w Withdraw) Code() outcome.Code { return w.code }

// RetryAfterMs returns the suggested wait.
func (w Withdraw) RetryAfterMs() int64 { return w.retryAfterMs }

// AgentState answers a Query.
type AgentState struct {
	key         Key
	grant       Grant
	reachable   bool
	incarnation uint64
	state       State
	hasResponse bool
	response    stored.Answer
}

// NewAgentState returns what the agent in the given incarnation knows of a
// claim; kept tells that answer holds the stored answer.
func NewAgentState(q Query, incarnation uint64, s State, hasResponse bool, a stored.Answer) AgentState {
	return AgentState{q.key, q.grant, true, incarnation, s, hasResponse, a}
}

// NewAgentUnreachable tells that no answer to a Query came.
func NewAgentUnreachable(q Query) AgentState { return AgentState{key: q.key, grant: q.grant} }

// EntryTerminated tells that an entry's incarnation has died, so that the claims it
// held are resolved without waiting.
type EntryTerminated struct{ entry uint64 }

// NewEntryTerminated returns the end of an entry's incarnation.
func NewEntryTerminated(entry uint64) EntryTerminated { return EntryTerminated{entry} }

// Object is an object of the platform.
type Object struct {
	name    string
	version uint64
	value   []byte
}

// NewObject returns an object read from the platform.
func NewObject(name string, version uint64, value []byte) Object {
	return Object{name, version, value}
}

// Name returns the name within the kind.
func (o Object) Name() string { return o.name }

// Version returns the version, 0 if the object does not exist.
func (o Object) Version() uint64 { return o.version }

// Value returns the stored bytes.
func (o Object) Value() []byte { return o.value }

// ListResult answers a List.
type ListResult struct {
	callID  uint64
	ok      bool
	objects []Object
}

// NewListResult returns all objects with the prefix asked for.
func NewListResult(callID uint64, objects []Object) ListResult {
	return ListResult{callID, true, objects}
}

// NewListFailed tells that a List got no answer.
func NewListFailed(callID uint64) ListResult { return ListResult{callID: callID} }

// WriteStatus is the result of a conditional write.
type WriteStatus int

// Results of a write.
const (
	Applied       WriteStatus = iota // the write took effect
	Conflict                         // the condition did not hold
	Indeterminate                    // no answer, or an error: it may have taken effect or do so later
)

// WriteResult answers a Write.
type WriteResult struct {
	callID  uint64
	status  WriteStatus
	version uint64
}

// NewWriteResult returns the result of a write; version is the object's new version
// if it took effect.
func NewWriteResult(callID uint64, s WriteStatus, version uint64) WriteResult {
	return WriteResult{callID, s, version}
}

// ReadResult answers a Read.
type ReadResult struct {
	callID uint64
	ok     bool
	object Object
}

// NewReadResult returns the object read; its version is 0 if there is none.
func NewReadResult(callID uint64, o Object) ReadResult { return ReadResult{callID, true, o} }

// NewReadFailed tells that a Read got no answer.
func NewReadFailed(callID uint64) ReadResult { return ReadResult{callID: callID} }

// Tick tells the time, at the latest when the last Wake asks for it.
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

// OwnerReply carries a reply to the entry that asked.
type OwnerReply struct {
	attempt AttemptID
	key     Key
	reply   Reply
}

// NewOwnerReply returns a received reply.
func NewOwnerReply(attempt AttemptID, k Key, r Reply) OwnerReply { return OwnerReply{attempt, k, r} }

// AttemptID returns the sending that asked.
func (a OwnerReply) AttemptID() AttemptID { return a.attempt }

// Key returns the key asked for.
func (a OwnerReply) Key() Key { return a.key }

// Reply returns the reply.
func (a OwnerReply) Reply() Reply { return a.reply }

// Query asks the agent that a claim names what became of it.
type Query struct {
	key      Key
	grant    Grant
	upstream Upstream
}

// Grant returns the claim.
// Key returns the claimed key.
func (q Query) Key() Key { return q.key }

func (q Query) Grant() Grant { return q.grant }

// Upstream returns the agent to ask.
func (q Query) Upstream() Upstream { return q.upstream }

// List reads all objects whose names begin with a prefix.
type List struct {
	callID uint64
	prefix string
}

// CallID returns the number to put into Listed.
func (l List) CallID() uint64 { return l.callID }

// Prefix returns the common beginning of the names.
func (l List) Prefix() string { return l.prefix }

// Read reads one object.
type Read struct {
	callID uint64
	name   string
}

// CallID returns the number to put into Got.
func (r Read) CallID() uint64 { return r.callID }

// Name returns the object's name.
func (r Read) Name() string { return r.name }

// Write writes one object on a condition.
type Write struct {
	callID  uint64
	name    string
	version uint64
	value   []byte
}

// CallID returns the number to put into Wrote.
func (w Write) CallID() uint64 { return w.callID }

// Name returns the object's name.
func (w Write) Name() string { return w.name }

// Version returns the version to replace; 0 means that the object is created
// and must not exist.
func (w Write) Version() uint64 { return w.version }

// Value returns the bytes to store.
func (w Write) Value() []byte { return w.value }

// Wake asks for a Tick at an instant.
type Wake struct{ at clock.Millis }

// At returns the instant.
func (w Wake) At() clock.Millis { return w.at }

func (OwnerReply) action() {}
func (Query) action()      {}
func (List) action()       {}
func (Read) action()       {}
func (Write) action()      {}
func (Wake) action()       {}
