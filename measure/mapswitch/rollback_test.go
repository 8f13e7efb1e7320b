package mapswitch_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/group"
	"goldcrestshore/standin/process/lockstep"
)

// errUnreadable stands in for the error of a response that can't be decoded.
var errUnreadable = errors.New("response can't be decoded")

// Guards against a group that stalls for good because an earlier owner has left a pass held, and
// no map can be made of the lists of experts from which its change is rolled back.
func TestRollbackWithoutMap(t *testing.T) {
	for _, tc := range invalidLists {
		for i := range lockstep.Ranks {
			t.Run(fmt.Sprintf("%s, rank %d", tc.name, i), func(t *testing.T) {
				checkRollback(t, func(c *cluster) { c.responses[i].spoilLists(tc.spoil) })
			})
		}
	}
	for i := range lockstep.Ranks {
		t.Run(fmt.Sprint("lists and counts can't be read, rank ", i), func(t *testing.T) {
			checkRollback(t, func(c *cluster) { c.responses[i].failQueries(errUnreadable) })
		})
	}
	for _, tc := range otherDimensions {
		t.Run(tc.name, func(t *testing.T) {
			checkRollback(t, func(c *cluster) { c.changeEngine(tc.change) })
		})
	}
}

// checkRollback leaves a pass held after inject and checks that the group goes on.
func checkRollback(t *testing.T, inject func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer finish(cancel)
		c := newCluster(ctx, t, 1, 3)
		time.Sleep(8 * time.Second) // lists of ranks have different lengths by then
		inject(c)
		for _, o := range c.owners {
			if o.process.Term() > 0 {
				o.stop() // the next owner knows no map
			}
		}
		time.Sleep(time.Second)
		c.hold(ctx, t, lockstep.Ranks-1)
		time.Sleep(10 * time.Second)
		check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
		check.AtMost(t, "stalled ms", c.Stalled().Milliseconds(), 2000)
		if t.Failed() {
			t.Log(strings.Join(c.Trace(), "\n"))
		}
	})
}

// hold makes a rank hold a pass that begins soon.
func (c *cluster) hold(ctx context.Context, t *testing.T, rank int) {
	t.Helper()
	r := c.Rank(rank)
	report, err := r.Report(ctx)
	check.NoError(t, "report", err)
	err = r.Order(ctx, group.Order{Op: int(group.Hold), Step: report.Step + 2, Epoch: report.Epoch, Expected: report.Sequence})
	check.NoError(t, "hold", err)
}
