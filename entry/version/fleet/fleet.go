// Package fleet holds an entry's state of the fleet: the configuration, the
// registered upstreams and the drained data centres.
package fleet

import (
	"maps"
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
)

// Upstream is the registration of one incarnation of an upstream.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining reports whether it is shutting down and takes no new work.
	Draining bool
	// ColdRemaining is how long it was still cold when it wrote its registration.
	ColdRemaining clock.Millis
	// FirstSeenAt is when the registration was first read with this content.
	FirstSeenAt clock.Millis
	// StartTime is when it started, in Unix milliseconds by its own clock, 0 if
	// unknown.
	StartTime int64
}

// Cold reports whether the upstream is still cold.
func (u *Upstream) Cold(now clock.Millis) bool {
	return u.ColdRemaining > 0 && now < u.FirstSeenAt+u.ColdRemaining
}

// View is a snapshot of the state. It is immutable.
type View struct {
	config    *config.Config
	upstreams map[string]*Upstream
	drained   map[string]bool
	// newest holds, by address, the registration that started last.
	newest           map[string]*Upstream
	drainFlagsLoaded bool
}

// Config returns the configuration in force, or nil before the first one.
func (v *View) Config() *config.Config { return v.config }

// Upstreams returns the upstreams by ID; callers must not change the map.
func (v *View) Upstreams() map[string]*Upstream { return v.upstreams }

// Drained reports whether a data centre takes no new work.
func (v *View) Drained(dataCentre string) bool { return v.drained[dataCentre] }

// Complete reports whether the configuration, the upstreams and the drain flags
// have all been loaded.
func (v *View) Complete() bool { return v.config != nil && v.upstreams != nil && v.drainFlagsLoaded }

// Usable reports whether new work may go to the upstream.
func (v *View) Usable(u *Upstream) bool {
	return !u.Draining && !v.drained[u.DataCentre] && !v.Superseded(u)
}

// Superseded reports whether another upstream that is part of the configuration has
// started later at the same address. The registration of an upstream that crashed
// remains until its heartbeats have been missed.
func (v *View) Superseded(u *Upstream) bool {
	newest := v.newest[u.Address]
	return newest != nil && newest.StartTime > u.StartTime && v.config != nil && v.config.Service(newest.Service) != nil
}

// State holds the latest view. It is safe for concurrent use.
type State struct {
	mu        sync.Mutex
	view      *View
	listeners []func(*View)
	leaving   leaving
}

// New returns an empty state.
func New() *State { return &State{view: &View{}} }

// View returns the latest view.
func (s *State) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// OnChange registers a function that is called with each new view while the state
// is locked.
func (s *State) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// SetConfig replaces the configuration if the version of c is higher than that in
// force, and reports whether it did.
func (s *State) SetConfig(c *config.Config) bool {
	return s.update(func(v *View) bool {
		if v.config != nil && c.Version() <= v.config.Version() {
			return false
		}
		v.config = c
		return true
	})
}

// SetUpstreams replaces all upstreams. Those whose registration is unchanged keep
// their FirstSeenAt, and those that are draining keep draining.
func (s *State) SetUpstreams(list map[string]*Upstream) {
	s.update(func(v *View) bool {
		for id, u := range list {
			list[id] = s.successor(v.upstreams[id], u)
		}
		v.upstreams = list
		return true
	})
}

// SetUpstream adds or replaces one upstream; it ignores an unchanged registration. An upstream
// that is draining keeps draining.
func (s *State) SetUpstream(u *Upstream) {
	s.update(func(v *View) bool {
		old := v.upstreams[u.ID]
		next := s.successor(old, u)
		if next == old {
			return false
		}
		v.upstreams = cloned(v.upstreams)
		v.upstreams[u.ID] = next
		return true
	})
}

// successor returns the registration that follows old, which may be nil, when u is read: old
// if u is equal to it, and otherwise u. An incarnation that leaves never returns to service, so a
// registration that says so is one of before: from a restored store, or because the upstream has
// said so itself before it said so to the store.
func (s *State) successor(old, u *Upstream) *Upstream {
	if u.Draining && u.StartTime > 0 {
		s.leaving.add(u.ID, u.StartTime)
	}
	if !u.Draining && s.leaving.has(u.ID, u.StartTime) {
		u = drained(u)
	}
	if old != nil && sameRegistration(old, u) {
		return old
	}
	return u
}

// RemoveUpstream removes an upstream that has deregistered.
func (s *State) RemoveUpstream(id string) {
	s.update(func(v *View) bool {
		if v.upstreams[id] == nil {
			return false
		}
		v.upstreams = cloned(v.upstreams)
		delete(v.upstreams, id)
		return true
	})
}

// SetDrained replaces the drain flags of all data centres.
func (s *State) SetDrained(drained map[string]bool) {
	s.update(func(v *View) bool {
		v.drained = drained
		v.drainFlagsLoaded = true
		return true
	})
}

// MarkDrained sets or clears the drain flag of one data centre.
func (s *State) MarkDrained(dataCentre string, isDrained bool) {
	s.update(func(v *View) bool {
		if v.drained[dataCentre] == isDrained {
			return false
		}
		v.drained = cloned(v.drained)
		v.drained[dataCentre] = isDrained
		return true
	})
}

// sameRegistration reports whether two registrations are equal but for
// FirstSeenAt.
func sameRegistration(a, b *Upstream) bool {
	c := *b
	c.FirstSeenAt = a.FirstSeenAt
	return *a == c
}

// newestByAddress returns, by address, the upstream with the highest known start
// time.
func newestByAddress(upstreams map[string]*Upstream) map[string]*Upstream {
	newest := make(map[string]*Upstream, len(upstreams))
	for _, u := range upstreams {
		if old := newest[u.Address]; u.StartTime > 0 && (old == nil || u.StartTime > old.StartTime) {
			newest[u.Address] = u
		}
	}
	return newest
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// update applies change to a copy of the view and publishes the copy if change
// returns true.
func (s *State) update(change func(*View) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.view
	if !change(&next) {
		return false
	}
	next.newest = newestByAddress(next.upstreams)
	s.view = &next
	for _, f := range s.listeners {
		f(s.view)
	}
	return true
}
