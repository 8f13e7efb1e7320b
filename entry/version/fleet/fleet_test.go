package fleet

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/config"
)

func newConfig(v int64) *config.Config { return config.New(config.Parts{Version: v}) }

// Guards against new work for a draining upstream after an earlier registration was read from a
// restored store, and against one that stays out of service after it has started again.
func TestDrainingNeverReverts(t *testing.T) {
	for _, tc := range []struct {
		name         string
		next         Upstream
		wantDraining bool
	}{
		{"earlier registration", Upstream{ID: "u", StartTime: 5}, true},
		{"the same registration", Upstream{ID: "u", StartTime: 5, Draining: true}, true},
		{"next incarnation", Upstream{ID: "u", StartTime: 6}, false},
		{"unknown incarnation", Upstream{ID: "u"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			set := func(set func(s *State, u Upstream)) bool {
				s := New()
				set(s, Upstream{ID: "u", StartTime: 5, Draining: true})
				set(s, tc.next)
				return s.View().Upstreams()["u"].Draining
			}
			one := set(func(s *State, u Upstream) { s.SetUpstream(&u) })
			check.Equal(t, "read alone", one, tc.wantDraining)
			all := set(func(s *State, u Upstream) { s.SetUpstreams(map[string]*Upstream{"u": &u}) })
			check.Equal(t, "read with all", all, tc.wantDraining)
		})
	}
}

// Guards against a configuration that reverts to an earlier version.
func TestConfigurationNeverReverts(t *testing.T) {
	s := New()
	check.Equal(t, "first", s.SetConfig(newConfig(5)), true)
	check.Equal(t, "older", s.SetConfig(newConfig(4)), false)
	check.Equal(t, "same", s.SetConfig(newConfig(5)), false)
	check.Equal(t, "newer", s.SetConfig(newConfig(9)), true)
	check.Equal(t, "in force", s.View().Config().Version(), int64(9))
}

// Guards against new work for draining upstreams or drained data centres.
func TestUsableExcludesDrained(t *testing.T) {
	s := New()
	u := &Upstream{ID: "u", DataCentre: "a"}
	s.SetUpstreams(map[string]*Upstream{"u": u})
	s.SetDrained(nil)
	check.Equal(t, "in service", s.View().Usable(u), true)
	s.MarkDrained("a", true)
	check.Equal(t, "data centre drained", s.View().Usable(u), false)
	s.MarkDrained("a", false)
	check.Equal(t, "drain flag cleared", s.View().Usable(u), true)
	s.SetUpstream(&Upstream{ID: "u", DataCentre: "a", Draining: true})
	check.Equal(t, "draining", s.View().Usable(s.View().Upstreams()["u"]), false)
}

// Guards against a view that counts as complete before everything was loaded.
func TestComplete(t *testing.T) {
	s := New()
	check.Equal(t, "empty state", s.View().Complete(), false)
	s.SetConfig(newConfig(1))
	s.SetUpstreams(map[string]*Upstream{})
	check.Equal(t, "without drain flags", s.View().Complete(), false)
	s.SetDrained(nil)
	check.Equal(t, "all loaded", s.View().Complete(), true)
}

// Guards against a cold period that restarts each time the list is read.
func TestColdPeriodStartsAtFirstRead(t *testing.T) {
	s := New()
	s.SetUpstreams(map[string]*Upstream{"u": {ID: "u", ColdRemaining: 3000, FirstSeenAt: 100}})
	s.SetUpstreams(map[string]*Upstream{"u": {ID: "u", ColdRemaining: 3000, FirstSeenAt: 2000}})
	u := s.View().Upstreams()["u"]
	check.Equal(t, "cold", u.Cold(3099), true)
	check.Equal(t, "warm", u.Cold(3100), false)
}

// Guards against requests to an upstream that crashed and whose address is already
// used by its successor, while its registration has not lapsed yet.
func TestSupersededRegistration(t *testing.T) {
	s := New()
	s.SetConfig(config.New(config.Parts{Version: 1, Services: []config.Service{{Name: "model"}}}))
	s.SetDrained(nil)
	old := &Upstream{ID: "old", Service: "model", Address: "a", StartTime: 1000}
	s.SetUpstreams(map[string]*Upstream{"old": old})
	check.Equal(t, "usable alone", s.View().Usable(old), true)
	t.Run("by an unknown service", func(t *testing.T) {
		s.SetUpstream(&Upstream{ID: "other", Service: "unknown", Address: "a", StartTime: 3000})
		check.Equal(t, "usable", s.View().Usable(old), true)
		s.RemoveUpstream("other")
	})
	t.Run("by a later start", func(t *testing.T) {
		successor := &Upstream{ID: "new", Service: "model", Address: "a", StartTime: 2000}
		s.SetUpstream(successor)
		check.Equal(t, "old usable", s.View().Usable(old), false)
		check.Equal(t, "successor usable", s.View().Usable(successor), true)
		s.RemoveUpstream("new")
		check.Equal(t, "old usable after the successor left", s.View().Usable(old), true)
	})
}
