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

// UpstreamList is the whole live list.
type UpstreamList struct{ upstreams []Upstream }

// NewUpstreamList returns the event of a new live list.
func NewUpstreamList(upstreams []Upstream) UpstreamList { return UpstreamList{upstreams} }

// DrainFlags is the whole set of out marks.
type DrainFlags struct {
	dataCentres map[string]bool
	upstreams   map[string]bool
}

// NewDrainFlags returns the event of changed out marks.
func NewDrainFlags(dataCentres, upstreams []string) DrainFlags {
	return DrainFlags{setOf(dataCentres), setOf(upstreams)}
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

// ConnectionLost tells that the connection to an agent is gone.
type ConnectionLost struct{ upstream string }

// NewConnectionLost returns the event of a lost connection.
func NewConnectionLost(upstream string) ConnectionLost { return ConnectionLost{upstream} }

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

func (UpstreamList) event()   {}
func (DrainFlags) event()     {}
func (Heartbeat) event()      {}
func (ConnectionLost) event() {}
func (Sent) event()           {}
func (FirstToken) event()     {}
func (Refused) event()        {}
func (Done) event()           {}
func (CacheEvent) event()     {}
