package balance

import (
	"fmt"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
	"goldcrestshore/entry/version/fleet"
)

// The bound on the requests of all entries to an upstream that states a limit, in any
// limitWindow: limitOvershoot times what the limit allows, plus limitSlack.
const (
	limitWindow    = 4 * clock.Second
	limitOvershoot = 1.5
	limitSlack     = 5
)

// limitBound returns the bound for an upstream that states perSecond.
func limitBound(perSecond float64) int {
	return int(limitOvershoot*perSecond*float64(limitWindow)/float64(clock.Second)) + limitSlack
}

// limitedFleet is a number of entries in front of upstreams of a plain service with ample
// slots, in virtual time.
type limitedFleet struct {
	entries []*Balancer
	// sent holds, by upstream, when it got a request.
	sent map[string][]clock.Millis
	// waiting counts the requests that found no upstream at once.
	waiting int
}

func newLimitedFleet(entries, upstreams int) *limitedFleet {
	f := &limitedFleet{sent: make(map[string][]clock.Millis)}
	list := make(map[string]*fleet.Upstream)
	for i := range upstreams {
		id := fmt.Sprint("u", i)
		list[id] = &fleet.Upstream{ID: id, Service: "plain", Address: id, Slots: 1000}
	}
	state := fleet.New()
	state.SetConfig(config.New(config.Parts{Version: 1, Services: []config.Service{{Name: "plain"}}}))
	state.SetUpstreams(list)
	state.SetDrained(nil)
	for i := range entries {
		b := New(-clock.Hour, Settings{Entry: fmt.Sprint("entry", i), RetryWindow: sharedWindow})
		b.SetEntries(-entriesSettleTime, entries)
		b.SetView(0, state.View())
		f.entries = append(f.entries, b)
	}
	return f
}

// request sends a request through an entry. The upstream that gets it responds at once and
// states its limit in limits.
func (f *limitedFleet) request(now clock.Millis, entry int, limits map[string]float64) {
	b := f.entries[entry]
	t := &Ticket{Service: "plain", Due: now + 100, WaitDeadline: now}
	g, ok := b.Acquire(now, t).(Grant)
	if !ok {
		b.Cancel(t)
		f.waiting++
		return
	}
	id, _ := g.Ticket.Upstream()
	f.sent[id] = append(f.sent[id], now)
	b.RecordRateLimit(now, t, limits[id])
	b.Release(now, t, Succeeded)
}

// tellInterval is the time between two rounds in which entries tell each other of limits.
const tellInterval = 120 * clock.Millis(1)

// tellEachOther passes on what upstreams have stated to any entry, as agents do.
func (f *limitedFleet) tellEachOther(now clock.Millis) {
	stated := make(map[string]group.Statement)
	for _, b := range f.entries {
		for _, l := range b.RateLimits(now) {
			stated[l.Upstream] = stated[l.Upstream].Merge(l.Statement(now))
		}
	}
	var limits []group.RateLimit
	for id, s := range stated {
		limits = append(limits, s.RateLimit(now, id))
	}
	for i, b := range f.entries {
		b.SetPosition(i)
		b.SetRateLimits(now, limits)
	}
}
