package fleet

import (
	"math/rand/v2"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/measure/engine"
)

// Router chooses the upstreams of the requests of an entry.
type Router interface {
	Choose(now clock.Millis, r route.Request, tried []string) (string, error)
	Sent(now clock.Millis, id frame.ID, upstream string, r route.Request)
	FirstToken(now clock.Millis, id frame.ID)
	Refused(now clock.Millis, id frame.ID)
	Done(now clock.Millis, id frame.ID, ok bool)
	Heartbeat(now clock.Millis, upstream string, load frame.Load)
	DrainChanged(now clock.Millis, dataCentre string, drained bool)
	CacheEvent(now clock.Millis, upstream string, e engine.CacheEvent)
}

// Table is the router of the product.
type Table struct {
	table   *route.Table
	choice  route.Choice // last result of Choose
	drained []string     // data centres
}

// NewTable returns the router of the product for an entry and a list of upstreams.
func NewTable(now clock.Millis, entry, dataCentre string, upstreams []route.Upstream, random *rand.Rand) *Table {
	t := &Table{table: route.New(entry, dataCentre, random)}
	t.table.Apply(now, route.NewUpstreamList(upstreams))
	return t
}

// FreeCapacity returns how many further requests the upstreams can accept.
func (t *Table) FreeCapacity(now clock.Millis) int { return t.table.FreeCapacity(now, Service) }

// Usable returns the number of usable upstreams.
func (t *Table) Usable(now clock.Millis) int { return t.table.Usable(now, Service) }

// ReadyCount returns how many requests wait for an upstream with free capacity.
func (t *Table) ReadyCount() int { return t.table.ReadyCount(Service) }

// Ready adds a request that the queue dispatched.
func (t *Table) Ready(now clock.Millis, id frame.ID, r route.Request, tried []string) {
	t.table.Apply(now, route.NewReady(id, r, tried))
}

// Withdraw removes a ready request.
func (t *Table) Withdraw(now clock.Millis, id frame.ID) { t.table.Apply(now, route.NewWithdrawn(id)) }

// Next returns a ready request and the upstream to send it to, or false if no
// request can be sent now.
func (t *Table) Next(now clock.Millis) (frame.ID, string, bool) {
	id, choice, ok := t.table.Next(now, Service)
	return id, choice.Upstream(), ok
}

// Choose returns the upstream for a request.
func (t *Table) Choose(now clock.Millis, r route.Request, tried []string) (string, error) {
	choice, err := t.table.Choose(now, r, tried)
	t.choice = choice
	return choice.Upstream(), err
}

// Sent records a request sent to the upstream that Choose returned last, or to
// the one that a baseline chose.
func (t *Table) Sent(now clock.Millis, id frame.ID, upstream string, r route.Request) {
	choice := t.choice
	if choice.Upstream() != upstream {
		choice = route.FixedChoice(upstream)
	}
	t.table.Apply(now, route.NewSent(id, choice, r))
}

// FirstToken records the first token of a response.
func (t *Table) FirstToken(now clock.Millis, id frame.ID) {
	t.table.Apply(now, route.NewFirstToken(id))
}

// Refused records a refusal by an upstream.
func (t *Table) Refused(now clock.Millis, id frame.ID) { t.table.Apply(now, route.NewRefused(id)) }

// Done records the end of a request.
func (t *Table) Done(now clock.Millis, id frame.ID, ok bool) {
	t.table.Apply(now, route.NewDone(id, ok))
}

// Heartbeat records a load report of an upstream.
func (t *Table) Heartbeat(now clock.Millis, upstream string, load frame.Load) {
	t.table.Apply(now, route.NewHeartbeat(upstream, load))
}

// DrainChanged records a changed drain flag of a data centre.
func (t *Table) DrainChanged(now clock.Millis, dataCentre string, drained bool) {
	t.drained = nil
	if drained {
		t.drained = []string{dataCentre}
	}
	t.table.Apply(now, route.NewDrainFlags(t.drained, nil))
}

// CacheEvent records a change of the prefix cache of an upstream.
func (t *Table) CacheEvent(now clock.Millis, upstream string, e engine.CacheEvent) {
	t.table.Apply(now, route.NewCacheEvent(upstream, e.Sequence, e.Hash, e.Stored))
}
