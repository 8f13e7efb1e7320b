// Package customer shares the upstreams between customers: weighted fair queueing
// while the upstreams are saturated, rate and concurrency limits per customer, and
// shedding of requests that cannot complete before their deadlines. It has no side
// effects: events go in, actions come out, and the caller supplies the time.
package customer

import (
	"math"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

const (
	// maxQueued is the maximum number of queued requests of one entry.
	maxQueued = 8192
	// maxQueuedPerCustomer is the maximum number of queued requests of one
	// customer at one entry.
	maxQueuedPerCustomer = 1024
	// retryAfter is the delay suggested to callers whose requests were shed or
	// exceeded maxQueued or maxQueuedPerCustomer.
	retryAfter = 1 * clock.Second
	// accountTTL is how long an unused account is kept if its customer is not
	// configured. The request rate has decayed to almost zero long before.
	accountTTL = 1 * clock.Minute
)

// account holds the state of one customer at this entry.
type account struct {
	limits     Limits
	configured bool
	bucket     bucket
	rate       meter
	inFlight   int
	queued     int
	lastUsed   clock.Millis
}

// running is a dispatched request that has not completed.
type running struct {
	customer     *account
	service      *service
	dispatchedAt clock.Millis
}

// Queue is the fair queue of one entry. It is not safe for concurrent use.
type Queue struct {
	customers map[string]*account
	services  map[string]*service
	running   map[frame.ID]running
	queued    map[frame.ID]*item
	peers     peers
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{
		customers: make(map[string]*account),
		services:  make(map[string]*service),
		running:   make(map[frame.ID]running),
		queued:    make(map[frame.ID]*item),
		peers:     make(peers),
	}
}

// Apply applies an event at time now and returns the resulting actions. The times
// of successive calls must not decrease.
func (q *Queue) Apply(now clock.Millis, e Event) []Action {
	switch e := e.(type) {
	case Enqueue:
		return q.enqueue(now, e)
	case FreeCapacity:
		s := q.service(e.service)
		s.freeSlots = e.slots
		return q.dispatch(now, s)
	case Complete:
		return q.complete(now, e)
	case Cancel:
		if i := q.queued[e.id]; i != nil {
			q.drop(i)
		}
	case Configure:
		q.configure(e.customers)
	case Shares:
		q.peers.update(now, e)
	case Tick:
		return q.tick(now)
	}
	return nil
}

func (q *Queue) account(name string) *account {
	c := q.customers[name]
	if c == nil {
		c = &account{limits: NewLimits(name, 1, 0, 0)}
		q.customers[name] = c
	}
	return c
}

func (q *Queue) service(name string) *service {
	s := q.services[name]
	if s == nil {
		s = &service{flows: make(map[*account]*flow)}
		q.services[name] = s
	}
	return s
}

func (q *Queue) configure(customers []Limits) {
	for _, c := range q.customers {
		c.configured = false
		c.limits = NewLimits(c.limits.name, 1, 0, 0)
	}
	for _, l := range customers {
		c := q.account(l.name)
		c.limits = l
		c.configured = true
	}
}

func (q *Queue) enqueue(now clock.Millis, e Enqueue) []Action {
	if q.queued[e.id] != nil {
		return nil
	}
	c := q.account(e.customer)
	c.lastUsed = now
	c.rate.record(now)
	if r := q.checkLimits(now, c); r != nil {
		return []Action{Refuse{e.id, r}}
	}
	if e.deadline <= now {
		return []Action{Refuse{e.id, outcome.Refuse(outcome.DeadlineExceeded, outcome.NotRun, 0)}}
	}
	if len(q.queued) >= maxQueued {
		return []Action{Refuse{e.id, overloaded()}}
	}
	s := q.service(e.service)
	i := &item{id: e.id, customer: c, service: s, cost: max(e.cost, 1), priority: e.priority, deadline: e.deadline, arrived: now}
	q.queued[e.id] = i
	c.queued++
	s.push(i)
	return q.dispatch(now, s)
}

func overloaded() *outcome.Refusal {
	return outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(retryAfter))
}

