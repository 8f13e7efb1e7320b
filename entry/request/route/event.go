package route

import "goldcrestshore/core/connection/frame"

// Event is an input of Table.Apply.
type Event interface{ event() }

// Upstream is a member of the list of live upstreams.
type Upstream struct {
	name       string
	service    string
	dataCentre string
}

// NewUpstream returns a member of the list of live upstreams.
func NewUpstream(name, service, dataCentre string) Upstream {
	return Upstream{name, service, dataCentre}
}

// UpstreamList replaces the list of live upstreams.
type UpstreamList struct{ upstreams []Upstream }

// NewUpstreamList returns the event for a new list of live upstreams.
func NewUpstreamList(upstreams []Upstream) UpstreamList { return UpstreamList{upstreams} }

// DrainFlags replaces the set of drained data centres and upstreams.
type DrainFlags struct {
	dataCentres map[string]bool
	upstreams   map[string]bool
}

// NewDrainFlags returns the event for a changed set of drain flags.
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

// Heartbeat is a load report of an agent.
type Heartbeat struct {
	upstream string
	load     frame.Load
}

// NewHeartbeat returns the event for a load report.
func NewHeartbeat(upstream string, load frame.Load) Heartbeat { return Heartbeat{upstream, load} }

// ConnectionLost reports that the connection to an agent was lost.
type ConnectionLost struct{ upstream string }

// NewConnectionLost returns the event for a lost connection.
func NewConnectionLost(upstream string) ConnectionLost { return ConnectionLost{upstream} }

// Sent reports that a request was sent to the upstream chosen for it.
type Sent struct {
	id      frame.ID
	choice  Choice
	request Request
}

// NewSent returns the event for a sent request.
func NewSent(id frame.ID, choice Choice, request Request) Sent { return Sent{id, choice, request} }

// FirstToken reports that the first response byte of a request was received.
type FirstToken struct{ id frame.ID }

// NewFirstToken returns the event for a first response byte.
func NewFirstToken(id frame.ID) FirstToken { return FirstToken{id} }

// Refused reports that the agent did not admit a request.
type Refused struct{ id frame.ID }

// NewRefused returns the event for a refused request.
func NewRefused(id frame.ID) Refused { return Refused{id} }

// Done reports that a request has ended other than by a refusal.
type Done struct {
	id frame.ID
	ok bool
}

// NewDone returns the event for an ended request; ok reports whether its
// response was complete.
func NewDone(id frame.ID, ok bool) Done { return Done{id, ok} }

// CacheEvent reports that an engine stored or evicted a prompt prefix. The
// events of an engine are numbered from 1; missing numbers are lost events.
type CacheEvent struct {
	upstream string
	sequence uint64
	hash     uint64
	stored   bool
}

// NewCacheEvent returns the event for a changed prompt-prefix cache.
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
