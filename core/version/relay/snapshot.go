package relay

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/version/mark"
	"goldcrestshore/core/version/text"
)

// Snapshot is what a process holds at one moment. It does not change.
type Snapshot struct {
	ready           bool
	configValue     versionedValue
	configuration   *text.Text
	drainFlagsValue versionedValue
	drainFlags      mark.Set
	instancesValue  versionedValue
	instances       []platform.Instance
}

// versionedValue is one value with its version and the deltas that lead to it, as relays
// pass it on.
type versionedValue struct {
	version uint64
	value   []byte
	history history
}

// next returns the value that follows h, with its history.
func (held versionedValue) next(version uint64, value []byte) versionedValue {
	n := versionedValue{version: version, value: value}
	if held.version != 0 && held.version != version {
		n.history = held.history.extend(newDelta(held, n))
	}
	return n
}

// Ready tells whether the configuration is confirmed and the process may serve.
func (s *Snapshot) Ready() bool { return s.ready }

// Configuration returns the configuration in force, nil before the first.
func (s *Snapshot) Configuration() *text.Text { return s.configuration }

// ConfigVersion returns the version of the configuration in force, 0 before the first.
func (s *Snapshot) ConfigVersion() uint64 { return s.configValue.version }

// DrainFlags returns the marks that take data centres and instances out of service.
func (s *Snapshot) DrainFlags() mark.Set { return s.drainFlags }

// Instances returns the lagging list sorted by name; callers must not change it.
func (s *Snapshot) Instances() []platform.Instance { return s.instances }

// IsDrained tells whether an instance is out by its own mark or its data centre's.
func (s *Snapshot) IsDrained(instance, dataCentre string) bool {
	return s.drainFlags.InstanceOut(instance) || s.drainFlags.DataCentreOut(dataCentre)
}

// withDrainFlags returns a snapshot with marks of a later version. The same marks
// keep their version when this process read them from the platform, so that
// they are not pushed again; from a relay they take its version, so that its
// digest shows no lag.
func (s *Snapshot) withDrainFlags(in drainFlagsReceived) (*Snapshot, bool) {
	value := in.drainFlags.Encode()
	if in.version <= s.drainFlagsValue.version || (!in.relayed && bytes.Equal(value, s.drainFlagsValue.value)) {
		return s, false
	}
	next := *s
	next.drainFlagsValue, next.drainFlags = s.drainFlagsValue.next(in.version, value), in.drainFlags
	return &next, true
}

// listVersionShift leaves room in a list's label for readings at one store version.
const listVersionShift = 20

// withInstances returns a snapshot with another list. The list has no version of its
// own: a source labels it with the version of the store at the time of reading,
// and raises the label when a reading at the same version differs from what it
// holds. Two lists of one label would never reach a subscriber that holds the
// other one. The same list is treated as in withMarks.
func (s *Snapshot) withInstances(in instancesReceived) (*Snapshot, bool) {
	sorted := slices.Clone(in.instances)
	slices.SortFunc(sorted, func(a, b platform.Instance) int { return strings.Compare(a.Name(), b.Name()) })
	value, err := json.Marshal(sorted)
	if err != nil {
		return s, false
	}
	version := in.version
	if !in.relayed {
		if bytes.Equal(value, s.instancesValue.value) || in.version < s.instancesValue.version>>listVersionShift {
			return s, false
		}
		version = max(in.version<<listVersionShift, s.instancesValue.version+1)
	}
	if version <= s.instancesValue.version {
		return s, false
	}
	next := *s
	next.instancesValue, next.instances = s.instancesValue.next(version, value), sorted
	return &next, true
}

// NewSnapshot returns a ready snapshot for fakes.
func NewSnapshot(version uint64, configuration *text.Text, drainFlags mark.Set, instances []platform.Instance) *Snapshot {
	return &Snapshot{ready: true, configValue: versionedValue{version: version}, configuration: configuration, drainFlags: drainFlags, instances: instances}
}
