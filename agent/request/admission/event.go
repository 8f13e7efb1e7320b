package admission

import (
	"goldcrestshore/core/connection/frame"
)

// Event is an input of Admission.Apply: something that happened to the upstream
// or to the agent.
type Event interface{ event() }

// Submit reports that a request has arrived.
type Submit struct {
	id    frame.ID
	terms frame.RequestOptions
	size  frame.Size
}

// NewSubmit returns the event of a request that has arrived. A higher priority
// is served first; the deadline in terms counts from the time of the event.
func NewSubmit(id frame.ID, terms frame.RequestOptions, size frame.Size) Submit {
	return Submit{id, terms, size}
}

// Cancel reports that the caller of a request has disconnected. An admitted
// request stays in flight until its Complete event.
type Cancel struct{ id frame.ID }

// NewCancel returns the event of a caller that has disconnected.
func NewCancel(id frame.ID) Cancel { return Cancel{id} }

// FirstToken reports that the first byte of a response has arrived.
type FirstToken struct{ id frame.ID }

// NewFirstToken returns the event of a first response byte.
func NewFirstToken(id frame.ID) FirstToken { return FirstToken{id} }

// Complete reports that an admitted request has ended at the upstream.
type Complete struct {
	id frame.ID
	ok bool
}

// NewComplete returns the event of a request that has ended; ok states whether
// its response was complete. Every admitted request must get one, even after a
// crash.
func NewComplete(id frame.ID, ok bool) Complete { return Complete{id, ok} }

// EngineReport is a load report of the upstream, up to reportLag old.
type EngineReport struct {
	inFlight       int
	inFlightTokens int64
	cold           bool
	incarnation    uint64
}

// NewEngineReport returns the event of a load report.
func NewEngineReport(inFlight int, inFlightTokens int64, cold bool, incarnation uint64) EngineReport {
	return EngineReport{inFlight, inFlightTokens, cold, incarnation}
}

// UpstreamCrash reports that the upstream refused a connection or aborted all
// its responses.
type UpstreamCrash struct{}

// Draining reports whether the instance is draining.
type Draining struct{ draining bool }

// NewDraining returns the event of an instance that starts or stops draining.
func NewDraining(draining bool) Draining { return Draining{draining} }

// Drained reports whether the data centre or the instance is out of service.
type Drained struct{ drained bool }

// NewDrained returns the event of a changed drain flag.
func NewDrained(drained bool) Drained { return Drained{drained} }

// GroupComplete reports whether the upstream's rank group has all its ranks.
type GroupComplete struct{ complete bool }

// NewGroupComplete returns the event of a changed rank group.
func NewGroupComplete(complete bool) GroupComplete { return GroupComplete{complete} }

// Stopping reports that the agent is shutting down.
type Stopping struct{}

// ConfigConfirmed carries the limits of the configuration in force.
type ConfigConfirmed struct{ limits Limits }

// NewConfigConfirmed returns the event of a confirmed configuration.
func NewConfigConfirmed(limits Limits) ConfigConfirmed { return ConfigConfirmed{limits} }

// Tick reports that time has passed; it is due about every 50 ms.
type Tick struct{}

func (Submit) event()          {}
func (Cancel) event()          {}
func (FirstToken) event()      {}
func (Complete) event()        {}
func (EngineReport) event()    {}
func (UpstreamCrash) event()   {}
func (Draining) event()        {}
func (Drained) event()         {}
func (GroupComplete) event()   {}
func (Stopping) event()        {}
func (ConfigConfirmed) event() {}
func (Tick) event()            {}
