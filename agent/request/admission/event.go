package admission

import (
	"goldcrestshore/core/connection/frame"
)

// Event is something that happened to the upstream or to the agent.
type Event interface{ event() }

// Submit is a request that asks to run.
type Submit struct {
	id    frame.ID
	terms frame.Terms
	size  frame.Size
}

// NewSubmit returns the event of a request that arrived. A higher priority is
// served first; the deadline in terms counts from the instant of the event.
func NewSubmit(id frame.ID, terms frame.Terms, size frame.Size) Submit {
	return Submit{id, terms, size}
}

// Cancel tells that the caller of a request left. Work that was admitted stays
// held until its Complete.
type Cancel struct{ id frame.ID }

// NewCancel returns the event of a caller that left.
func NewCancel(id frame.ID) Cancel { return Cancel{id} }

// FirstToken tells that the first answer byte of a request arrived.
type FirstToken struct{ id frame.ID }

// NewFirstToken returns the event of a first answer byte.
func NewFirstToken(id frame.ID) FirstToken { return FirstToken{id} }

// Complete tells that an admitted request has ended at the upstream.
type Complete struct {
	id frame.ID
	ok bool
}

// NewComplete returns the event of an ended request; ok tells that its answer
// was complete. Every admitted request must get one, crash or not.
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

// UpstreamCrash tells that the upstream refused a connection or broke off all
// its answers.
type UpstreamCrash struct{}

// Draining tells whether the instance is leaving service.
type Draining struct{ draining bool }

// NewDraining returns the event of an instance that leaves or stays.
func NewDraining(draining bool) Draining { return Draining{draining} }

// Drained tells whether the data centre or the instance is out of service.
type Drained struct{ drained bool }

// NewDrained returns the event of a changed out mark.
func NewDrained(drained bool) Drained { return Drained{drained} }

// GroupComplete tells whether the upstream's rank group has all its ranks.
type GroupComplete struct{ complete bool }

// NewGroupComplete returns the event of a changed rank group.
func NewGroupComplete(complete bool) GroupComplete { return GroupComplete{complete} }

// Stopping tells that the agent shuts down.
type Stopping struct{}

// ConfigConfirmed brings the limits of the configuration in force.
type ConfigConfirmed struct{ limits Limits }

// NewConfigConfirmed returns the event of a confirmed configuration.
func NewConfigConfirmed(limits Limits) ConfigConfirmed { return ConfigConfirmed{limits} }

// Tick lets time pass; due about every 50 ms.
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
