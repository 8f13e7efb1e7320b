// Package objects holds the objects of one kind of the store as an entry knows them, also
// across a restore of the store from a backup. It does no I/O and starts no goroutines;
// callers pass the current time to each call.
//
// A restored store lacks its latest changes until their writers have written them again.
// Until then an entry that has seen them does not go back to the backup:
//   - a version that has been seen replaced or deleted is not used;
//   - an object that the backup lacks, or has in such a version, stays as it was known;
//   - whatever is written after the restore is used;
//   - after a while the store is right: a replica or an operator that has not written by
//     then will not, and the record of a replica that has gone has expired.
//
// Entries that start or that were cut off know less than others. They learn from them what
// the backup lacks, see Merge.
package objects

import (
	"bytes"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/snapshot"
)

// Change is the new state of an object, or its deletion.
type Change struct {
	Object  snapshot.Object
	Deleted bool
}

// Set holds the objects of one kind. Exported fields must be set before use. It is not safe
// for concurrent use.
type Set struct {
	// SettleTime is how long after the first list of a timeline versions that were seen
	// replaced are not used.
	SettleTime clock.Millis
	// MissingTime is how long an object that the store lacks stays as it was known. It
	// is at most SettleTime.
	MissingTime clock.Millis

	loaded bool
	at     snapshot.Position
	// stored are the objects that the store has.
	stored map[string]object
	// retained are objects as they were known before a restore. They are used where the
	// store has none, or a version that was seen replaced.
	retained map[string]object
	// written are the names of objects that have been written since the first list of
	// the timeline.
	written map[string]bool
	// loadedAt is when the first list of the timeline was read.
	loadedAt clock.Millis
	phase    phase
	replaced versionLog
}

// phase tells what of a restored store is used.
type phase int

const (
	// settled means that the store's content is used as it is.
	settled phase = iota
	// settling means that versions that were seen replaced are not used.
	settling
	// reconciling is settling, and objects that the store lacks are retained.
	reconciling
)

type object struct {
	snapshot.Object
	version snapshot.Version
}

func newObject(o snapshot.Object) object {
	return object{o, snapshot.Version{Name: o.Name, Revision: o.Revision, Digest: digest(o.Content)}}
}

// digest returns a digest of JSON that does not depend on white space.
func digest(content []byte) uint64 {
	var compact bytes.Buffer
	if json.Compact(&compact, content) != nil {
		compact.Reset()
		compact.Write(content)
	}
	h := fnv.New64a()
	_, _ = h.Write(compact.Bytes()) // never returns an error
	return h.Sum64()
}

// At returns the position of the store that the set reflects.
func (s *Set) At() snapshot.Position { return s.at }

// Settled reports whether the objects in force are those of the store.
func (s *Set) Settled() bool { return s.phase == settled }

// Written reports whether the object has been written since the first list of the timeline.
// It is false once the set has settled.
func (s *Set) Written(name string) bool { return s.written[name] }

// Retained returns the number of objects in force that the store does not have.
func (s *Set) Retained() int {
	n := 0
	for name, o := range s.inForce() {
		if s.stored[name].version != o.version {
			n++
		}
	}
	return n
}

// Objects returns the objects in force, in the order of their names.
func (s *Set) Objects() []snapshot.Object {
	inForce := s.inForce()
	out := make([]snapshot.Object, 0, len(inForce))
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		out = append(out, inForce[name].Object)
	}
	return out
}

// Has reports whether an object is in force in this version.
func (s *Set) Has(o snapshot.Object) bool {
	return s.inForce()[o.Name].version == newObject(o).version
}

func (s *Set) inForce() map[string]object {
	if s.phase == settled {
		return s.stored
	}
	out := make(map[string]object, len(s.stored))
	for name, o := range s.stored {
		if !s.outdated(o) {
			out[name] = o
		}
	}
	for name, o := range s.retained {
		_, stored := s.stored[name]
		if _, used := out[name]; !used && (stored || s.phase == reconciling) {
			out[name] = o
		}
	}
	return out
}

