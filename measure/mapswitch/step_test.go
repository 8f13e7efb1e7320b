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

// Guards against a map that no longer follows the demand because one rank has reported a pass
// that lies far ahead, once or for a while: a change waits for that pass, or for the end of holds
// before it.
func TestStepFarAhead(t *testing.T) {
	for _, every := range []int{1, 10, 50} {
		for i := range lockstep.Ranks {
			t.Run(fmt.Sprintf("each report of %d, rank %d", every, i), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { checkStepAhead(t, i, every) })
			})
		}
	}
}

func checkStepAhead(t *testing.T, rank, every int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer finish(cancel)
	c := newCluster(ctx, t, 1, 3)
	n := 0
	c.responses[rank].changeReports(func(r *group.Report) {
		if n++; n%every == 0 {
			r.Step += 1 << 32
		}
	})
	time.Sleep(15 * time.Second)
	c.responses[rank].changeReports(nil)
	time.Sleep(3 * time.Second) // a change in progress ends
	switches, step := c.Switches(), c.Step()
	time.Sleep(10 * time.Second)
	check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
	checkFollowsAgain(t, c, switches)
	if passes := c.Step() - step; passes < 150 {
		t.Errorf("passes in 10 s afterwards: got %d, want at least 150", passes)
	}
}
