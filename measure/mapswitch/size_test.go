package mapswitch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/group"
	"goldcrestshore/standin/process/lockstep"
)

// Guards against an entry that ends, or changes the map of a part of the group, because one rank
// reports another size of the group while the last rank is missing.
func TestReportedSizesDiffer(t *testing.T) {
	for i := range lockstep.Ranks - 1 {
		t.Run(fmt.Sprint("rank ", i), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkDifferentSize(t, i) })
		})
	}
}

func checkDifferentSize(t *testing.T, rank int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer finish(cancel)
	c := newCluster(ctx, t, 1, 3)
	time.Sleep(5 * time.Second)
	c.responses[rank].changeReports(func(r *group.Report) { r.Size = lockstep.Ranks - 1 })
	c.pauseInstance(lockstep.Ranks-1, 5*time.Second)
	time.Sleep(time.Second) // a change of the map in progress ends
	switches := c.Switches()
	time.Sleep(4 * time.Second)
	check.Equal(t, "switches of a part of the group", c.Switches(), switches)
	c.responses[rank].changeReports(nil)
	time.Sleep(10 * time.Second)
	check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
	checkFollowsAgain(t, c, switches)
}