// outdated reports whether an object of the store is a version that was seen replaced and
// that has not been written since.
func (s *Set) outdated(o object) bool { return !s.written[o.Name] && s.replaced.has(o.version) }

// Replace replaces all objects by a list of the store at a position. It reports false and
// does nothing if a later position is known.
func (s *Set) Replace(now clock.Millis, list []snapshot.Object, at snapshot.Position) bool {
	if s.loaded && at.Before(s.at) {
		return false
	}
	s.change(now, func() { s.load(now, list, at) })
	return true
}

// GiveUpPosition makes the next list of the same timeline replace all objects, whatever its
// revision, for use where the known position is wrong.
func (s *Set) GiveUpPosition() { s.at.Revision = 0 }

// load replaces all objects. What was in force is retained if the timeline is a new one.
func (s *Set) load(now clock.Millis, list []snapshot.Object, at snapshot.Position) {
	next := make(map[string]object, len(list))
	for _, o := range list {
		next[o.Name] = newObject(o)
	}
	if s.loaded && at.Timeline == s.at.Timeline {
		s.markDifferences(now, next)
	} else {
		retained := make(map[string]object)
		maps.Copy(retained, s.inForce())
		s.retained, s.written = retained, make(map[string]bool)
		s.loadedAt, s.phase = now, reconciling
	}
	s.loaded, s.at, s.stored = true, at, next
}

// markDifferences marks as written what differs in a later list of the same timeline.
func (s *Set) markDifferences(now clock.Millis, next map[string]object) {
	for name, o := range next {
		if s.stored[name].version != o.version {
			s.markWritten(now, name)
		}
	}
	for name := range s.stored {
		if _, found := next[name]; !found {
			s.markWritten(now, name)
		}
	}
}

// markWritten records that an object was written or deleted in this timeline, which replaces its
// stored version: of several changes that are applied together, only the last comes into force.
func (s *Set) markWritten(now clock.Millis, name string) {
	if old, found := s.stored[name]; found {
		s.replaced.add(now, old.version)
	}
	if s.phase != settled {
		s.written[name] = true
		delete(s.retained, name)
	}
}

// Change applies changes that the store has made up to a position. It reports false and does
// nothing unless it follows the position of the set in the same timeline.
func (s *Set) Change(now clock.Millis, changes []Change, at snapshot.Position) bool {
	if !s.loaded || at.Timeline != s.at.Timeline || at.Before(s.at) {
		return false
	}
	s.change(now, func() {
		s.at = at
		for _, c := range changes {
			name := c.Object.Name
			s.markWritten(now, name)
			s.stored[name] = newObject(c.Object)
			if c.Deleted {
				delete(s.stored, name)
			}
		}
	})
	return true
}

// Settle ends what is due. It reports whether the objects in force may have changed.
func (s *Set) Settle(now clock.Millis) bool {
	next := s.phase
	switch {
	case s.phase == settled:
		return false
	case now >= s.loadedAt+s.SettleTime:
		next = settled
	case now >= s.loadedAt+s.MissingTime:
		next = settling
	}
	if next == s.phase {
		return false
	}
	s.change(now, func() {
		s.phase = next
		if next == settled {
			s.retained, s.written = nil, nil
		}
	})
	return true
}

// change applies f and records the versions that are no longer in force as replaced, unless they
// are retained: the store may have an earlier version, which this entry has missed, in their
// place.
func (s *Set) change(now clock.Millis, f func()) {
	before := maps.Clone(s.inForce())
	f()
	after := s.inForce()
	for name, o := range before {
		if after[name].version != o.version && s.retained[name].version != o.version {
			s.replaced.add(now, o.version)
		}
	}
	for _, o := range after {
		s.replaced.remove(o.version)
	}
}
