package relay

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
)

// Snapshot is an immutable view of the values that a process holds. The fields
// config, drainFlags and instanceList are encoded; configuration, drainSet and
// instances are their decoded forms.
type Snapshot struct {
	ready         bool
	config        versionedValue
	configuration *configuration.Configuration
	drainFlags    versionedValue
	drainSet      drainflag.Set
	instanceList  versionedValue
	instances     []platform.Instance
}

// versionedValue is an encoded value with its version and the deltas that lead to
// it, in the form that relays forward.
type versionedValue struct {
	version uint64
	value   []byte
	history history
}

// next returns the value that follows held, with its history.
func (held versionedValue) next(version uint64, value []byte) versionedValue {
	n := versionedValue{version: version, value: value}
	if held.version != 0 && held.version != version {
		n.history = held.history.extend(newDelta(held, n))
	}
	return n
}

// Ready reports whether the configuration is confirmed and the process may serve.
func (s *Snapshot) Ready() bool { return s.ready }

// Configuration returns the configuration in force, nil if there is none yet.
func (s *Snapshot) Configuration() *configuration.Configuration { return s.configuration }

// ConfigurationVersion returns the version of the configuration in force, 0 if
// there is none yet.
func (s *Snapshot) ConfigurationVersion() uint64 { return s.config.version }

// DrainFlags returns the flags that take data centres and instances out of
// service.
func (s *Snapshot) DrainFlags() drainflag.Set { return s.drainSet }

// Instances returns the instance list, which may lag, sorted by name. Callers
// must not modify it.
func (s *Snapshot) Instances() []platform.Instance { return s.instances }

// IsDrained reports whether an instance is out of service by its own drain flag
// or by that of its data centre.
func (s *Snapshot) IsDrained(instance, dataCentre string) bool {
	return s.drainSet.InstanceDrained(instance) || s.drainSet.DataCentreDrained(dataCentre)
}

// withDrainFlags returns a snapshot with the drain flags of a later version, and
// whether it differs from s. Unchanged flags that this process read from the
// platform keep their version, so that they are not pushed again. Unchanged flags
// from a relay take the relay's version, so that its digest shows no lag.
func (s *Snapshot) withDrainFlags(in drainFlagsReceived) (*Snapshot, bool) {
	value := in.drainSet.Encode()
	if in.version <= s.drainFlags.version || (!in.relayed && bytes.Equal(value, s.drainFlags.value)) {
		return s, false
	}
	next := *s
	next.drainFlags, next.drainSet = s.drainFlags.next(in.version, value), in.drainSet
	return &next, true
}

// listVersionShift leaves space in the version of an instance list for several
// readings at one version of the store.
const listVersionShift = 20

// withInstances returns a snapshot with another instance list, and whether it
// differs from s. The list has no version of its own: a source derives one from
// the version of the store at the time of reading, and increments it when another
// reading at the same store version differs from the held list. If two lists had
// the same version, a subscriber that holds one would never receive the other. An
// unchanged list is treated as in withDrainFlags.
func (s *Snapshot) withInstances(in instancesReceived) (*Snapshot, bool) {
	sorted := slices.Clone(in.instanceList)
	slices.SortFunc(sorted, func(a, b platform.Instance) int { return strings.Compare(a.Name(), b.Name()) })
	value, err := json.Marshal(sorted)
	if err != nil {
		return s, false
	}
	newVersion := in.version
	if !in.relayed {
		if bytes.Equal(value, s.instanceList.value) || in.version < s.instanceList.version>>listVersionShift {
			return s, false
		}
		newVersion = max(in.version<<listVersionShift, s.instanceList.version+1)
	}
	if newVersion <= s.instanceList.version {
		return s, false
	}
	next := *s
	next.instanceList, next.instances = s.instanceList.next(newVersion, value), sorted
	return &next, true
}

// NewSnapshot returns a ready snapshot without history, for use in test fakes.
func NewSnapshot(version uint64, parsed *configuration.Configuration, drainSet drainflag.Set, instances []platform.Instance) *Snapshot {
	return &Snapshot{ready: true, config: versionedValue{version: version}, configuration: parsed, drainSet: drainSet, instances: instances}
}
