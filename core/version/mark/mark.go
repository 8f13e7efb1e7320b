// Package mark names the objects that take data centres and instances out of
// service, and holds the set of marks in force.
package mark

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed reports a set that Parse cannot read.
var ErrMalformed = errors.New("set of out marks is malformed")

const (
	dataCentrePrefix = "datacentre."
	instancePrefix   = "instance."
)

// DataCentre returns the name of the mark that takes a data centre out.
func DataCentre(name string) string { return dataCentrePrefix + name }

// Instance returns the name of the mark that takes an instance out.
func Instance(name string) string { return instancePrefix + name }

// Set is the marks in force at one version of the platform's store. The zero
// value has no marks.
type Set struct {
	names map[string]bool
}

// NewSet returns a set of mark names.
func NewSet(names ...string) Set {
	s := Set{make(map[string]bool, len(names))}
	for _, name := range names {
		s.names[name] = true
	}
	return s
}

// DataCentreDrained tells whether a data centre is out of service.
func (s Set) DataCentreDrained(name string) bool { return s.names[DataCentre(name)] }

// InstanceDrained tells whether an instance is out by its own mark.
func (s Set) InstanceDrained(name string) bool { return s.names[Instance(name)] }

// DataCentres returns the names of the data centres that are out, sorted.
func (s Set) DataCentres() []string { return s.namesWithoutPrefix(dataCentrePrefix) }

// Instances returns the names of the instances that are out, sorted.
func (s Set) Instances() []string { return s.namesWithoutPrefix(instancePrefix) }

func (s Set) namesWithoutPrefix(prefix string) []string {
	var found []string
	for name := range s.names {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			found = append(found, rest)
		}
	}
	slices.Sort(found)
	return found
}

// Names returns the names of all marks, sorted.
func (s Set) Names() []string {
	names := make([]string, 0, len(s.names))
	for name := range s.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Encode returns the set as relays pass it on. Equal sets have equal encodings.
func (s Set) Encode() []byte {
	raw, err := json.Marshal(s.Names())
	if err != nil {
		panic(err) // a list of strings always has an encoding
	}
	return raw
}

// Parse reads what Encode wrote.
func Parse(raw []byte) (Set, error) {
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		return Set{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return NewSet(names...), nil
}
