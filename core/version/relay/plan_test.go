package relay

import (
	"fmt"
	"slices"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// fleet returns n live instances in each data centre.
func fleet(n int, dataCentres ...string) []platform.Instance {
	var list []platform.Instance
	for _, dc := range dataCentres {
		for i := range n {
			name := fmt.Sprintf("%s-%d", dc, i)
			list = append(list, platform.NewInstance(name, platform.RoleAgent, dc, name+":1"))
		}
	}
	return list
}

func plannerFor(name, dataCentre string) *planner {
	return &planner{self: name, dataCentre: dataCentre}
}

// Guards against a data centre with fewer than three sources although it has
// enough processes, and against relays with more subscribers than their rates
// allow.
func TestTiers(t *testing.T) {
	for _, row := range []struct{ processes, sources, relays int }{{2, 2, 0}, {96, 3, 0}, {97, 3, 4}, {1270, 3, 40}} {
		list := fleet(row.processes, "x")
		got := map[tier]int{}
		for _, i := range list {
			got[plannerFor(i.Name(), "x").tier(list)]++
		}
		check.Equal(t, fmt.Sprintf("sources of %d", row.processes), got[sourceTier], row.sources)
		check.Equal(t, fmt.Sprintf("relays of %d", row.processes), got[relayTier], row.relays)
	}
	check.Equal(t, "quota holders", countQuotaHolders(fleet(1270, "x", "y")), quotaHolders{6, 86})
	check.Equal(t, "quota holders of an empty list", countQuotaHolders(nil), quotaHolders{1, 1})
}

// Guards against a relay that subscribes to a process other than a source, and
// against leaves that overload the sources.
func TestTiersSubscribeToTheTierAbove(t *testing.T) {
	list := fleet(200, "x")
	tiers := tiersOf(list, "x")
	subscribers := map[string]int{}
	for _, i := range list {
		p := plannerFor(i.Name(), "x")
		want := tiers.relays
		if p.tier(list) != leafTier {
			want = tiers.sources
		}
		for _, target := range p.targets(0, list) {
			check.Equal(t, i.Name()+" subscribes to the tier above", slices.Contains(want, target.name), true)
			subscribers[target.name]++
		}
	}
	for name, n := range subscribers {
		check.AtMost(t, "subscribers of "+name, n, 2*subscribersPerRelay)
	}
	relay := plannerFor(tiers.relays[0], "x")
	for _, name := range tiers.sources {
		relay.markFailed(0, name)
	}
	check.Equal(t, "targets of a relay without sources", len(relay.targets(1, list)), 0)
}

// Guards against a process that subscribes to a single relay, to itself, or to an
// instance that is draining.
func TestTargets(t *testing.T) {
	list := fleet(20, "x", "y")
	chosen := tiersOf(list, "x").sources
	list = append(list, platform.NewInstance("x-leaving", platform.RoleAgent, "x", "a:1").WithState(platform.Draining))
	for _, i := range fleet(20, "x") {
		got := plannerFor(i.Name(), "x").targets(0, list)
		check.Equal(t, "targets of "+i.Name(), len(got), 2)
		check.Equal(t, "targets differ", got[0] != got[1], true)
		for _, target := range got {
			check.Equal(t, "is itself", target.name == i.Name(), false)
			check.Equal(t, "is a source", target.name == chosen[0] || target.name == chosen[1] || target.name == chosen[2], true)
			check.Equal(t, "address", target.address, target.name+":1")
		}
	}
}

// Guards against a process that keeps retrying a terminated or unresponsive relay.
func TestFailedRelayIsReplaced(t *testing.T) {
	list := fleet(20, "x")
	p := plannerFor("x-0", "x")
	first := p.targets(0, list)
	p.markFailed(0, first[0].name)
	second := p.targets(1, list)
	check.Equal(t, "targets", len(second), 2)
	for _, target := range second {
		check.Equal(t, "is the failed one", target == first[0], false)
	}
	check.Equal(t, "first target after the backoff", p.targets(failedRelayBackoff, list)[0], first[0])
	for _, i := range list {
		p.markFailed(0, i.Name())
	}
	check.Equal(t, "all failed", len(p.targets(1, list)), 0)
}

// Guards against a process without a relay because its data centre is small or the
// instance list is empty.
func TestFewCandidates(t *testing.T) {
	t.Run("only process of its data centre", func(t *testing.T) {
		list := append(fleet(1, "x"), fleet(5, "y")...)
		got := plannerFor("x-0", "x").targets(0, list)
		check.Equal(t, "targets", len(got), 2)
	})
	t.Run("bootstrap contacts", func(t *testing.T) {
		p := plannerFor("x-0", "x")
		p.address = "own:1"
		p.contacts = []string{"own:1", "c1:1", "c2:1", "c3:1"}
		check.Equal(t, "targets", fmt.Sprint(p.targets(0, nil)), "[{c1:1 c1:1} {c2:1 c2:1}]")
		p.markFailed(0, "c1:1")
		check.Equal(t, "targets after a failure", fmt.Sprint(p.targets(1, nil)), "[{c2:1 c2:1} {c3:1 c3:1}]")
	})
}

// Guards against records of failed relays that accumulate as instances come and
// go.
func TestExpiredFailuresAreRemoved(t *testing.T) {
	p := plannerFor("x-0", "x")
	for i := range clock.Millis(1000) {
		p.markFailed(i*clock.Second, fmt.Sprint(i))
	}
	check.AtMost(t, "failures kept", len(p.failedUntil), int(failedRelayBackoff/clock.Second)+1)
}
