// Package drainflag defines the drain flags: objects in the platform's store that take
// data centres and instances out of service.
package drainflag

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrMalformed is the cause of an error of Parse.
var ErrMalformed = errors.New("set of drain flags is malformed")

const (
	dataCentrePrefix = "datacentre."
	instancePrefix   = "instance."
)

// DataCentre returns the name of the drain flag of a data centre.
func DataCentre(name string) string { return dataCentrePrefix + name }

// Instance returns the name of the drain flag of an instance.
func Instance(name string) string { return instancePrefix + name }

// Set is the set of drain flags in force at one version of the platform's store.
// The zero value is an empty set.
type Set struct {
	names map[string]bool
}

// NewSet returns a set of the flags with the given names.
func NewSet(names ...string) Set {
	s := Set{make(map[string]bool, len(names))}
	for _, name := range names {
		s.names[name] = true
	}
	return s
}

// DataCentreDrained reports whether a data centre is drained.
func (s Set) DataCentreDrained(name string) bool { return s.names[DataCentre(name)] }

// InstanceDrained reports whether an instance has a drain flag of its own.
func (s Set) InstanceDrained(name string) bool { return s.names[Instance(name)] }

// DataCentres returns the sorted names of the drained data centres.
func (s Set) DataCentres() []string { return s.namesWithoutPrefix(dataCentrePrefix) }

// Instances returns the sorted names of the instances with a drain flag.
func (s Set) Instances() []string { return s.namesWithoutPrefix(instancePrefix) }

// namesWithoutPrefix returns the sorted names of the flags that have a prefix,
// without the prefix.
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

// Names returns the sorted names of all flags.
func (s Set) Names() []string {
	names := make([]string, 0, len(s.names))
	for name := range s.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Encode returns the set in the encoding that relays forward. Equal sets have
// equal encodings.
func (s Set) Encode() []byte {
	raw, err := json.Marshal(s.Names())
	if err != nil {
		panic(err) // encoding a list of strings cannot fail
	}
	return raw
}

// Parse decodes a set encoded by Encode.
func Parse(raw []byte) (Set, error) {
	var names []string
	if err := json.Unmarshal(raw, &names); err != nil {
		return Set{}, errors.Wrapf(ErrMalformed, "%v", err)
	}
	return NewSet(names...), nil
}
