package fleet

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/config"
)

func newConfig(v int64) *config.Config { return config.New(v, nil, nil, nil, config.Limits{}) }

// Guards against a configuration that goes back to an earlier version.
func TestConfigurationNeverReverts(t *testing.T) {
	s := New()
	check.Equal(t, "first", s.SetConfig(newConfig(5)), true)
	check.Equal(t, "older", s.SetConfig(newConfig(4)), false)
	check.Equal(t, "same", s.SetConfig(newConfig(5)), false)
	check.Equal(t, "newer", s.SetConfig(newConfig(9)), true)
	check.Equal(t, "in force", s.View().Config().Version(), int64(9))
}

// Guards against new work for upstreams that leave or whose data centre is out.
func TestUsableExcludesDrained(t *testing.T) {
	s := New()
	u := &Upstream{ID: "u", DataCentre: "a"}
	s.SetUpstreams(map[string]*Upstream{"u": u})
	s.SetDrained(nil)
	check.Equal(t, "in service", s.View().Usable(u), true)
	s.MarkDrained("a", true)
	check.Equal(t, "data centre out", s.View().Usable(u), false)
	s.MarkDrained("a", false)
	check.Equal(t, "data centre back", s.View().Usable(u), true)
	s.SetUpstream(&Upstream{ID: "u", DataCentre: "a", Draining: true})
	check.Equal(t, "draining", s.View().Usable(s.View().Upstreams()["u"]), false)
}

// Guards against a view that is called complete while something was not read.
func TestComplete(t *testing.T) {
	s := New()
	check.Equal(t, "nothing", s.View().Complete(), false)
	s.SetConfig(newConfig(1))
	s.SetUpstreams(map[string]*Upstream{})
	check.Equal(t, "without data centres", s.View().Complete(), false)
	s.SetDrained(nil)
	check.Equal(t, "all", s.View().Complete(), true)
}

// Guards against a cold time that starts anew each time the list is read.
func TestColdPeriodStartsAtFirstRead(t *testing.T) {
	s := New()
	s.SetUpstreams(map[string]*Upstream{"u": {ID: "u", ColdRemaining: 3000, FirstSeenAt: 100}})
	s.SetUpstreams(map[string]*Upstream{"u": {ID: "u", ColdRemaining: 3000, FirstSeenAt: 2000}})
	u := s.View().Upstreams()["u"]
	check.Equal(t, "cold", u.Cold(3099), true)
	check.Equal(t, "warm", u.Cold(3100), false)
}
