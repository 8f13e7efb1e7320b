package fleet

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against new work for an upstream that has said that it leaves, after the store or another
// entry says otherwise because it does not know yet, and against one that stays out of service after
// it has started again.
func TestLeavingNeverReverts(t *testing.T) {
	registered := func(startTime int64, draining bool) *Upstream {
		return &Upstream{ID: "u", StartTime: startTime, Draining: draining, Slots: int(startTime)}
	}
	for _, tc := range []struct {
		name         string
		then         func(*State)
		wantDraining bool
	}{
		{"nothing further", func(*State) {}, true},
		{"the registration changes", func(s *State) { s.SetUpstream(&Upstream{ID: "u", StartTime: 5, Slots: 9}) }, true},
		{"all registrations are read again", func(s *State) { s.SetUpstreams(map[string]*Upstream{"u": registered(5, false)}) }, true},
		{"the registration is gone and comes back", func(s *State) {
			s.RemoveUpstream("u")
			s.SetUpstream(registered(5, false))
		}, true},
		{"all are gone and come back", func(s *State) {
			s.SetUpstreams(map[string]*Upstream{})
			s.SetUpstreams(map[string]*Upstream{"u": registered(5, false)})
		}, true},
		{"another start", func(s *State) { s.SetUpstream(registered(6, false)) }, false},
		{"another start after it was gone", func(s *State) {
			s.RemoveUpstream("u")
			s.SetUpstream(registered(6, false))
		}, false},
		{"the earlier start again", func(s *State) {
			s.SetUpstream(registered(6, false))
			s.SetUpstream(registered(5, false))
		}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for name, leave := range map[string]func(*State){
				"said so itself":   func(s *State) { s.MarkLeaving("u", 5) },
				"its registration": func(s *State) { s.SetUpstream(registered(5, true)) },
			} {
				s := New()
				s.SetUpstream(registered(5, false))
				leave(s)
				tc.then(s)
				check.Equal(t, name+": draining", s.View().Upstreams()["u"].Draining, tc.wantDraining)
			}
		})
	}
}

// Guards against a statement of an earlier or unknown incarnation that takes another one out of
// service, and against one that is told as new again and again.
func TestLeavingIsThatOfOneIncarnation(t *testing.T) {
	s := New()
	s.SetUpstream(&Upstream{ID: "u", StartTime: 6})
	check.Equal(t, "earlier incarnation is new", s.MarkLeaving("u", 5), true)
	check.Equal(t, "earlier incarnation, again", s.MarkLeaving("u", 5), false)
	check.Equal(t, "unknown upstream is new", s.MarkLeaving("other", 1), true)
	check.Equal(t, "draining", s.View().Upstreams()["u"].Draining, false)
	s.SetUpstream(&Upstream{ID: "other", StartTime: 1})
	check.Equal(t, "registered after it has said so", s.View().Upstreams()["other"].Draining, true)
}

// Guards against memory that grows with each upstream that has ever left.
func TestLeavingIsBounded(t *testing.T) {
	s := New()
	for i := range 2 * maxLeaving {
		s.MarkLeaving(fmt.Sprint("u", i), 1)
	}
	check.Equal(t, "remembered", len(s.leaving.startTimes), maxLeaving)
	check.Equal(t, "in order", len(s.leaving.order), maxLeaving)
	check.Equal(t, "the last one is remembered", s.leaving.has(fmt.Sprint("u", 2*maxLeaving-1), 1), true)
}
