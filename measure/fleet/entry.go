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

// parkInterval is the time after which a request that found no upstream with
// room looks again.
const parkInterval = 25 * clock.Millis(1)

// Entry is one entry process.
type Entry struct {
	fleet       *Fleet
	name        string
	dataCentre  string
	queue       *customer.Queue
	router      Router
	table       *Table // gives the room, whichever router chooses
	incarnation uint64
	next        uint64
	open        map[frame.ID]*open
	parked      int
}

// open is a request that has no outcome yet.
type open struct {
	id      frame.ID
	record  *Record
	request route.Request
	tried   []string
	parked  bool
	ready   bool
}

func newEntry(f *Fleet, i int, list []route.Upstream) *Entry {
	name := fmt.Sprintf("entry-%d", i)
	e := &Entry{
		fleet:       f,
		name:        name,
		incarnation: uint64(i) + 1,
		dataCentre:  f.options.DataCentres[i%len(f.options.DataCentres)],
		queue:       customer.New(),
		open:        make(map[frame.ID]*open),
	}
	e.table = NewTable(f.Sim.Now(), name, e.dataCentre, list, rand.New(rand.NewPCG(f.options.Seed, 1000+uint64(i))))
	e.router = f.options.Router(name, e.dataCentre, e.table)
	e.do(e.queue.Apply(f.Sim.Now(), customer.NewConfigure(f.options.Customers)))
	return e
}

func (e *Entry) run() {
	e.fleet.Sim.Every(tickInterval, func() {
		e.expire()
		e.pump()
		e.do(e.queue.Apply(e.fleet.Sim.Now(), customer.Tick{}))
	})
}

// shared reports whether a baseline router chooses and the table only counts.
func (e *Entry) shared() bool { return e.router != Router(e.table) }

func (e *Entry) arrive(r engine.Request) *Record {
	now := e.fleet.Sim.Now()
	record := &Record{Request: r, Arrived: now, Deadline: now + e.fleet.options.Deadline}
	e.fleet.records = append(e.fleet.records, record)
	e.next++
	id := frame.NewID(e.incarnation, e.next)
	e.open[id] = &open{id: id, record: record, request: route.NewRequest(Service, r.Prompt, int64(r.Prompt+r.Limit), r.Prefixes)}
	e.pump()
	e.do(e.queue.Apply(now, customer.NewEnqueue(id, r.Customer, Service, customer.Cost(r.Prompt, r.Limit), r.Priority, record.Deadline)))
	return record
}

// pump tells the queue how much room there is, and sends what is ready.
func (e *Entry) pump() {
	now := e.fleet.Sim.Now()
	room := e.table.FreeCapacity(now) + route.Lookahead - e.table.ReadyCount()
	if e.shared() {
		room = e.table.FreeCapacity(now) - e.parked
	}
	e.do(e.queue.Apply(now, customer.NewFreeCapacity(Service, max(room, 0))))
	e.sendReady()
}

func (e *Entry) do(actions []customer.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case customer.Dispatch:
			e.send(e.open[action.ID()])
		case customer.Refuse:
			e.finish(e.open[action.ID()], Refused, action.Refusal().Code())
		}
	}
}

// send routes a request that has its turn.
func (e *Entry) send(o *open) {
	if e.shared() {
		e.sendByBaseline(o)
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
	if e.shared() {
		return
	}
	for {
		id, name, ok := e.table.Next(e.fleet.Sim.Now())
		if !ok {
			return
		}
		o := e.open[id]
		o.ready = false
		e.transmit(o, name)
	}
}

// expire refuses the ready requests whose deadline has passed.
func (e *Entry) expire() {
	now := e.fleet.Sim.Now()
	for _, id := range sortedIDs(e.open) {
		if o := e.open[id]; o.ready && o.record.Deadline <= now {
			e.table.Withdraw(now, id)
			e.complete(o, Refused, outcome.DeadlineExceeded)
		}
	}
}

// sendByBaseline routes by a baseline, or parks the request until there is room.
func (e *Entry) sendByBaseline(o *open) {
	now := e.fleet.Sim.Now()
	if o.record.Deadline <= now {
		e.unpark(o)
		e.complete(o, Refused, outcome.DeadlineExceeded)
		return
	}
	name, err := e.router.Choose(now, o.request, o.tried)
	if err != nil {
		o.tried = nil
		e.park(o)
		return
	}
	e.unpark(o)
	e.router.Sent(now, o.id, name, o.request)
	e.table.Sent(now, o.id, name, o.request)
	e.transmit(o, name)
}

func (e *Entry) transmit(o *open, name string) {
	if o.record.Attempts == 0 {
		e.fleet.sent++
	} else {
		e.fleet.resent++
	}
	o.record.Attempts++
	o.tried = append(o.tried, name)
	a := e.fleet.agent(name)
	c := &call{o.id, e, o.record}
	e.fleet.Sim.After(e.fleet.delay(e.dataCentre, a.dataCentre), func() { a.submit(c) })
}

func (e *Entry) park(o *open) {
	if !o.parked {
		o.parked = true
		e.parked++
	}
	e.fleet.Sim.After(parkInterval, func() {
		if e.open[o.id] == o && o.parked {
			e.send(o)
		}
	})
}

func (e *Entry) unpark(o *open) {
	if o.parked {
		o.parked = false
		e.parked--
	}
}

func (e *Entry) heartbeat(a *Agent, load frame.Load) {
	now := e.fleet.Sim.Now()
	e.router.Heartbeat(now, a.name, load)
	if e.shared() {
		e.table.Heartbeat(now, a.name, load)
	}
	e.pump()
}

func (e *Entry) refused(id frame.ID, a *Agent, _ outcome.Code) {
	o := e.open[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	e.router.Refused(now, id)
	if e.shared() {
		e.table.Refused(now, id)
	}
	e.send(o)
}

func (e *Entry) firstToken(id frame.ID) {
	o := e.open[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	o.record.First = now
	e.router.FirstToken(now, id)
	if e.shared() {
		e.table.FirstToken(now, id)
	}
}

func (e *Entry) ended(id frame.ID, ok bool) {
	o := e.open[id]
	if o == nil {
		return
	}
	now := e.fleet.Sim.Now()
	e.router.Done(now, id, ok)
	if e.shared() {
		e.table.Done(now, id, ok)
	}
	result := Answered
	if !ok {
		result = Broken
	}
	e.complete(o, result, "")
}

// complete ends a dispatched request.
func (e *Entry) complete(o *open, result Result, code outcome.Code) {
	e.finish(o, result, code)
	e.do(e.queue.Apply(e.fleet.Sim.Now(), customer.NewComplete(o.id)))
	e.pump()
}

func (e *Entry) finish(o *open, result Result, code outcome.Code) {
	delete(e.open, o.id)
	o.record.Ended = e.fleet.Sim.Now()
	o.record.Result = result
	o.record.Code = code
}

// Queued returns how many requests wait at the entry.
func (e *Entry) Queued() int { return e.queue.Queued() }

func sortedIDs[T any](calls map[frame.ID]T) []frame.ID {
	return slices.SortedFunc(maps.Keys(calls), func(a, b frame.ID) int {
		if c := cmp.Compare(a.Incarnation(), b.Incarnation()); c != 0 {
			return c
		}
		return cmp.Compare(a.Sequence(), b.Sequence())
	})
}
