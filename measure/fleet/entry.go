package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/request/customer"
	"goldcrestshore/entry/request/route"
	"goldcrestshore/measure/engine"
)

// rerouteInterval is the time after which a baseline router is queried again for
// a request that found no upstream.
const rerouteInterval = 25 * clock.Millis(1)

// Entry models one entry process.
type Entry struct {
	fleet        *Fleet
	name         string
	dataCentre   string
	queue        *customer.Queue
	router       Router
	table        *Table // provides the free capacity, whichever router chooses
	incarnation  uint64
	lastSequence uint64
	pending      map[frame.ID]*pending
	unrouted     int // requests that wait for a baseline router to find an upstream
}

// pending is a request that has no outcome yet.
type pending struct {
	id       frame.ID
	record   *Record
	request  route.Request
	tried    []string
	unrouted bool // waits for a baseline router to find an upstream
	ready    bool // waits for the table to find an upstream
}

func newEntry(f *Fleet, i int, upstreams []route.Upstream) *Entry {
	name := fmt.Sprintf("entry-%d", i)
	e := &Entry{
		fleet:       f,
		name:        name,
		incarnation: uint64(i) + 1,
		dataCentre:  f.options.DataCentres[i%len(f.options.DataCentres)],
		queue:       customer.New(),
		pending:     make(map[frame.ID]*pending),
	}
	e.table = NewTable(f.Sim.Now(), name, e.dataCentre, upstreams, rand.New(rand.NewPCG(f.options.Seed, 1000+uint64(i))))
	e.router = f.options.Router(name, e.dataCentre, e.table)
	e.applyActions(e.queue.Apply(f.Sim.Now(), customer.NewConfigure(f.options.Customers)))
	return e
}

func (e *Entry) run() {
	e.fleet.Sim.Every(tickInterval, func() {
		e.expireReady()
		e.dispatch()
		e.applyActions(e.queue.Apply(e.fleet.Sim.Now(), customer.Tick{}))
	})
}

// usesBaseline reports whether a baseline router chooses the upstreams. The table
// then only provides the free capacity.
func (e *Entry) usesBaseline() bool { return e.router != Router(e.table) }

// arrive enqueues a request of a customer.
func (e *Entry) arrive(r engine.Request) *Record {
	now := e.fleet.Sim.Now()
	record := &Record{Request: r, Arrived: now, Deadline: now + e.fleet.options.Deadline}
	e.fleet.records = append(e.fleet.records, record)
	e.lastSequence++
	id := frame.NewID(e.incarnation, e.lastSequence)
	e.pending[id] = &pending{id: id, record: record, request: route.NewRequest(Service, r.Prompt, int64(r.Prompt+r.MaxTokens), r.Prefixes)}
	e.dispatch()
	e.applyActions(e.queue.Apply(now, customer.NewEnqueue(id, r.Customer, Service, customer.Cost(r.Prompt, r.MaxTokens), r.Priority, record.Deadline)))
	return record
}

// dispatch reports the free capacity to the queue and sends the ready requests.
func (e *Entry) dispatch() {
	now := e.fleet.Sim.Now()
	slots := e.table.FreeCapacity(now) + route.Lookahead - e.table.ReadyCount()
	if e.usesBaseline() {
		slots = e.table.FreeCapacity(now) - e.unrouted
	}
	e.applyActions(e.queue.Apply(now, customer.NewFreeCapacity(Service, max(slots, 0))))
	e.sendReady()
}

// applyActions carries out the decisions of the queue.
func (e *Entry) applyActions(actions []customer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case customer.Dispatch:
			e.routeRequest(e.pending[action.ID()])
		case customer.Refuse:
			e.finish(e.pending[action.ID()], Refused, action.Refusal().Code())
		}
	}
}

// routeRequest routes a request that the queue dispatched. It is called again
// after a refusal by an upstream.
func (e *Entry) routeRequest(o *pending) {
	if e.usesBaseline() {
		e.routeByBaseline(o)
		return
	}
	now := e.fleet.Sim.Now()
	if len(o.tried) >= e.table.Usable(now) {
		o.tried = nil
	}
	o.ready = true
	e.table.Ready(now, o.id, o.request, o.tried)
	e.sendReady()
}

// sendReady sends the requests for which the table finds an upstream.
func (e *Entry) sendReady() {
	if e.usesBaseline() {
		return
	}
	for {
		id, name, ok := e.table.Next(e.fleet.Sim.Now())
		if !ok {
			return
		}
		o := e.pending[id]
		o.ready = false
		e.transmit(o, name)
	}
}

