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

// design is one way to make claims durable.
type design struct {
	name     string
	gap      clock.Millis // 0 for one write per request
	burst    int
	outcomes bool // one write per request: whether the outcome is written too
}

// designs are the ways weighed in docs/decisions/at-most-once.md.
var designs = []design{
	{name: "one write per claim", outcomes: false},
	{name: "one write per claim and outcome", outcomes: true},
	{name: "batched, no pacing", gap: 1, burst: 1},
	{name: "batched, paced at 80 ms", gap: 80, burst: 4},
	{name: "batched, paced at 50 ms (kept)", gap: 50, burst: 4},
}

var ratesPerSecond = []int{1, 10, 100, 300}

const (
	rateSpan = 60 * clock.Second
	// answerTime is the time from a grant to the report of its answer.
	answerTime = 50 * clock.Millis(1)
	// answerBytes is the size of a plain service's stored answer.
	answerBytes = 200
)

// rateRun is one run without faults at a steady rate.
type rateRun struct {
	engine  *engine
	store   *store
	process *process
	owners  [claim.Shards]*claim.Owner
	wakes   [claim.Shards]clock.Millis
	asked   map[claim.AttemptID]clock.Millis
	waits   []clock.Millis
}

// rates measures all designs at all rates.
func rates(seed uint64, out io.Writer) {
	fmt.Fprintf(out, "%-32s %8s %9s %12s %8s %8s %8s\n", "design", "req/s", "writes/s", "writes/req", "p50 ms", "p95 ms", "p99 ms")
	for _, d := range designs {
		for _, perSecond := range ratesPerSecond {
			r := newRateRun(seed)
			requests := r.run(d, perSecond)
			slices.Sort(r.waits)
			fmt.Fprintf(out, "%-32s %8d %9.1f %12.2f %8d %8d %8d\n", d.name, perSecond,
				float64(r.store.writes)/float64(rateSpan/clock.Second), float64(r.store.writes)/float64(requests),
				r.percentile(50), r.percentile(95), r.percentile(99))
		}
	}
}

func newRateRun(seed uint64) *rateRun {
	e := newEngine(seed, 0)
	r := &rateRun{engine: e, store: newStore(e), asked: map[claim.AttemptID]clock.Millis{}}
	r.store.limited = true
	r.process = &process{engine: e, name: "e0"}
	r.process.start()
	return r
}

func (r *rateRun) percentile(p int) clock.Millis {
	return r.waits[min(len(r.waits)-1, len(r.waits)*p/100)]
}

// run offers requests at exponential intervals and returns their number.
func (r *rateRun) run(d design, perSecond int) int {
	if d.gap > 0 {
		r.open(d)
	}
	requests := 0
	mean := float64(clock.Second) / float64(perSecond)
	at := 500.0
	for at < float64(rateSpan) {
		requests++
		number := requests
		r.engine.after(clock.Millis(at), func() { r.request(d, number) })
		at += mean * r.engine.rng.ExpFloat64()
	}
	r.engine.run(start + rateSpan + 20*clock.Second)
	return requests
}

func (r *rateRun) open(d design) {
	for i := range r.owners {
		r.owners[i] = claim.NewOwner(i, 1)
		r.owners[i].WriteInterval = d.gap
		r.owners[i].Burst = d.burst
		r.event(i, claim.Open{})
	}
}

func (r *rateRun) request(d design, number int) {
	if d.gap == 0 {
		r.direct(d, number)
		return
	}
	ref := claim.NewAttemptID(1, uint64(number))
	k := claim.KeyOf("customer", strconv.Itoa(number))
	r.asked[ref] = r.engine.now
	r.event(k.Shard(), claim.NewAcquire(ref, k, 1, claim.NewUpstream("u", 1), r.engine.now+clock.Minute))
}

// direct writes one object per claim, and one per outcome if the design does.
func (r *rateRun) direct(d design, number int) {
	asked := r.engine.now
	r.put("claim", number, func() {
		r.waits = append(r.waits, r.engine.now-asked)
		if d.outcomes {
			r.engine.after(answerTime, func() { r.put("outcome", number, func() {}) })
		}
	})
}

func (r *rateRun) put(kind string, number int, done func()) {
	name := kind + strconv.Itoa(number)
	r.store.writes++
	r.engine.after(r.store.delay()+r.store.queueing(), func() {
		r.store.version++
		r.store.objects[name] = claim.NewObject(name, r.store.version, nil)
		done()
	})
}

func (r *rateRun) event(shard int, event claim.Event) {
	for _, a := range r.owners[shard].Handle(r.engine.now, event) {
		switch a := a.(type) {
		case claim.OwnerReply:
			r.granted(a)
		case claim.List:
			r.store.list(r.process, a, func(x claim.ListResult) { r.event(shard, x) })
		case claim.Read:
			r.store.get(r.process, a, func(x claim.ReadResult) { r.event(shard, x) })
		case claim.Write:
			r.store.put(r.process, a, func(x claim.WriteResult) { r.event(shard, x) })
		case claim.Wake:
			r.wake(shard, a.At())
		}
	}
}

func (r *rateRun) wake(shard int, at clock.Millis) {
	if pending := r.wakes[shard]; r.engine.now >= start+rateSpan+10*clock.Second || pending > r.engine.now && pending <= at {
		return
	}
	r.wakes[shard] = at
	r.engine.after(max(1, at-r.engine.now), func() {
		if r.wakes[shard] == at {
			r.event(shard, claim.Tick{})
		}
	})
}

func (r *rateRun) granted(a claim.OwnerReply) {
	g, ok := a.Reply().(claim.Granted)
	if !ok {
		return
	}
	r.waits = append(r.waits, r.engine.now-r.asked[a.AttemptID()])
	answer := stored.New(200, nil, make([]byte, answerBytes))
	r.engine.after(answerTime, func() { r.event(a.Key().Shard(), claim.NewReport(a.Key(), g.Grant(), claim.Done, answer)) })
}
