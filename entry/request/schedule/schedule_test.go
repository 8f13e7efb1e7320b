package schedule

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/mark"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/core/version/text"
	"goldcrestshore/entry/request/route"
)

const configuration = `{
  "dataCentres": [{"name": "bilbao", "region": "norte-es"}, {"name": "oviedo", "region": "norte-es"}],
  "services": [{"name": "registro", "kind": "plain", "coldLimit": 1, "warmLimit": 2,
    "routes": [{"method": "POST", "path": "/certificates"}]}],
  "customers": [{"name": "auctions", "concurrent": 3, "keyHashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}],
}`

// agents are one in each data centre.
var agents = []string{"bilbao-registro", "oviedo-registro"}

func snapshot(t *testing.T, out ...string) *relay.Snapshot {
	t.Helper()
	parsed, err := text.Parse([]byte(configuration))
	check.NoError(t, "Parse", err)
	list := []platform.Instance{
		platform.NewInstance(agents[0], platform.RoleAgent, "bilbao", "a").WithUpstream("u", "registro"),
		platform.NewInstance(agents[1], platform.RoleAgent, "oviedo", "b").WithUpstream("u", "registro"),
	}
	return relay.NewSnapshot(1, parsed, mark.NewSet(out...), list)
}

// bench is a scheduler whose agents report limit free places each 250 ms.
type bench struct {
	*Scheduler
	t     *testing.T
	view  *relay.Snapshot
	limit int
}

func run(t *testing.T, limit int, play func(b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, view: snapshot(t), limit: limit}
		b.Scheduler = &Scheduler{Clock: clock.System(), View: func() *relay.Snapshot { return b.view }, Entry: "e", DataCentre: "bilbao", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
		ctx, cancel := context.WithCancel(t.Context())
		go b.Run(ctx)
		b.report()
		play(b)
		cancel()
		synctest.Wait()
	})
}

func (b *bench) report() {
	for _, a := range agents {
		b.Heartbeat(a, frame.NewLoad("registro", frame.NewOccupancy(0, b.limit, 0, 0), frame.Condition{}, frame.Pace{}))
	}
}

func (b *bench) enter(within clock.Millis) (*Turn, error) {
	ctx, cancel := context.WithTimeout(b.t.Context(), within.Duration())
	defer cancel()
	request := route.NewRequest("registro", 0, 0, nil)
	return b.Enter(ctx, "registro", NewTerms("auctions", 0, 1, b.Clock.Now()+within, request))
}

func TestTurnGetsAnUpstream(t *testing.T) {
	run(t, 1, func(b *bench) {
		turn, err := b.enter(clock.Second)
		check.NoError(t, "Enter", err)
		first := turn.Upstream()
		check.NoError(t, "Again", turn.Again(b.t.Context(), false))
		check.Equal(t, "same upstream again", turn.Upstream() == first, false)
		turn.Close(true)
		turn.Close(true)
		check.Equal(t, "open turns", len(b.turns), 0)
	})
}

// Guards against new work for a data centre from the moment its mark is known.
func TestOutMarkTakesEffectAtOnce(t *testing.T) {
	run(t, 4, func(b *bench) {
		b.view = snapshot(t, mark.DataCentre("bilbao"))
		for range 4 {
			turn, err := b.enter(clock.Second)
			check.NoError(t, "Enter", err)
			check.Equal(t, "upstream", turn.Upstream(), agents[1])
			turn.Close(true)
		}
	})
}

// Guards against a request that waits for its whole deadline, here two minutes,
// for upstreams that are all out of contact.
func TestNoContact(t *testing.T) {
	run(t, 1, func(b *bench) {
		for _, a := range agents {
			b.Lost(a)
		}
		start := time.Now()
		_, err := b.enter(120 * clock.Second)
		check.Equal(t, "code", outcome.As(err).Code(), outcome.NoUpstream)
		check.Equal(t, "outcome", outcome.As(err).Outcome(), outcome.NotRun)
		check.AtMost(t, "waited ms", time.Since(start).Milliseconds(), int64(contactWait))
		check.Equal(t, "open turns", len(b.turns), 0)
	})
}

// Guards against a turn that is lost, or a place that is never given back, when
// callers leave while they wait.
func TestCallersThatLeave(t *testing.T) {
	run(t, 1, func(b *bench) {
		var held []*Turn
		for i := range 2 {
			turn, err := b.enter(clock.Second)
			check.NoError(t, fmt.Sprintf("Enter %d", i), err)
			held = append(held, turn)
		}
		_, err := b.enter(100)
		if err == nil {
			t.Error("Enter above the room: got no error, want one")
		}
		for _, turn := range held {
			turn.Close(true)
		}
		b.report()
		turn, err := b.enter(clock.Second)
		check.NoError(t, "Enter after the others left", err)
		turn.Close(true)
		check.Equal(t, "open turns", len(b.turns), 0)
		check.Equal(t, "queued", b.queue.Queued(), 0)
		check.Equal(t, "running", b.queue.Running(), 0)
	})
}

// Guards against a limit that each entry applies by itself.
func TestLimitHoldsOverEntries(t *testing.T) {
	run(t, 10, func(b *bench) {
		b.Merge("other", []frame.Share{frame.NewShare("auctions", 0, 2)})
		turn, err := b.enter(clock.Second)
		check.NoError(t, "Enter within the limit", err)
		_, err = b.enter(200)
		if err == nil {
			t.Error("Enter above the limit of three: got no error, want one")
		}
		turn.Close(true)
	})
}
