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
	startTag float64 // in virtual time
}

// flow is the queue of one customer for one service, in order of arrival.
type flow struct {
	items     []*item
	finishTag float64 // of the last queued request, in virtual time
	blocked   bool    // the customer is at its concurrency limit
}

// retag recomputes the tags of the requests from index first on, starting at tag.
func (f *flow) retag(first int, tag float64) {
	for _, i := range f.items[first:] {
		i.startTag = tag
		tag += i.weightedCost()
	}
	f.finishTag = tag
}

// weightedCost returns the virtual time that the request takes: its cost divided by
// its customer's weight.
func (i *item) weightedCost() float64 { return float64(i.cost) / float64(i.customer.limits.weight) }

// service is the queue of one service. It uses start-time fair queueing: the
// virtual time is the start tag of the request dispatched last, and each request
// advances its customer's finish tag by its cost divided by the weight.
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

// remove removes a request that will not run. The customer's requests behind it
// get earlier tags, so that the customer is not charged for shed work.
func (s *service) remove(i *item) {
	f := s.flows[i.customer]
	index := slices.Index(f.items, i)
	if index < 0 {
		return
	}
	f.items = slices.Delete(f.items, index, index+1)
	f.retag(index, i.startTag)
}

// next returns the queued request with the lowest start tag among the customers
// that mayRun allows, or nil. A customer that was blocked by its own limit
// continues at the current virtual time, so that it gains no credit for the time
// in which it was blocked.
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

// compareItems orders requests by start tag, then by arrival time, then by id.
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

// serve removes the request i, which is dispatched now, from its flow and advances
// the virtual time to its start tag.
func (s *service) serve(now clock.Millis, i *item) {
	f := s.flows[i.customer]
	f.items = f.items[1:]
	s.virtualTime = max(s.virtualTime, i.startTag)
	s.throughput.recordDispatch(now, i.cost)
}

// removeIdleFlows removes the flows without queued requests whose finish tag is
// not ahead of the virtual time.
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

// inServiceOrder returns all queued requests in order of service.
func (s *service) inServiceOrder() []*item {
	var all []*item
	for _, f := range s.flows {
		all = append(all, f.items...)
	}
	slices.SortFunc(all, compareItems)
	return all
}

// sortedServices returns the services sorted by name, so that the order of actions
// is deterministic.
func (q *Queue) sortedServices() []*service {
	names := slices.Sorted(maps.Keys(q.services))
	all := make([]*service, len(names))
	for i, name := range names {
		all[i] = q.services[name]
	}
	return all
}
