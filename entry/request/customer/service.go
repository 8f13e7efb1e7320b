package customer

import (
	"cmp"
	"maps"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// item is one queued request.
type item struct {
	id       frame.ID
	customer *account
	service  *service
	cost     int64
	priority int
	deadline clock.Millis
	arrived  clock.Millis
	start    float64 // virtual start tag
}

// flow is the queue of one customer for one service, in order of arrival.
type flow struct {
	items   []*item
	finish  float64 // virtual finish tag of the last queued request
	blocked bool    // held back by the customer's concurrency limit
}

// retag moves the requests from position at on to start no earlier than tag.
func (f *flow) retag(at int, tag float64) {
	for _, i := range f.items[at:] {
		i.start = tag
		tag += i.share()
	}
	f.finish = tag
}

// share is the virtual time that a request takes.
func (i *item) share() float64 { return float64(i.cost) / float64(i.customer.limits.weight) }

// service is the fair queue of one service by start-time fair queueing:
// virtual time is the start tag of the request served last, and each request
// advances its customer's tag by cost over weight.
type service struct {
	room    int
	virtual float64
	flows   map[*account]*flow
	drain   drain
}

func (s *service) flow(c *account) *flow {
	f := s.flows[c]
	if f == nil {
		f = &flow{}
		s.flows[c] = f
	}
	return f
}

func (s *service) push(i *item) {
	f := s.flow(i.customer)
	i.start = max(s.virtual, f.finish)
	f.finish = i.start + i.share()
	f.items = append(f.items, i)
}

// remove takes out a request that will not run. Requests behind it move
// forward, so that a customer does not pay for work that was shed.
func (s *service) remove(i *item) {
	f := s.flows[i.customer]
	at := slices.Index(f.items, i)
	if at < 0 {
		return
	}
	f.items = slices.Delete(f.items, at, at+1)
	f.retag(at, i.start)
}

// next returns the queued request with the lowest start tag whose customer may
// run, nil for none. A customer that was held back by its own limit joins at
// the present virtual time and cannot claim the turns that it could not use.
func (s *service) next(mayRun func(*account) bool) *item {
	var next *item
	for c, f := range s.flows {
		if len(f.items) == 0 {
			continue
		}
		if !mayRun(c) {
			f.blocked = true
			continue
		}
		if f.blocked {
			f.blocked = false
			f.retag(0, max(s.virtual, f.items[0].start))
		}
		if next == nil || order(f.items[0], next) < 0 {
			next = f.items[0]
		}
	}
	return next
}

// order sorts requests by start tag, then by arrival.
func order(a, b *item) int {
	if c := cmp.Compare(a.start, b.start); c != 0 {
		return c
	}
	if c := cmp.Compare(a.arrived, b.arrived); c != 0 {
		return c
	}
	if c := cmp.Compare(a.id.Incarnation(), b.id.Incarnation()); c != 0 {
		return c
	}
	return cmp.Compare(a.id.Sequence(), b.id.Sequence())
}

// serve takes i out, which is dispatched now, and advances virtual time to it.
func (s *service) serve(now clock.Millis, i *item) {
	f := s.flows[i.customer]
	f.items = f.items[1:]
	s.virtual = max(s.virtual, i.start)
	s.drain.note(now, i.cost)
}

// tidy forgets customers that have nothing queued and no tag ahead of virtual
// time.
func (s *service) tidy() {
	for c, f := range s.flows {
		if len(f.items) == 0 && f.finish <= s.virtual {
			delete(s.flows, c)
		}
	}
}

func (s *service) empty() bool {
	for _, f := range s.flows {
		if len(f.items) > 0 {
			return false
		}
	}
	return true
}

// inOrder returns all queued requests in the order of service.
func (s *service) inOrder() []*item {
	var all []*item
	for _, f := range s.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, order)
	return all
}

// sorted returns the services in order of name, so that actions come in the
// same order on every run.
func (q *Queue) sorted() []*service {
	names := slices.Sorted(maps.Keys(q.services))
	all := make([]*service, len(names))
	for i, name := range names {
		all[i] = q.services[name]
	}
	return all
}
