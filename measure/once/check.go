package once

import (
	"fmt"
	"maps"
	"slices"
	"strconv"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/entry/request/suspect"
)

const (
	entriesPerWorld   = 4
	upstreamsPerWorld = 6
	callsPerSchedule  = 30
	// faultWindow is the period at the start of a schedule in which calls start and
	// faults are injected. All of them end in the rest of the schedule.
	faultWindow = 6 * clock.Second
	// scheduleDuration is long enough for all attempts of a call to time out.
	scheduleDuration = 90 * clock.Second
)

// world is the state of one schedule: the simulated processes, the callers and the
// records that are checked at its end.
type world struct {
	engine  *engine
	network *network
	store   *store
	entries []*entry
	agents  map[string]*agent
	listed  []string
	faults  []scheduledFault
	calls   []*call

	incarnations      uint64
	attempts          uint64
	callerAttempts    int
	callOf            map[int]*call
	retryWithoutClaim bool
	crashBodies       []string

	ledger []execution
	// upstreamsLost lists the upstreams that the requests of a fingerprint crashed.
	upstreamsLost map[suspect.Fingerprint][]string
	// refusedNotRun maps a caller attempt to when its "not run" refusal was decided.
	refusedNotRun       map[int]clock.Millis
	codes               map[outcome.Code]int
	responses           int
	notRun              int
	unknown             int
	brokenCalls         int
	wrong               int
	cutByPlannedStop    int
	innocentQuarantined int
	violations          []string
}

func newWorld(seed, stream uint64) *world {
	e := newEngine(seed, stream)
	w := &world{
		engine:        e,
		network:       &network{engine: e, blockedUntil: map[[2]string]clock.Millis{}},
		store:         newStore(e),
		agents:        map[string]*agent{},
		callOf:        map[int]*call{},
		upstreamsLost: map[suspect.Fingerprint][]string{},
		refusedNotRun: map[int]clock.Millis{},
		codes:         map[outcome.Code]int{},
	}
	for i := range upstreamsPerWorld {
		a := &agent{process: process{engine: e, name: "u" + strconv.Itoa(i)}, world: w, upstreamUp: true, upstreamIncarnation: 1}
		w.agents[a.name] = a
		a.boot()
	}
	for i := range entriesPerWorld {
		n := &entry{process: process{engine: e, name: "e" + strconv.Itoa(i)}, world: w}
		w.entries = append(w.entries, n)
		w.listed = append(w.listed, n.name)
	}
	for _, n := range w.entries {
		n.boot()
	}
	return w
}

func (w *world) upstreamNames() []string { return slices.Sorted(maps.Keys(w.agents)) }

func (w *world) entryNamed(name string) *entry {
	for _, e := range w.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

// liveList returns the platform's current list of entries, which lags behind the
// actual state.
func (w *world) liveList() []string { return slices.Clone(w.listed) }

func (w *world) unlist(name string) {
	w.engine.after(w.engine.between(100, listLag), func() { w.unlistNow(name) })
}

func (w *world) unlistNow(name string) {
	w.listed = slices.DeleteFunc(w.listed, func(s string) bool { return s == name })
}

func (w *world) list(name string) {
	if !slices.Contains(w.listed, name) {
		w.listed = append(w.listed, name)
		slices.Sort(w.listed)
	}
}

// pickEntry returns the entry to which the load balancer opens a new connection.
// The entry may be terminated or paused. It returns nil if no entry is available.
func (w *world) pickEntry() *entry {
	var candidates []*entry
	for _, e := range w.entries {
		if slices.Contains(w.listed, e.name) && !e.stopping {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.engine.rng.IntN(len(candidates))]
}

func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("at %d ms: ", w.engine.now-start)+fmt.Sprintf(format, args...))
}

