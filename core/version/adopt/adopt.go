// Package adopt decides which configuration version a process puts in force and
// when the process may serve. It performs no I/O and reads no clock.
package adopt

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/configuration"
)

const (
	// Confirmations is the number of relays whose reports replace a response of the
	// platform.
	Confirmations = 2
	// ConfirmationTimeout is how long a process waits for a second relay while calls
	// to the platform fail. It equals the time within which an accepted change must
	// be in force.
	ConfirmationTimeout = 3 * clock.Second
	// maxRelays is the maximum number of relays tracked before the process is ready.
	maxRelays = 64
)

// Event is an input of an Adopter.
type Event interface {
	event()
}

// Offer is a complete configuration with its version, received from the platform
// or from a relay.
type Offer struct {
	At      clock.Millis
	Relay   string // name of the relay's instance, empty for the platform
	Version uint64
	Value   []byte
}

// VersionReported is the version that a relay reports to have in force.
type VersionReported struct {
	At      clock.Millis
	Relay   string
	Version uint64
}

// PlatformFailed reports a failed call to the platform.
type PlatformFailed struct {
	At clock.Millis
}

// Tick reports the current time.
type Tick struct {
	At clock.Millis
}

func (Offer) event()           {}
func (VersionReported) event() {}
func (PlatformFailed) event()  {}
func (Tick) event()            {}

// Action is what the process must do in response to an event.
type Action interface {
	action()
}

// Adopt puts a configuration in force.
type Adopt struct {
	Version       uint64
	Configuration *configuration.Configuration
}

// Reject reports a version with an invalid configuration; the previous version
// stays in force.
type Reject struct {
	Version uint64
	Err     error
}

// Ready reports that the version in force is confirmed and the process may serve.
type Ready struct{}

func (Adopt) action()  {}
func (Reject) action() {}
func (Ready) action()  {}

// Adopter tracks the version in force. The zero value has none.
type Adopter struct {
	version         uint64 // in force
	rejected        uint64 // highest version with an invalid configuration
	highestReported uint64 // highest version that the platform or a relay has reported
	ready           bool

	platformConfirmed bool
	failingSince      clock.Millis
	failing           bool
	relays            map[string]bool
}

// Version returns the version in force, 0 for none.
func (a *Adopter) Version() uint64 { return a.version }

// Ready reports whether the version in force is confirmed.
func (a *Adopter) Ready() bool { return a.ready }

// Behind reports whether a version above the one in force was reported that has
// been neither received nor rejected.
func (a *Adopter) Behind() bool {
	return a.highestReported > a.version && a.highestReported > a.rejected
}

// Step handles an event and returns the actions to carry out in order.
func (a *Adopter) Step(e Event) []Action {
	switch e := e.(type) {
	case Offer:
		return a.offer(e)
	case VersionReported:
		a.recordRelay(e.Relay, e.Version)
		return a.confirm(e.At)
	case PlatformFailed:
		a.recordFailure(e.At)
		return a.confirm(e.At)
	case Tick:
		return a.confirm(e.At)
	}
	return nil
}

func (a *Adopter) offer(o Offer) []Action {
	if o.Relay == "" {
		a.platformConfirmed, a.failing = true, false
		a.highestReported = max(a.highestReported, o.Version)
	} else {
		a.recordRelay(o.Relay, o.Version)
	}
	return append(a.adopt(o), a.confirm(o.At)...)
}

// adopt puts a higher version in force. Each version is parsed only once, since a
// version always refers to the same configuration.
func (a *Adopter) adopt(o Offer) []Action {
	if o.Version <= a.version || o.Version <= a.rejected {
		return nil
	}
	parsed, err := configuration.Parse(o.Value)
	if err != nil {
		a.rejected = o.Version
		return []Action{Reject{o.Version, err}}
	}
	a.version = o.Version
	return []Action{Adopt{o.Version, parsed}}
}

// recordRelay records the version that a relay reported. The relay counts towards
// readiness unless it has no version.
func (a *Adopter) recordRelay(relay string, version uint64) {
	if version == 0 {
		return
	}
	a.highestReported = max(a.highestReported, version)
	if a.ready || len(a.relays) >= maxRelays {
		return
	}
	if a.relays == nil {
		a.relays = make(map[string]bool)
	}
	a.relays[relay] = true
}

func (a *Adopter) recordFailure(at clock.Millis) {
	if !a.failing {
		a.failing, a.failingSince = true, at
	}
}

func (a *Adopter) confirm(at clock.Millis) []Action {
	if a.ready || a.version == 0 || a.Behind() || !a.confirmed(at) {
		return nil
	}
	a.ready, a.relays = true, nil
	return []Action{Ready{}}
}

func (a *Adopter) confirmed(at clock.Millis) bool {
	if a.platformConfirmed || len(a.relays) >= Confirmations {
		return true
	}
	return a.failing && len(a.relays) > 0 && at-a.failingSince >= ConfirmationTimeout
}
