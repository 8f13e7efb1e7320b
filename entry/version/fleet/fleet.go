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
	// ColdLeft is how long it was still cold when it wrote its entry.
	ColdLeft clock.Millis
	// SeenAt is when the entry was first read with this content.
	SeenAt clock.Millis
}

// Cold tells whether the upstream is still cold.
func (u *Upstream) Cold(now clock.Millis) bool { return u.ColdLeft > 0 && now < u.SeenAt+u.ColdLeft }

// View is a snapshot of all that an entry knows. It does not change.
type View struct {
	config    *config.Config
	upstreams map[string]*Upstream
	out       map[string]bool
	listed    bool
}

// Config returns the configuration in force, nil before the first one.
func (v *View) Config() *config.Config { return v.config }

// Upstreams returns the upstreams by id; callers must not change the map.
func (v *View) Upstreams() map[string]*Upstream { return v.upstreams }

// Out tells whether a data centre takes no new work.
func (v *View) Out(dataCentre string) bool { return v.out[dataCentre] }

// Complete tells whether configuration, upstreams and data centres out of
// service are all known.
func (v *View) Complete() bool { return v.config != nil && v.upstreams != nil && v.listed }

// Usable tells whether new work may go to the upstream.
func (v *View) Usable(u *Upstream) bool { return !u.Draining && !v.out[u.DataCentre] }

// State keeps the newest view. It is safe for use by several goroutines.
type State struct {
	mu      sync.Mutex
	view    *View
	changed []func(*View)
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
	s.changed = append(s.changed, f)
}

// Adopt takes a configuration unless its version is lower than the one in
// force, and reports whether it did.
func (s *State) Adopt(c *config.Config) bool {
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
			if old := v.upstreams[id]; old != nil && sameEntry(old, u) {
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
		if old := v.upstreams[u.ID]; old != nil && sameEntry(old, u) {
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

// SetOut replaces the data centres that take no new work.
func (s *State) SetOut(out map[string]bool) {
	s.update(func(v *View) bool {
		v.out = out
		v.listed = true
		return true
	})
}

// MarkOut takes one data centre out of service, or back.
func (s *State) MarkOut(dataCentre string, isOut bool) {
	s.update(func(v *View) bool {
		if v.out[dataCentre] == isOut {
			return false
		}
		v.out = cloned(v.out)
		v.out[dataCentre] = isOut
		return true
	})
}

// sameEntry tells whether two entries differ in nothing but their instant.
func sameEntry(a, b *Upstream) bool {
	c := *b
	c.SeenAt = a.SeenAt
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
	for _, f := range s.changed {
		f(s.view)
	}
	return true
}
