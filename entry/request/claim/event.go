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

// Ask requests a claim.
type Ask struct {
	ref      Ref
	key      Key
	body     uint64
	upstream Upstream
	deadline clock.Millis
}

// NewAsk returns a request for a claim; deadline is the instant, on the
// owner's clock, after which the caller wants no answer.
func NewAsk(ref Ref, key Key, body uint64, u Upstream, deadline clock.Millis) Ask {
	return Ask{ref, key, body, u, deadline}
}

// Ref returns the sending that asks.
func (a Ask) Ref() Ref { return a.ref }

// Key returns the key to claim.
func (a Ask) Key() Key { return a.key }

// Body returns the hash of the request.
func (a Ask) Body() uint64 { return a.body }

// Upstream returns the agent chosen for the request.
func (a Ask) Upstream() Upstream { return a.upstream }

// Deadline returns the instant after which the caller wants no answer.
func (a Ask) Deadline() clock.Millis { return a.deadline }

// Report tells what became of a granted claim.
type Report struct {
	key    Key
	grant  Grant
	state  State
	answer stored.Answer
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
func (r Report) Answer() stored.Answer { return r.answer }

// Withdraw asks for the refusal of a sending whose grant the agent refused and
// that is not tried again. Another sending of the key may have been granted
// meanwhile, which only the owner knows.
type Withdraw struct {
	ref        Ref
	key        Key
	grant      Grant
	code       outcome.Code
	retryAfter int64
}

// NewWithdraw returns a request for a refusal with the code and the suggested
// wait in ms.
func NewWithdraw(ref Ref, k Key, g Grant, c outcome.Code, retryAfterMs int64) Withdraw {
	return Withdraw{ref, k, g, c, retryAfterMs}
}

// Ref returns the sending that asks.
func (w Withdraw) Ref() Ref { return w.ref }

// Key returns the claimed key.
func (w Withdraw) Key() Key { return w.key }

// Grant returns the refused claim.
func (w Withdraw) Grant() Grant { return w.grant }

// Code returns the reason for the caller.
func (w Withdraw) Code() outcome.Code { return w.code }

// RetryAfterMs returns the suggested wait.
func (w Withdraw) RetryAfterMs() int64 { return w.retryAfter }

// AgentState answers a Query.
type AgentState struct {
	key         Key
	grant       Grant
	reached     bool
	incarnation uint64
	state       State
	kept        bool
	answer      stored.Answer
}

// NewAgentState returns what the agent in the given incarnation knows of a
// claim; kept tells that answer holds the stored answer.
func NewAgentState(q Query, incarnation uint64, s State, kept bool, a stored.Answer) AgentState {
	return AgentState{q.key, q.grant, true, incarnation, s, kept, a}
}

// NewAgentUnreached tells that no answer to a Query came.
func NewAgentUnreached(q Query) AgentState { return AgentState{key: q.key, grant: q.grant} }

// EntryGone tells that an entry's incarnation has died, so that the claims it
// held are resolved without waiting.
type EntryGone struct{ entry uint64 }

// NewEntryGone returns the end of an entry's incarnation.
func NewEntryGone(entry uint64) EntryGone { return EntryGone{entry} }

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

// Listed answers a List.
type Listed struct {
	ticket  uint64
	ok      bool
	objects []Object
}

// NewListed returns all objects with the prefix asked for.
func NewListed(ticket uint64, objects []Object) Listed { return Listed{ticket, true, objects} }

// NewListFailed tells that a List got no answer.
func NewListFailed(ticket uint64) Listed { return Listed{ticket: ticket} }

// Result is the result of a conditional write.
type Result int

// Results of a write.
const (
	Took     Result = iota // the write took effect
	Conflict               // the condition did not hold
	Lost                   // no answer, or an error: it may have taken effect or do so later
)

// Wrote answers a Write.
type Wrote struct {
	ticket  uint64
	result  Result
	version uint64
}

// NewWrote returns the result of a write; version is the object's new version
// if it took effect.
func NewWrote(ticket uint64, r Result, version uint64) Wrote { return Wrote{ticket, r, version} }

// Got answers a Read.
type Got struct {
	ticket uint64
	ok     bool
	object Object
}

// NewGot returns the object read; its version is 0 if there is none.
func NewGot(ticket uint64, o Object) Got { return Got{ticket, true, o} }

// NewGetFailed tells that a Read got no answer.
func NewGetFailed(ticket uint64) Got { return Got{ticket: ticket} }

// Tick tells the time, at the latest when the last Wake asks for it.
type Tick struct{}

func (Open) event()       {}
func (Close) event()      {}
func (Ask) event()        {}
func (Report) event()     {}
func (Withdraw) event()   {}
func (AgentState) event() {}
func (EntryGone) event()  {}
func (Listed) event()     {}
func (Wrote) event()      {}
func (Got) event()        {}
func (Tick) event()       {}

// Action is an output of Owner.Handle.
type Action interface{ action() }

// Answered carries a reply to the entry that asked.
type Answered struct {
	ref   Ref
	key   Key
	reply Reply
}

// NewAnswered returns a received reply.
func NewAnswered(ref Ref, k Key, r Reply) Answered { return Answered{ref, k, r} }

// Ref returns the sending that asked.
func (a Answered) Ref() Ref { return a.ref }

// Key returns the key asked for.
func (a Answered) Key() Key { return a.key }

// Reply returns the reply.
func (a Answered) Reply() Reply { return a.reply }

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
	ticket uint64
	prefix string
}

// Ticket returns the number to put into Listed.
func (l List) Ticket() uint64 { return l.ticket }

// Prefix returns the common beginning of the names.
func (l List) Prefix() string { return l.prefix }

// Read reads one object.
type Read struct {
	ticket uint64
	name   string
}

// Ticket returns the number to put into Got.
func (r Read) Ticket() uint64 { return r.ticket }

// Name returns the object's name.
func (r Read) Name() string { return r.name }

// Write writes one object on a condition.
type Write struct {
	ticket  uint64
	name    string
	version uint64
	value   []byte
}

// Ticket returns the number to put into Wrote.
func (w Write) Ticket() uint64 { return w.ticket }

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

func (Answered) action() {}
func (Query) action()    {}
func (List) action()     {}
func (Read) action()     {}
func (Write) action()    {}
func (Wake) action()     {}
