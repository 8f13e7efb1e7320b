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

// Guards against an entry that ends with the streams of its callers, or a group that stalls for
// good, because the owner of the maps panics: before, between and in the middle of changes.
func TestPanicOfOwner(t *testing.T) {
	for name, await := range map[string]func(c *cluster) bool{
		"at the start":       func(*cluster) bool { return true },
		"between changes":    func(c *cluster) bool { return c.Switches() >= lockstep.Ranks && c.Rank(0).HeldStep() == group.None },
		"while a pass holds": func(c *cluster) bool { return c.Rank(0).HeldStep() != group.None },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer finish(cancel)
				c := newCluster(ctx, t, 1, 3)
				for !await(c) {
					time.Sleep(100 * time.Microsecond)
				}
				c.membersPanic.Store(true)
				time.Sleep(300 * time.Millisecond)
				c.membersPanic.Store(false)
				switches := c.Switches()
				time.Sleep(20 * time.Second)
				check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
				check.AtMost(t, "stalled ms", c.Stalled().Milliseconds(), 4000)
				checkFollowsAgain(t, c, switches)
			})
		})
	}
}
