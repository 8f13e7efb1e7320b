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
	"goldcrestshore/core/version/configuration"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
	"goldcrestshore/entry/request/route"
)

const testConfiguration = `{
  "dataCentres": [{"name": "bilbao", "region": "norte-es"}, {"name": "oviedo", "region": "norte-es"}],
  "services": [{"name": "registro", "kind": "plain", "coldLimit": 1, "warmLimit": 2,
    "routes": [{"method": "POST", "path": "/certificates"}]}],
  "customers": [{"name": "auctions", "concurrent": 3, "keyHashes": ["8254c329a92850f6d539dd376f4816ee2764517da5e0235514af433164480d7a"]}],
}`

// agents lists one agent per data centre.
var agents = []string{"bilbao-registro", "oviedo-registro"}

func snapshot(t *testing.T, drained ...string) *relay.Snapshot {
	t.Helper()
	parsed, err := configuration.Parse([]byte(testConfiguration))
	check.NoError(t, "Parse", err)
	instances := []platform.Instance{
		platform.NewInstance(agents[0], platform.RoleAgent, "bilbao", "a").WithUpstream("u", "registro"),
		platform.NewInstance(agents[1], platform.RoleAgent, "oviedo", "b").WithUpstream("u", "registro"),
	}
	return relay.NewSnapshot(1, parsed, drainflag.NewSet(drained...), instances)
}

// harness runs a Scheduler with two connected agents, each of which reports a
// concurrency limit of limit.
type harness struct {
	*Scheduler
	t       *testing.T
	current *relay.Snapshot
	limit   int
}

func run(t *testing.T, limit int, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, current: snapshot(t), limit: limit}
		h.Scheduler = &Scheduler{Clock: clock.System(), CurrentSnapshot: func() *relay.Snapshot { return h.current }, Entry: "e", DataCentre: "bilbao", Incarnation: 1, Random: rand.New(rand.NewPCG(1, 1))}
		ctx, cancel := context.WithCancel(t.Context())
		go h.Run(ctx)
		h.reportLoad()
		test(h)
		cancel()
		synctest.Wait()
	})
}

func (h *harness) reportLoad() {
	for _, a := range agents {
		h.Heartbeat(a, frame.NewLoad("registro", frame.NewOccupancy(0, h.limit, 0, 0), frame.Condition{}, frame.Latency{}))
	}
}

func (h *harness) reserve(timeout clock.Millis) (*Reservation, error) {
	ctx, cancel := context.WithTimeout(h.t.Context(), timeout.Duration())
	defer cancel()
	request := route.NewRequest("registro", 0, 0, nil)
	return h.Reserve(ctx, "registro", NewParams("auctions", 0, 1, h.Clock.Now()+timeout, request))
}

func TestReserveAndRetry(t *testing.T) {
	run(t, 1, func(h *harness) {
		reservation, err := h.reserve(clock.Second)
		check.NoError(t, "Reserve", err)
		first := reservation.Upstream()
		check.NoError(t, "Retry", reservation.Retry(h.t.Context(), false))
		check.Equal(t, "same upstream after Retry", reservation.Upstream() == first, false)
		reservation.Close(true)
		reservation.Close(true)
		check.Equal(t, "open reservations", len(h.reservations), 0)
	})
}

// Guards against requests that are assigned to a data centre after its drain flag
// was received.
func TestDrainFlagAppliesImmediately(t *testing.T) {
	run(t, 4, func(h *harness) {
		h.current = snapshot(t, drainflag.DataCentre("bilbao"))
		for range 4 {
			reservation, err := h.reserve(clock.Second)
			check.NoError(t, "Reserve", err)
			check.Equal(t, "upstream", reservation.Upstream(), agents[1])
			reservation.Close(true)
		}
	})
}

// Guards against a request that waits until its deadline, here two minutes, while
// all upstreams are unreachable.
func TestUnreachableUpstreams(t *testing.T) {
	run(t, 1, func(h *harness) {
		for _, a := range agents {
			h.ConnectionLost(a)
		}
		start := time.Now()
		_, err := h.reserve(120 * clock.Second)
		check.Equal(t, "code", outcome.As(err).Code(), outcome.NoUpstream)
		check.Equal(t, "outcome", outcome.As(err).Outcome(), outcome.NotRun)
		check.AtMost(t, "waited ms", time.Since(start).Milliseconds(), int64(contactTimeout))
		check.Equal(t, "open reservations", len(h.reservations), 0)
	})
}

// Guards against leaked reservations or upstream slots when callers disconnect
// while their requests wait.
func TestCanceledReservations(t *testing.T) {
	run(t, 1, func(h *harness) {
		var active []*Reservation
		for i := range 2 {
			reservation, err := h.reserve(clock.Second)
			check.NoError(t, fmt.Sprintf("Reserve %d", i), err)
			active = append(active, reservation)
		}
		_, err := h.reserve(100)
		if err == nil {
			t.Error("Reserve above the capacity: got no error, want one")
		}
		for _, reservation := range active {
			reservation.Close(true)
		}
		h.reportLoad()
		reservation, err := h.reserve(clock.Second)
		check.NoError(t, "Reserve after the others were closed", err)
		reservation.Close(true)
		check.Equal(t, "open reservations", len(h.reservations), 0)
		check.Equal(t, "queued", h.queue.Queued(), 0)
		check.Equal(t, "running", h.queue.Running(), 0)
	})
}

// Guards against a concurrency limit that each entry applies on its own, without
// the requests in flight at other entries.
func TestLimitSharedBetweenEntries(t *testing.T) {
	run(t, 10, func(h *harness) {
		h.UpdateShares("other", []frame.Share{frame.NewShare("auctions", 0, 2)})
		reservation, err := h.reserve(clock.Second)
		check.NoError(t, "Reserve within the limit", err)
		_, err = h.reserve(200)
		if err == nil {
			t.Error("Reserve above the limit of three: got no error, want one")
		}
		reservation.Close(true)
	})
}
