package once

import (
	"fmt"
	"io"
	"slices"
	"strconv"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
)

// design is a way to make claims durable.
type design struct {
	name          string
	writeInterval clock.Millis // minimum interval between batched writes, 0 for one write per request
	burst         int
	outcomes      bool // without batching: whether the outcome is written as well
}

// designs are the alternatives of docs/decisions/at-most-once.md.
var designs = []design{
	{name: "one write per claim", outcomes: false},
	{name: "one write per claim and outcome", outcomes: true},
	{name: "batched, no pacing", writeInterval: 1, burst: 1},
	{name: "batched, paced at 80 ms", writeInterval: 80, burst: 4},
	{name: "batched, paced at 50 ms (kept)", writeInterval: 50, burst: 4},
}

var ratesPerSecond = []int{1, 10, 100, 300}

const (
	rateDuration = 60 * clock.Second
	// reportDelay is the time from a grant to the report of its response.
	reportDelay = 50 * clock.Millis(1)
	// responseBytes is the size of the stored response of a plain service.
	responseBytes = 200
)

// rateRun is a run without faults at a constant request rate.
type rateRun struct {
	engine      *engine
	store       *store
	process     *process
	owners      [claim.Shards]*claim.Owner
	wakeTimes   [claim.Shards]clock.Millis
	requestedAt map[claim.AttemptID]clock.Millis
	latencies   []clock.Millis
}

// rates writes a table of the write rate and the latency of each design at each
// request rate.
func rates(seed uint64, out io.Writer) {
	fmt.Fprintf(out, "%-32s %8s %9s %12s %8s %8s %8s\n", "design", "req/s", "writes/s", "writes/req", "p50 ms", "p95 ms", "p99 ms")
	for _, d := range designs {
		for _, perSecond := range ratesPerSecond {
			r := newRateRun(seed)
			requests := r.run(d, perSecond)
			slices.Sort(r.latencies)
			fmt.Fprintf(out, "%-32s %8d %9.1f %12.2f %8d %8d %8d\n", d.name, perSecond,
				float64(r.store.writes)/float64(rateDuration/clock.Second), float64(r.store.writes)/float64(requests),
				r.percentile(50), r.percentile(95), r.percentile(99))
		}
	}
}

func newRateRun(seed uint64) *rateRun {
	e := newEngine(seed, 0)
	r := &rateRun{engine: e, store: newStore(e), requestedAt: map[claim.AttemptID]clock.Millis{}}
	r.store.limited = true
	r.process = &process{engine: e, name: "e0"}
	r.process.start()
	return r
}

func (r *rateRun) percentile(p int) clock.Millis {
	return r.latencies[min(len(r.latencies)-1, len(r.latencies)*p/100)]
}

// run sends requests at exponentially distributed intervals and returns their
// number.
func (r *rateRun) run(d design, perSecond int) int {
	if d.writeInterval > 0 {
		r.openOwners(d)
	}
	requests := 0
	mean := float64(clock.Second) / float64(perSecond)
	at := 500.0
	for at < float64(rateDuration) {
		requests++
		number := requests
		r.engine.after(clock.Millis(at), func() { r.request(d, number) })
		at += mean * r.engine.rng.ExpFloat64()
	}
	r.engine.run(start + rateDuration + 20*clock.Second)
	return requests
}

func (r *rateRun) openOwners(d design) {
	for i := range r.owners {
		r.owners[i] = claim.NewOwner(i, 1)
		r.owners[i].WriteInterval = d.writeInterval
		r.owners[i].Burst = d.burst
		r.event(i, claim.Open{})
	}
}

func (r *rateRun) request(d design, number int) {
	if d.writeInterval == 0 {
		r.writeDirect(d, number)
		return
	}
	attemptID := claim.NewAttemptID(1, uint64(number))
	k := claim.KeyOf("customer", strconv.Itoa(number))
	r.requestedAt[attemptID] = r.engine.now
	r.event(k.Shard(), claim.NewAcquire(attemptID, k, 1, claim.NewUpstream("u", 1), r.engine.now+clock.Minute))
}

// writeDirect writes one object per claim, and one per outcome if the design
// stores outcomes.
func (r *rateRun) writeDirect(d design, number int) {
	requestedAt := r.engine.now
	r.put("claim", number, func() {
		r.latencies = append(r.latencies, r.engine.now-requestedAt)
		if d.outcomes {
			r.engine.after(reportDelay, func() { r.put("outcome", number, func() {}) })
		}
	})
}

func (r *rateRun) put(kind string, number int, done func()) {
	name := kind + strconv.Itoa(number)
	r.store.writes++
	r.engine.after(r.store.delay()+r.store.queueDelay(), func() {
		r.store.version++
		r.store.objects[name] = claim.NewObject(name, r.store.version, nil)
		done()
	})
}

func (r *rateRun) event(shard int, event claim.Event) {
	for _, a := range r.owners[shard].Handle(r.engine.now, event) {
		switch a := a.(type) {
		case claim.OwnerReply:
			r.recordGrant(a)
		case claim.List:
			r.store.list(r.process, a, func(x claim.ListResult) { r.event(shard, x) })
		case claim.Read:
			r.store.get(r.process, a, func(x claim.ReadResult) { r.event(shard, x) })
		case claim.Write:
			r.store.put(r.process, a, func(x claim.WriteResult) { r.event(shard, x) })
		case claim.Wake:
			r.scheduleWake(shard, a.At())
		}
	}
}

func (r *rateRun) scheduleWake(shard int, at clock.Millis) {
	if pending := r.wakeTimes[shard]; r.engine.now >= start+rateDuration+10*clock.Second || pending > r.engine.now && pending <= at {
		return
	}
	r.wakeTimes[shard] = at
	r.engine.after(max(1, at-r.engine.now), func() {
		if r.wakeTimes[shard] == at {
			r.event(shard, claim.Tick{})
		}
	})
}

func (r *rateRun) recordGrant(a claim.OwnerReply) {
	g, ok := a.Reply().(claim.Granted)
	if !ok {
		return
	}
	r.latencies = append(r.latencies, r.engine.now-r.requestedAt[a.AttemptID()])
	response := stored.New(200, nil, make([]byte, responseBytes))
	r.engine.after(reportDelay, func() { r.event(a.Key().Shard(), claim.NewReport(a.Key(), g.Grant(), claim.Done, response)) })
}