// checkLimits returns the refusal of a request that exceeds its customer's rate
// limit or maxQueuedPerCustomer, or nil. Requests above the concurrency limit are
// not refused; they stay in the queue.
func (q *Queue) checkLimits(now clock.Millis, c *account) *outcome.Refusal {
	if c.queued >= maxQueuedPerCustomer {
		return outcome.Refuse(outcome.CustomerLimit, outcome.NotRun, int64(retryAfter))
	}
	if c.limits.requestsPerSecond <= 0 {
		return nil
	}
	rate := float64(c.limits.requestsPerSecond) * q.localShare(now, c)
	if wait, ok := c.bucket.take(now, rate); !ok {
		return outcome.Refuse(outcome.CustomerLimit, outcome.NotRun, int64(wait))
	}
	return nil
}

// mayRun reports whether the customer's concurrency limit allows another request
// at this entry.
func (q *Queue) mayRun(now clock.Millis, c *account) bool {
	if c.limits.concurrent <= 0 {
		return true
	}
	_, peerUsage := q.peers.peerUsage(c.limits.name)
	local := int(math.Ceil(float64(c.limits.concurrent) * q.localShare(now, c)))
	return c.inFlight < local && c.inFlight+peerUsage < c.limits.concurrent
}

// dispatch dispatches queued requests in fair order while the service has free
// slots.
func (q *Queue) dispatch(now clock.Millis, s *service) []Action {
	var actions []Action
	for s.freeSlots > 0 {
		i := s.next(func(c *account) bool { return q.mayRun(now, c) })
		if i == nil {
			break
		}
		s.serve(now, i)
		q.dequeue(i)
		s.freeSlots--
		i.customer.inFlight++
		q.running[i.id] = running{i.customer, s, now}
		actions = append(actions, Dispatch{i.id})
	}
	return actions
}

// drop removes a queued request that will not run.
func (q *Queue) drop(i *item) {
	q.dequeue(i)
	i.service.remove(i)
}

func (q *Queue) dequeue(i *item) {
	delete(q.queued, i.id)
	i.customer.queued--
}

func (q *Queue) complete(now clock.Millis, e Complete) []Action {
	r, ok := q.running[e.id]
	if !ok {
		return nil
	}
	delete(q.running, e.id)
	r.customer.inFlight--
	r.service.throughput.recordRun(now - r.dispatchedAt)
	return q.dispatch(now, r.service)
}

func (q *Queue) tick(now clock.Millis) []Action {
	q.peers.expire(now)
	var actions []Action
	for _, s := range q.sortedServices() {
		for _, i := range s.selectShed(now, func(c *account) bool { return q.mayRun(now, c) }) {
			actions = append(actions, Refuse{i.id, q.shedRefusal(now, i)})
			q.drop(i)
		}
		actions = append(actions, q.dispatch(now, s)...)
		s.removeIdleFlows()
	}
	for name, c := range q.customers {
		if !c.configured && c.inFlight == 0 && c.queued == 0 && now-c.lastUsed > accountTTL {
			q.removeAccount(name, c)
		}
	}
	return actions
}

// shedRefusal returns the refusal of a shed request, with the cause of its delay.
func (q *Queue) shedRefusal(now clock.Millis, i *item) *outcome.Refusal {
	if !q.mayRun(now, i.customer) {
		return outcome.Refuse(outcome.CustomerLimit, outcome.NotRun, int64(retryAfter))
	}
	if i.deadline <= now {
		return outcome.Refuse(outcome.DeadlineExceeded, outcome.NotRun, 0)
	}
	return overloaded()
}

func (q *Queue) removeAccount(name string, c *account) {
	delete(q.customers, name)
	for _, s := range q.services {
		delete(s.flows, c)
	}
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return len(q.queued) }

// Running returns the number of dispatched requests that have not completed.
func (q *Queue) Running() int { return len(q.running) }
