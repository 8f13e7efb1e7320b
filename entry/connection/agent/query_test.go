package agent

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
)

// noDesiredAgents is a router that selects no agents.
type noDesiredAgents struct{}

func (noDesiredAgents) DesiredAgents() map[string]bool { return map[string]bool{} }
func (noDesiredAgents) Heartbeat(string, frame.Load)   {}
func (noDesiredAgents) ConnectionLost(string)          {}

// Guards against a keyed request that stays unresolved because its idempotency
// record names an agent outside the subset of the entry that resolves it.
func TestQueryOpensLinkOutsideSubset(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dialled := 0
		instances := []platform.Instance{platform.NewInstance("far", platform.RoleAgent, "oviedo", "address")}
		snapshot := relay.NewSnapshot(1, nil, drainflag.Set{}, instances)
		p := &Pool{
			Router: noDesiredAgents{}, Self: peer.NewIdentity("entry", "e", "bilbao"), Clock: clock.System(),
			CurrentSnapshot: func() *relay.Snapshot { return snapshot },
			Dial: func(context.Context, string) (net.Conn, error) {
				dialled++
				return nil, errors.New("dialling is disabled in this test")
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		time.Sleep(time.Second)
		check.Equal(t, "dials before a query", dialled, 0)
		_, err := p.Query(ctx, "far", "key")
		check.Is(t, "Query", err, ErrNotConnected)
		time.Sleep(time.Second)
		check.Equal(t, "link after a query", p.Link("far") != nil, true)
		time.Sleep(queryLinkTTL.Duration())
		synctest.Wait()
		check.Equal(t, "link after its TTL", p.Link("far") != nil, false)
		cancel()
		synctest.Wait()
	})
}
