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
	startTag float64 // virtual start tag
}

// flow is the queue of one customer for one service, in order of arrival.
type flow struct {
	items     []*item
	finishTag float64 // virtual finish tag of the last queued request
	blocked   bool    // held back by the customer's concurrency limit
}

// retag moves the requests from position at on to start no earlier than tag.
func (f *flow) retag(first int, tag float64) {
	for _, i := range f.items[first:] {
		i.startTag = tag
		tag += i.weightedCost()
	}
	f.finishTag = tag
}

// weightedCost is the virtual time that a request takes.
func (i *item) weightedCost() float64 { return float64(i.cost) / float64(i.customer.limits.weight) }

// service is the fair queue of one service by start-time fair queueing:
// virtual time is the start tag of the request served last, and each request
// advances its customer's tag by cost over weight.
type service struct {
	freeSlots   int
	virtualTime float64
	flows       map[*account]*flow
	throughput  throughput
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
	i.startTag = max(s.virtualTime, f.finishTag)
	f.finishTag = i.startTag + i.weightedCost()
	f.items = append(f.items, i)
}

// remove takes out a request that will not run. Requests behind it move
// forward, so that a customer does not pay for work that was shed.
func (s *service) remove(i *item) {
	f := s.flows[i.customer]
	index := slices.Index(f.items, i)
	if index < 0 {
		return
	}
	f.items = slices.Delete(f.items, index, index+1)
	f.retag(index, i.startTag)
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
			f.retag(0, max(s.virtualTime, f.items[0].startTag))
		}
		if next == nil || compareItems(f.items[0], next) < 0 {
			next = f.items[0]
		}
	}
	return next
}

// compareItems sorts requests by start tag, then by arrival.
func compareItems(a, b *item) int {
	if c := cmp.Compare(a.startTag, b.startTag); c != 0 {
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
	s.virtualTime = max(s.virtualTime, i.startTag)
	s.throughput.recordDispatch(now, i.cost)
}

// removeIdleFlows forgets customers that have nothing queued and no tag ahead of virtual
// time.
func (s *service) removeIdleFlows() {
	for c, f := range s.flows {
		if len(f.items) == 0 && f.finishTag <= s.virtualTime {
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

// inServiceOrder returns all queued requests in the order of service.
func (s *service) inServiceOrder() []*item {
	var all []*item
	for _, f := range s.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, compareItems)
	return all
}

// sortedServices returns the services in order of name, so that actions come in the
// same order on every run.
func (q *Queue) sortedServices() []*service {
	names := slices.Sorted(maps.Keys(q.services))
	all := make([]*service, len(names))
	for i, name := range names {
		all[i] = q.services[name]
	}
	return all
}
