package customer

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// Event is something that changes the queue.
type Event interface{ event() }

// Enqueue is a request that arrived.
type Enqueue struct {
	id       frame.ID
	customer string
	service  string
	cost     int64
	priority int
	deadline clock.Millis
}

// NewEnqueue returns the event of an arrived request. Cost is its work in
// tokens (see Cost); the deadline is an instant.
func NewEnqueue(id frame.ID, customer, service string, cost int64, priority int, deadline clock.Millis) Enqueue {
	return Enqueue{id, customer, service, cost, priority, deadline}
}

// FreeCapacity tells how many requests the upstreams of a service can take now.
type FreeCapacity struct {
	service string
	slots   int
}

// NewFreeCapacity returns the event of room at the upstreams of a service. It replaces
// what an earlier event left over.
func NewFreeCapacity(service string, slots int) FreeCapacity { return FreeCapacity{service, slots} }

// Complete tells that a dispatched request has ended, however it ended.
type Complete struct{ id frame.ID }

// NewComplete returns the event of an ended request.
func NewComplete(id frame.ID) Complete { return Complete{id} }

// Cancel tells that the caller of a queued request left.
type Cancel struct{ id frame.ID }

// NewCancel returns the event of a caller that left.
func NewCancel(id frame.ID) Cancel { return Cancel{id} }

// Configure brings the customers of the configuration in force.
type Configure struct{ customers []Limits }

// NewConfigure returns the event of a new configuration.
func NewConfigure(customers []Limits) Configure { return Configure{customers} }

// Shares tells what another entry measured.
type Shares struct {
	entry  string
	shares []frame.Share
}

// NewShares returns the event of another entry's shares, due every second.
func NewShares(entry string, shares []frame.Share) Shares { return Shares{entry, shares} }

// Tick lets time pass; due about every 50 ms.
type Tick struct{}

func (Enqueue) event()      {}
func (FreeCapacity) event() {}
func (Complete) event()     {}
func (Cancel) event()       {}
func (Configure) event()    {}
func (Shares) event()       {}
func (Tick) event()         {}
