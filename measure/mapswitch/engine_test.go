package mapswitch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/standin/process/lockstep"
)

// otherDimensions are changes of an engine's configuration that the ranks do not follow.
var otherDimensions = []struct {
	name   string
	change func(e *config.Engine)
}{
	{"more experts", func(e *config.Engine) { e.Experts *= 2 }},
	{"fewer experts", func(e *config.Engine) { e.Experts /= 2 }},
	{"more layers", func(e *config.Engine) { e.Layers++ }},
	{"fewer layers", func(e *config.Engine) { e.Layers-- }},
	{"as many counts", func(e *config.Engine) { e.Layers, e.Experts = 2*e.Layers, e.Experts/2 }},
}

// changeEngine puts a changed configuration of the engine in force.
func (c *cluster) changeEngine(change func(e *config.Engine)) {
	engine := lockstepEngine()
	change(engine)
	c.engine.Store(engine)
}

// Guards against an entry that ends because a configuration changes the dimensions of an engine
// whose demand it has counted, and against maps for an engine that the ranks do not have. The
// map must follow the demand again once the configuration is that of the ranks.
func TestEngineOfOtherDimensions(t *testing.T) {
	for _, tc := range otherDimensions {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkOtherDimensions(t, tc.change) })
		})
	}
}

func checkOtherDimensions(t *testing.T, change func(e *config.Engine)) {
	const changed = 10 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	defer finish(cancel)
	c := newCluster(ctx, t, 1, 3)
	time.Sleep(5 * time.Second)
	c.changeEngine(change)
	time.Sleep(time.Second) // a change of the map in progress ends
	switches, step := c.Switches(), c.Step()
	time.Sleep(changed)
	check.Equal(t, "switches with another engine", c.Switches(), switches)
	check.AtMost(t, "passes that did not begin", int64(changed/lockstep.PassDuration)-(c.Step()-step), 1)
	c.engine.Store(lockstepEngine())
	time.Sleep(10 * time.Second)
	check.Equal(t, "mixed maps", fmt.Sprint(c.MixedPasses()), "[]")
	checkFollowsAgain(t, c, switches)
}
