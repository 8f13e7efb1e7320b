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
	ready     bool
	config    held
	text      *text.Text
	out       held
	marks     mark.Set
	list      held
	instances []platform.Instance
}

// held is one value with its version and the deltas that lead to it, as relays
// pass it on.
type held struct {
	version uint64
	value   []byte
	history history
}

// next returns the value that follows h, with its history.
func (h held) next(version uint64, value []byte) held {
	n := held{version: version, value: value}
	if h.version != 0 && h.version != version {
		n.history = h.history.after(diff(h, n))
	}
	return n
}

// Ready tells whether the configuration is confirmed and the process may serve.
func (s *Snapshot) Ready() bool { return s.ready }

// Text returns the configuration in force, nil before the first.
func (s *Snapshot) Text() *text.Text { return s.text }

// Version returns the version of the configuration in force, 0 before the first.
func (s *Snapshot) Version() uint64 { return s.config.version }

// Out returns the marks that take data centres and instances out of service.
func (s *Snapshot) Out() mark.Set { return s.marks }

// Instances returns the lagging list sorted by name; callers must not change it.
func (s *Snapshot) Instances() []platform.Instance { return s.instances }

// IsOut tells whether an instance is out by its own mark or its data centre's.
func (s *Snapshot) IsOut(instance, dataCentre string) bool {
	return s.marks.InstanceOut(instance) || s.marks.DataCentreOut(dataCentre)
}

// withMarks returns a snapshot with marks of a later version. The same marks
// keep their version when this process read them from the platform, so that
// they are not pushed again; from a relay they take its version, so that its
// digest shows no lag.
func (s *Snapshot) withMarks(in marked) (*Snapshot, bool) {
	value := in.marks.Encode()
	if in.version <= s.out.version || (!in.relayed && bytes.Equal(value, s.out.value)) {
		return s, false
	}
	next := *s
	next.out, next.marks = s.out.next(in.version, value), in.marks
	return &next, true
}

// labelShift leaves room in a list's label for readings at one store version.
const labelShift = 20

// withList returns a snapshot with another list. The list has no version of its
// own: a source labels it with the version of the store at the time of reading,
// and raises the label when a reading at the same version differs from what it
// holds. Two lists of one label would never reach a subscriber that holds the
// other one. The same list is treated as in withMarks.
func (s *Snapshot) withList(in listed) (*Snapshot, bool) {
	sorted := slices.Clone(in.list)
	slices.SortFunc(sorted, func(a, b platform.Instance) int { return strings.Compare(a.Name(), b.Name()) })
	value, err := json.Marshal(sorted)
	if err != nil {
		return s, false
	}
	label := in.version
	if !in.relayed {
		if bytes.Equal(value, s.list.value) || in.version < s.list.version>>labelShift {
			return s, false
		}
		label = max(in.version<<labelShift, s.list.version+1)
	}
	if label <= s.list.version {
		return s, false
	}
	next := *s
	next.list, next.instances = s.list.next(label, value), sorted
	return &next, true
}

// NewSnapshot returns a ready snapshot for fakes.
func NewSnapshot(version uint64, t *text.Text, marks mark.Set, instances []platform.Instance) *Snapshot {
	return &Snapshot{ready: true, config: held{version: version}, text: t, marks: marks, instances: instances}
}
