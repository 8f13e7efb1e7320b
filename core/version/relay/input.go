package relay

import (
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/drainflag"
)

// input is a message from another goroutine to the main loop.
type input interface {
	input()
}

// configReceived is a configuration; relay is empty if it is from the platform.
type configReceived struct {
	relay   string
	version uint64
	value   []byte
}

// versionReported is the configuration version that a relay has in force.
type versionReported struct {
	relay   string
	version uint64
}

// drainFlagsReceived is the set of drain flags at a version.
type drainFlagsReceived struct {
	version  uint64
	drainSet drainflag.Set
	relayed  bool
}

// instancesReceived is the instance list.
type instancesReceived struct {
	version      uint64
	instanceList []platform.Instance
	relayed      bool
}

// frameReceived is a value or a delta from a relay.
type frameReceived struct {
	from   *subscription
	update *frame.Version
}

// platformCallFailed is a failed call to the platform.
type platformCallFailed struct {
	err error
}

// subscriptionEnded is a subscription whose connection ended or could not be
// established.
type subscriptionEnded struct {
	from *subscription
	err  error
}

// subscribersChanged reports that the first subscriber connected or the last one
// disconnected.
type subscribersChanged struct{}

func (configReceived) input()     {}
func (versionReported) input()    {}
func (drainFlagsReceived) input() {}
func (instancesReceived) input()  {}
func (frameReceived) input()      {}
func (platformCallFailed) input() {}
func (subscriptionEnded) input()  {}
func (subscribersChanged) input() {}