// result holds the counts of one or more schedules.
type result struct {
	schedules           int
	requests            int
	callerAttempts      int
	responses           int
	duplicated          int
	falseNotRun         int
	wrong               int
	cutByPlannedStop    int
	unknown             int
	notRun              int
	broken              int
	writes              int
	keyed               int
	unanswered          int // keyed calls that ended without a response
	crashing            int
	maxUpstreamsLost    int
	lostBeyondTwo       int
	innocentQuarantined int
}

func (r *result) add(o result) {
	r.schedules += o.schedules
	r.requests += o.requests
	r.callerAttempts += o.callerAttempts
	r.responses += o.responses
	r.duplicated += o.duplicated
	r.falseNotRun += o.falseNotRun
	r.wrong += o.wrong
	r.cutByPlannedStop += o.cutByPlannedStop
	r.unknown += o.unknown
	r.notRun += o.notRun
	r.broken += o.broken
	r.writes += o.writes
	r.keyed += o.keyed
	r.unanswered += o.unanswered
	r.crashing += o.crashing
	r.maxUpstreamsLost = max(r.maxUpstreamsLost, o.maxUpstreamsLost)
	r.lostBeyondTwo += o.lostBeyondTwo
	r.innocentQuarantined += o.innocentQuarantined
}

// missed reports whether an at-most-once goal is missed.
func (r *result) missed() bool {
	return r.duplicated+r.falseNotRun+r.wrong+r.cutByPlannedStop > 0
}

// checkResults checks the ledger and the callers' records at the end of a schedule.
func (w *world) checkResults() result {
	r := result{
		schedules:           1,
		requests:            len(w.calls),
		callerAttempts:      w.callerAttempts,
		responses:           w.responses,
		wrong:               w.wrong,
		cutByPlannedStop:    w.cutByPlannedStop,
		unknown:             w.unknown,
		notRun:              w.notRun,
		broken:              w.brokenCalls,
		writes:              w.store.writes,
		innocentQuarantined: w.innocentQuarantined,
	}
	w.checkLedger(&r)
	w.checkNotRun(&r)
	for _, c := range w.calls {
		if c.key != "" {
			r.keyed++
		}
		if c.key != "" && c.response == "" {
			r.unanswered++
		}
	}
	for print, upstreams := range w.upstreamsLost {
		r.maxUpstreamsLost = max(r.maxUpstreamsLost, len(upstreams))
		r.crashing++
		if len(upstreams) > 2 {
			r.lostBeyondTwo++
			w.reportViolation("fingerprint %x crashed %v", print, upstreams)
		}
	}
	return r
}

// checkLedger counts the executions after the first one of each key, and of each
// caller attempt without a key. Idempotent calls may run more than once.
func (w *world) checkLedger(r *result) {
	runs := map[string]int{}
	for _, x := range w.ledger {
		c := w.callOf[x.callerAttempt]
		if c.idempotent {
			continue
		}
		name := "key " + c.customer + " " + x.key
		if x.key == "" {
			name = "sending " + strconv.Itoa(x.callerAttempt)
		}
		runs[name]++
		if runs[name] > 1 {
			r.duplicated++
			w.reportViolation("%s of call %d ran again on %s at %d ms", name, c.id, x.upstream, x.at-start)
		}
	}
}

// checkNotRun counts the refusals that state "not run" although the attempt ran. For
// a keyed call, an execution of any attempt before the refusal was decided counts.
func (w *world) checkNotRun(r *result) {
	for _, callerAttempt := range slices.Sorted(maps.Keys(w.refusedNotRun)) {
		at := w.refusedNotRun[callerAttempt]
		c := w.callOf[callerAttempt]
		for _, x := range w.ledger {
			sameKey := c.key != "" && x.key == c.key && w.callOf[x.callerAttempt] == c && x.at <= at
			if x.callerAttempt == callerAttempt || sameKey {
				r.falseNotRun++
				w.reportViolation("call %d was refused as not run at %d ms but ran at %d ms", c.id, at-start, x.at-start)
				break
			}
		}
	}
}
