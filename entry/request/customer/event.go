package customer

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// Event is an input of Queue.Apply.
type Event interface{ event() }

// Enqueue reports that a request arrived.
type Enqueue struct {
	id       frame.ID
	customer string
	service  string
	cost     int64
	priority int
	deadline clock.Millis
}

// NewEnqueue returns the event of an arrived request. The cost is in tokens (see
// Cost); deadline is a point in time, not a duration.
func NewEnqueue(id frame.ID, customer, service string, cost int64, priority int, deadline clock.Millis) Enqueue {
	return Enqueue{id, customer, service, cost, priority, deadline}
}

// FreeCapacity reports how many more requests the upstreams of a service can take
// now.
type FreeCapacity struct {
	service string
	slots   int
}

// NewFreeCapacity returns the event of free capacity at the upstreams of a
// service. It replaces the slots remaining from an earlier event.
func NewFreeCapacity(service string, slots int) FreeCapacity { return FreeCapacity{service, slots} }

// Complete reports that a dispatched request has ended, successfully or not.
type Complete struct{ id frame.ID }

// NewComplete returns the event of an ended request.
func NewComplete(id frame.ID) Complete { return Complete{id} }

// Cancel reports that the caller of a queued request disconnected.
type Cancel struct{ id frame.ID }

// NewCancel returns the event of a disconnected caller.
func NewCancel(id frame.ID) Cancel { return Cancel{id} }

// Configure replaces the configured customers.
type Configure struct{ customers []Limits }

// NewConfigure returns the event of a new configuration with the given customers.
func NewConfigure(customers []Limits) Configure { return Configure{customers} }

// Shares reports the usage that another entry measured.
type Shares struct {
	entry  string
	shares []frame.Share
}

// NewShares returns the event of shares received from another entry. Each entry
// sends them every second.
func NewShares(entry string, shares []frame.Share) Shares { return Shares{entry, shares} }

// Tick sheds late requests and removes expired state. It is expected about every
// 50 ms.
type Tick struct{}

func (Enqueue) event()      {}
func (FreeCapacity) event() {}
func (Complete) event()     {}
func (Cancel) event()       {}
func (Configure) event()    {}
func (Shares) event()       {}
func (Tick) event()         {}
