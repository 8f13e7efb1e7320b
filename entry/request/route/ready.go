package route

import (
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// Lookahead is how many requests may be ready at a time beyond the free
	// capacity. When a full upstream frees a slot, it gets the ready request with
	// the most prompt tokens cached there, which keeps the cache hit ratio from
	// collapsing under saturation.
	Lookahead = 16
	// maxSkipDuration is how long later requests may overtake a ready request.
	maxSkipDuration = 1500 * clock.Millis(1)
)

// ready is a dequeued request that waits for an upstream with free capacity.
type ready struct {
	id      frame.ID
	request Request
	tried   []string
	readyAt clock.Millis
}

// Ready reports that a request was dequeued and needs an upstream.
type Ready struct {
	id      frame.ID
	request Request
	tried   []string
}

// NewReady returns the event for a dequeued request that must not go to the
// upstreams in tried.
func NewReady(id frame.ID, request Request, tried []string) Ready {
	return Ready{id, request, tried}
}

// Withdrawn reports that a ready request must no longer be sent.
type Withdrawn struct{ id frame.ID }

// NewWithdrawn returns the event for a withdrawn request.
func NewWithdrawn(id frame.ID) Withdrawn { return Withdrawn{id} }

func (Ready) event()     {}
func (Withdrawn) event() {}

// ReadyCount returns how many requests of a service are ready.
func (t *Table) ReadyCount(service string) int {
	if s := t.services[service]; s != nil {
		return len(s.ready)
	}
	return 0
}

func (t *Table) ready(now clock.Millis, e Ready) {
	s := t.services[e.request.service]
	if s == nil {
		s = &service{}
		t.services[e.request.service] = s
	}
	s.ready = append(s.ready, ready{e.id, e.request, e.tried, now})
}

func (t *Table) withdraw(id frame.ID) {
	for _, s := range t.services {
		s.ready = slices.DeleteFunc(s.ready, func(r ready) bool { return r.id == id })
	}
}

// Next returns a ready request of a service and the upstream to send it to, or
// false if no request can be sent now. It records the request as sent.
func (t *Table) Next(now clock.Millis, name string) (frame.ID, Choice, bool) {
	s := t.services[name]
	if s == nil || len(s.ready) == 0 || t.FreeCapacity(now, name) == 0 {
		return frame.ID{}, Choice{}, false
	}
	if len(s.ready) > 1 && now-s.ready[0].readyAt < maxSkipDuration {
		if i, ok := t.mostCached(now, s); ok {
			return t.assign(now, s, i)
		}
	}
	for i := range s.ready {
		if id, choice, ok := t.assign(now, s, i); ok {
			return id, choice, true
		}
	}
	return frame.ID{}, Choice{}, false
}

// assign chooses an upstream for the i-th ready request and records the request
// as sent. It returns false if no upstream has capacity for it.
func (t *Table) assign(now clock.Millis, s *service, i int) (frame.ID, Choice, bool) {
	r := s.ready[i]
	choice, err := t.Choose(now, r.request, r.tried)
	if err != nil {
		return frame.ID{}, Choice{}, false
	}
	s.ready = slices.Delete(s.ready, i, i+1)
	t.sent(now, Sent{r.id, choice, r.request})
	return r.id, choice, true
}

// mostCached returns the index of the ready request with the most prompt tokens
// cached on an upstream with free capacity, or false if there is none.
func (t *Table) mostCached(now clock.Millis, s *service) (int, bool) {
	best, mostTokens := 0, 0
	for i, r := range s.ready {
		hits := t.prefixes.find(r.request.prefixes)
		if len(hits) == 0 {
			continue
		}
		for _, u := range s.subset {
			if cached := expectedCachedTokens(u, hits); cached > mostTokens && u.usable(now) && u.freeCapacity(r.request.reservedBytes) > 0 && !slices.Contains(r.tried, u.name) {
				best, mostTokens = i, cached
			}
		}
	}
	return best, mostTokens > 0
}
