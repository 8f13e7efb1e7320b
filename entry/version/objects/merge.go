package objects

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/snapshot"
)

// Snapshot returns the set for another entry that knows the kind at a position. An entry in an
// earlier timeline needs the replaced versions, since the objects may be those of the backup.
func (s *Set) Snapshot(kind string, known snapshot.Position, wantReplaced bool) snapshot.Kind {
	out := snapshot.Kind{Name: kind, At: s.at, Unchanged: !known.Before(s.at)}
	if !out.Unchanged || s.at.Timeline < known.Timeline {
		for _, o := range s.stored {
			out.Objects = append(out.Objects, o.Object)
		}
	}
	for name, o := range s.inForce() {
		if s.stored[name].version != o.version {
			out.Retained = append(out.Retained, o.Object)
		}
	}
	if wantReplaced || known.Timeline < s.at.Timeline {
		out.Replaced = s.replaced.ordered()
	}
	return out
}

// Merge adds what another entry knows of the kind. It reports whether the objects in force
// may have changed. Objects of a later position replace those of the set. Until the set has
// settled, it also learns which versions others have seen replaced, and what they knew
// that the store has lost.
func (s *Set) Merge(now clock.Millis, k snapshot.Kind) bool {
	isLater := !s.loaded || s.at.Before(k.At)
	if !isLater && s.phase == settled {
		return false
	}
	s.change(now, func() {
		if isLater {
			s.load(now, k.Objects, k.At)
		}
		if s.phase == settled {
			return
		}
		s.mergeReplaced(now, k.Replaced)
		if k.At.Timeline < s.at.Timeline {
			s.retainAll(k.Objects)
		}
		s.retainAll(k.Retained)
	})
	return true
}

// mergeReplaced adds versions that another entry has seen replaced.
func (s *Set) mergeReplaced(now clock.Millis, versions []snapshot.Version) {
	for _, v := range versions {
		if s.written[v.Name] {
			continue
		}
		s.replaced.add(now, v)
		if s.retained[v.Name].version == v {
			delete(s.retained, v.Name)
		}
	}
}

// retainAll retains objects that another entry knew before the restore, unless a later state
// of them is known.
func (s *Set) retainAll(objects []snapshot.Object) {
	for _, o := range objects {
		known := newObject(o)
		_, found := s.retained[o.Name]
		if found || s.written[o.Name] || s.replaced.has(known.version) {
			continue
		}
		s.retained[o.Name] = known
	}
}
