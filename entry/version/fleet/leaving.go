package fleet

// maxLeaving bounds the incarnations of which it is remembered that they leave.
const maxLeaving = 4096

// leaving remembers which incarnations of upstreams leave, also while their registrations are gone
// or are read again from before. An incarnation that leaves never returns to service; another start
// of the upstream does. The zero value is ready to use.
type leaving struct {
	startTimes map[string]int64
	// order holds the IDs in the order in which they were added.
	order []string
}

// add remembers an incarnation and reports whether it was not known.
func (l *leaving) add(id string, startTime int64) bool {
	if l.has(id, startTime) {
		return false
	}
	if l.startTimes == nil {
		l.startTimes = make(map[string]int64)
	}
	if _, found := l.startTimes[id]; !found {
		l.order = append(l.order, id)
	}
	l.startTimes[id] = startTime
	if len(l.order) > maxLeaving {
		delete(l.startTimes, l.order[0])
		l.order = l.order[1:]
	}
	return true
}

// has reports whether an incarnation leaves.
func (l *leaving) has(id string, startTime int64) bool {
	known, found := l.startTimes[id]
	return found && known == startTime
}

// MarkLeaving takes an incarnation of an upstream out of service for good, since it has said that it
// leaves. It reports whether that was not known.
func (s *State) MarkLeaving(id string, startTime int64) bool {
	isNew := false
	s.update(func(v *View) bool {
		isNew = s.leaving.add(id, startTime)
		u := v.upstreams[id]
		if u == nil || u.Draining || u.StartTime != startTime {
			return false
		}
		v.upstreams = cloned(v.upstreams)
		v.upstreams[id] = drained(u)
		return true
	})
	return isNew
}

// drained returns a copy of a registration that is draining.
func drained(u *Upstream) *Upstream {
	out := *u
	out.Draining = true
	return &out
}
