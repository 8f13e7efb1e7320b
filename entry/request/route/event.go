package route

import "goldcrestshore/core/connection/frame"

// Event is something an entry learnt about its upstreams.
type Event interface{ event() }

// Upstream is one member of the live list.
type Upstream struct {
	name       string
	service    string
	dataCentre string
}

// NewUpstream returns a member of the live list.
func NewUpstream(name, service, dataCentre string) Upstream {
	return Upstream{name, service, dataCentre}
}

// List is the whole live list.
type List struct{ upstreams []Upstream }

// NewList returns the event of a new live list.
func NewList(upstreams []Upstream) List { return List{upstreams} }

// OutMarks is the whole set of out marks.
type OutMarks struct {
	dataCentres map[string]bool
	upstreams   map[string]bool
}

// NewOutMarks returns the event of changed out marks.
func NewOutMarks(dataCentres, upstreams []string) OutMarks {
	return OutMarks{setOf(dataCentres), setOf(upstreams)}
}

func setOf(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}

// Heartbeat is an agent's load report.
type Heartbeat struct {
	upstream string
	load     frame.Load
}

// NewHeartbeat returns the event of a load report.
func NewHeartbeat(upstream string, load frame.Load) Heartbeat { return Heartbeat{upstream, load} }

// Lost tells that the connection to an agent is gone.
type Lost struct{ upstream string }

// NewLost returns the event of a lost connection.
func NewLost(upstream string) Lost { return Lost{upstream} }

// Sent tells that a request was sent to the upstream chosen for it.
type Sent struct {
	id      frame.ID
	choice  Choice
	request Request
}

// NewSent returns the event of a sent request.
func NewSent(id frame.ID, choice Choice, request Request) Sent { return Sent{id, choice, request} }

// FirstToken tells that the first answer byte of a request arrived.
type FirstToken struct{ id frame.ID }

// NewFirstToken returns the event of a first answer byte.
func NewFirstToken(id frame.ID) FirstToken { return FirstToken{id} }

// Refused tells that the agent did not admit a request.
type Refused struct{ id frame.ID }

// NewRefused returns the event of a refused request.
func NewRefused(id frame.ID) Refused { return Refused{id} }

// Done tells that a request has ended in any other way.
type Done struct {
	id frame.ID
	ok bool
}

// NewDone returns the event of an ended request; ok tells that its answer was
// complete.
func NewDone(id frame.ID, ok bool) Done { return Done{id, ok} }

// CacheEvent tells that an engine stored or evicted a prompt prefix. Sequence
// numbers count one engine's events from 1; missing numbers are lost events.
type CacheEvent struct {
	upstream string
	sequence uint64
	hash     uint64
	stored   bool
}

// NewCacheEvent returns the event of a changed prompt-prefix cache.
func NewCacheEvent(upstream string, sequence, hash uint64, stored bool) CacheEvent {
	return CacheEvent{upstream, sequence, hash, stored}
}

func (List) event()       {}
func (OutMarks) event()   {}
func (Heartbeat) event()  {}
func (Lost) event()       {}
func (Sent) event()       {}
func (FirstToken) event() {}
func (Refused) event()    {}
func (Done) event()       {}
func (CacheEvent) event() {}
