// Package peer implements authenticated connections between goldcrestshore
// processes.
package peer

import (
	"math/rand/v2"
)

// Identity identifies a process to its peers.
type Identity struct {
	role        string
	instance    string
	dataCentre  string
	incarnation uint64
}

// NewIdentity returns the identity of a process that is starting, with a random
// incarnation so that requests of an earlier process of the same instance are
// never attributed to it.
func NewIdentity(role, instance, dataCentre string) Identity {
	return Identity{role, instance, dataCentre, rand.Uint64()}
}

// Role returns the kind of program, such as "entry" or "agent".
func (i Identity) Role() string { return i.role }

// Instance returns the name of the instance.
func (i Identity) Instance() string { return i.instance }

// DataCentre returns the data centre of the instance.
func (i Identity) DataCentre() string { return i.dataCentre }

// Incarnation returns the random number generated when the process started.
func (i Identity) Incarnation() uint64 { return i.incarnation }