// expireReady refuses the ready requests whose deadline has passed.
func (e *Entry) expireReady() {
	now := e.fleet.Sim.Now()
	for _, id := range sortedIDs(e.pending) {
		if o := e.pending[id]; o.ready && o.record.Deadline <= now {
			e.table.Withdraw(now, id)
			e.complete(o, Refused, outcome.DeadlineExceeded)
		}
	}
}

// routeByBaseline routes a request by a baseline. If no upstream accepts it, it
// tries again after rerouteInterval.
func (e *Entry) routeByBaseline(o *pending) {
	now := e.fleet.Sim.Now()
	if o.record.Deadline <= now {
		e.clearUnrouted(o)
		e.complete(o, Refused, outcome.DeadlineExceeded)
		return
	}
	name, err := e.router.Choose(now, o.request, o.tried)
	if err != nil {
		o.tried = nil
		e.scheduleReroute(o)
		return
	}
	e.clearUnrouted(o)
	e.router.Sent(now, o.id, name, o.request)
	e.table.Sent(now, o.id, name, o.request)
	e.transmit(o, name)
}

// transmit sends a request to the agent of the named upstream.
func (e *Entry) transmit(o *pending, name string) {
	if o.record.Attempts == 0 {
		e.fleet.firstAttempts++
	} else {
		e.fleet.retries++
	}
	o.record.Attempts++
	o.tried = append(o.tried, name)
	a := e.fleet.agent(name)
	c := &call{o.id, e, o.record}
	e.fleet.Sim.After(e.fleet.delay(e.dataCentre, a.dataCentre), func() { a.submit(c) })
}

func (e *Entry) scheduleReroute(o *pending) {
	if !o.unrouted {
		o.unrouted = true
		e.unrouted++
	}
	e.fleet.Sim.After(rerouteInterval, func() {
		if e.pending[o.id] == o && o.unrouted {
			e.routeRequest(o)
		}
	})
}

func (e *Entry) clearUnrouted(o *pending) {
	if o.unrouted {
		o.unrouted = false
		e.unrouted--
	}
}

func (e *Entry) heartbeat(a *Agent, load frame.Load) {
	now := e.fleet.Sim.Now()
	e.router.Heartbeat(now, a.name, load)
	if e.usesBaseline() {
		e.table.Heartbeat(now, a.name, load)
	}
	e.dispatch()
}

func (e *Entry) refused(id frame.ID, a *Agent, _ outcome.Code) {
	o := e.pending[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	e.router.Refused(now, id)
	if e.usesBaseline() {
		e.table.Refused(now, id)
	}
	e.routeRequest(o)
}

func (e *Entry) firstToken(id frame.ID) {
	o := e.pending[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	o.record.FirstTokenAt = now
	e.router.FirstToken(now, id)
	if e.usesBaseline() {
		e.table.FirstToken(now, id)
	}
}

func (e *Entry) ended(id frame.ID, ok bool) {
	o := e.pending[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	e.router.Done(now, id, ok)
	if e.usesBaseline() {
		e.table.Done(now, id, ok)
	}
	result := Completed
	if !ok {
		result = Broken
	}
	e.complete(o, result, "")
}

// complete ends a dispatched request.
func (e *Entry) complete(o *pending, result Result, code outcome.Code) {
	e.finish(o, result, code)
	e.applyActions(e.queue.Apply(e.fleet.Sim.Now(), customer.NewComplete(o.id)))
	e.dispatch()
}

func (e *Entry) finish(o *pending, result Result, code outcome.Code) {
	delete(e.pending, o.id)
	o.record.Ended = e.fleet.Sim.Now()
	o.record.Result = result
	o.record.Code = code
}

// Queued returns the number of requests in the queue of the entry.
func (e *Entry) Queued() int { return e.queue.Queued() }

// sortedIDs returns the keys of a map in a fixed order, which keeps runs
// reproducible.
func sortedIDs[T any](byID map[frame.ID]T) []frame.ID {
	return slices.SortedFunc(maps.Keys(byID), func(a, b frame.ID) int {
		if c := cmp.Compare(a.Incarnation(), b.Incarnation()); c != 0 {
			return c
		}
		return cmp.Compare(a.Sequence(), b.Sequence())
	})
}
