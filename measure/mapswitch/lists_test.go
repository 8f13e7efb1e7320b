package mapswitch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/standin/process/lockstep"
)

// invalidLists are ways in which the lists of one rank are not part of a map.
var invalidLists = []struct {
	name  string
	spoil func(layers [][]int) [][]int
}{
	{"number above the range", func(l [][]int) [][]int { l[0][0] += 60; return l }},
	{"number below zero", func(l [][]int) [][]int { l[0][0] = -1; return l }},
	{"number of another expert", func(l [][]int) [][]int { l[0][0] = (l[0][0] + 1) % lockstep.Experts; return l }},
	{"number twice", func(l [][]int) [][]int { l[1][0] = l[1][1]; return l }},
	{"layer is missing", func(l [][]int) [][]int { return l[:1] }},
	{"layer too many", func(l [][]int) [][]int { return append(l, l[0]) }},
	{"no layers", func([][]int) [][]int { return nil }},
	{"more experts than slots", func(l [][]int) [][]int { l[0] = []int{0, 1, 2, 3, 4, 5}; return l }},
}

// Guards against an entry that ends, with the requests of its callers, because the lists of
// experts of one rank hold a wrong number, and against a map that is changed by such lists. Once
// the lists are right the map must follow the demand again.
func TestInvalidListsOfExperts(t *testing.T) {
	for _, tc := range invalidLists {
		for i := range lockstep.Ranks {
			t.Run(fmt.Sprintf("%s, rank %d", tc.name, i), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkInvalidLists(t, i, tc.spoil) })
			})
		}
	}
}

func checkInvalidLists(t *testing.T, rank int, spoil func(layers [][]int) [][]int) {
	const spoiled = 10 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer finish(cancel)
	c := newCluster(ctx, t, 1, 3)
	c.responses[rank].spoilLists(spoil)
	time.Sleep(spoiled)
	check.Equal(t, "switches while the lists are wrong", c.Switches(), 0)
	if c.unreadableMaps.Load() == 0 {
		t.Error("log lines: got 0, want one")
	}
	check.AtMost(t, "log lines of all owners", c.unreadableMaps.Load(), c.terms())
	check.AtMost(t, "passes that did not begin", int64(spoiled/lockstep.PassDuration)-c.Step(), 1)
	c.responses[rank].spoilLists(nil)
	time.Sleep(10 * time.Second)
	check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
	checkFollowsAgain(t, c, 0)
}
