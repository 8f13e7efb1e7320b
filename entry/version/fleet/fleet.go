// Package fleet holds what an entry believes about upstreams and about data
// centres that are out of service.
package fleet

import (
	"maps"
	"sync"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
)

// Upstream is one incarnation of an upstream as it has registered itself.
type Upstream struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining tells that it is about to leave and takes no new work.
	Draining bool
	// ColdRemaining is how long it was still cold when it wrote its entry.
	ColdRemaining clock.Millis
	// FirstSeenAt is when the entry was first read with this content.
	FirstSeenAt clock.Millis
}

// Cold tells whether the upstream is still cold.
func (u *Upstream) Cold(now clock.Millis) bool {
	return u.ColdRemaining > 0 && now < u.FirstSeenAt+u.ColdRemaining
}

// View is a snapshot of all that an entry knows. It does not change.
type View struct {
	config           *config.Config
	upstreams        map[string]*Upstream
	drained          map[string]bool
	drainFlagsLoaded bool
}

// Config returns the configuration in force, nil before the first one.
func (v *View) Config() *config.Config { return v.config }

// Upstreams returns the upstreams by id; callers must not change the map.
func (v *View) Upstreams() map[string]*Upstream { return v.upstreams }

// Drained tells whether a data centre takes no new work.
func (v *View) Drained(dataCentre string) bool { return v.drained[dataCentre] }

// Complete tells whether configuration, upstreams and data centres out of
// service are all known.
func (v *View) Complete() bool { return v.config != nil && v.upstreams != nil && v.drainFlagsLoaded }

// Usable tells whether new work may go to the upstream.
func (v *View) Usable(u *Upstream) bool { return !u.Draining && !v.drained[u.DataCentre] }

// State keeps the newest view. It is safe for use by several goroutines.
type State struct {
	mu        sync.Mutex
	view      *View
	listeners []func(*View)
}

// New returns a state that knows nothing.
func New() *State { return &State{view: &View{}} }

// View returns the newest snapshot.
func (s *State) View() *View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

// OnChange registers a function that receives each new view.
func (s *State) OnChange(f func(*View)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// SetConfig takes a configuration unless its version is lower than the one in
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

// SetUpstreams replaces all upstreams.
func (s *State) SetUpstreams(list map[string]*Upstream) {
	s.update(func(v *View) bool {
		for id, u := range list {
			if old := v.upstreams[id]; old != nil && sameRegistration(old, u) {
				list[id] = old
			}
		}
		v.upstreams = list
		return true
	})
}

// SetUpstream adds or replaces one upstream.
func (s *State) SetUpstream(u *Upstream) {
	s.update(func(v *View) bool {
		if old := v.upstreams[u.ID]; old != nil && sameRegistration(old, u) {
			return false
		}
		v.upstreams = cloned(v.upstreams)
		v.upstreams[u.ID] = u
		return true
	})
}

// RemoveUpstream forgets an upstream that has left.
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

// SetDrained replaces the data centres that take no new work.
func (s *State) SetDrained(drained map[string]bool) {
	s.update(func(v *View) bool {
		v.drained = drained
		v.drainFlagsLoaded = true
		return true
	})
}

// MarkDrained takes one data centre out of service, or back.
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

// sameRegistration tells whether two entries differ in nothing but their instant.
func sameRegistration(a, b *Upstream) bool {
	c := *b
	c.FirstSeenAt = a.FirstSeenAt
	return *a == c
}

func cloned[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

func (s *State) update(change func(*View) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.view
	if !change(&next) {
		return false
	}
	s.view = &next
	for _, f := range s.listeners {
		f(s.view)
	}
	return true
}
