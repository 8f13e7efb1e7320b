package engine

import (
	"math/rand/v2"
	"slices"

	"goldcrestshore/core/process/clock"
)

// The duration of one step in ms has a fixed part, a part per decoding request
// and a part per prompt token. With a batch of 32 a step takes 29 to 60 ms, within the 55 ms
// between tokens that the latency objective of the users allows on average.
const (
	stepBaseMs          = 18.0
	decodeMsPerRequest  = 0.35
	promptMsPerToken    = 0.08
	promptTokensPerStep = 384 // largest number of prompt tokens processed in one step
)

// snapshotInterval is the time between two snapshots of the load for reports.
const snapshotInterval = 100 * clock.Millis(1)

// Options configure one engine.
type Options struct {
	Batch             int          // largest batch; further jobs wait inside the engine
	BudgetTokens      int64        // memory shared by running jobs and the cache
	CacheTokens       int64        // largest share of BudgetTokens that the cache may use
	ColdCapacity      int          // jobs that an engine can hold when it turns cold
	WarmPerCompletion float64      // capacity gained with each completed job
	ColdSlowdown      float64      // step duration of a cold engine relative to a warm one
	OverloadFactor    float64      // a cold engine crashes above this multiple of its capacity
	Slowdown          float64      // factor on the step duration: 1 is normal, 2 is half speed
	Restart           clock.Millis // time from a crash until connections are accepted
	ReportLag         clock.Millis // age of a load report
	OmitCold          bool         // load reports never report a cold engine
	EventDelay        clock.Millis // delay of every cache event
	EventLossPercent  int          // share of cache events that are lost
}

// DefaultOptions returns the options that the measurements start from.
func DefaultOptions() Options {
	return Options{
		Batch:             32,
		BudgetTokens:      96_000,
		CacheTokens:       24_000,
		ColdCapacity:      4,
		WarmPerCompletion: 1,
		ColdSlowdown:      3,
		OverloadFactor:    2,
		Slowdown:          1,
		Restart:           5 * clock.Second,
		ReportLag:         500,
		EventDelay:        800,
		EventLossPercent:  3,
	}
}

// Job is one request to an engine. Exported fields are set before Submit.
type Job struct {
	Prompt       int      // prompt tokens
	Prefixes     []uint64 // hashes of the whole blocks of the prompt
	Output       int      // tokens to generate
	Priority     int
	OnFirstToken func()        // called when the first token is generated
	OnEnd        func(ok bool) // called once, unless the engine refuses the job

	uncached   int
	promptLeft int // prompt tokens still to process
	generated  int
	epoch      int
}

// Load is a load report. InFlight counts running and waiting jobs.
type Load struct {
	InFlight       int
	InFlightTokens int64
	Cold           bool
	Incarnation    uint64
}

// CacheEvent reports that a prompt block was stored in the cache or evicted.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// Engine simulates one model engine.
type Engine struct {
	// OnCacheEvent receives cache events delayed and with losses, which show as
	// gaps in their sequence; it may be nil.
	OnCacheEvent func(CacheEvent)

	options     Options
	sim         *Simulation
	random      *rand.Rand
	cache       *cache
	events      uint64
	up          bool
	stepping    bool
	incarnation uint64
	waiting     []*Job
	batch       []*Job
	warmUp      warmUp
	history     []Load
	counts      Counts
}

// Counts are totals since the start.
type Counts struct {
	Started      int
	Crashes      int
	OverLimit    int // jobs that reached a cold engine above its capacity
	PromptTokens int
	CachedTokens int
	OutOfMemory  int
}

// New returns an engine that is up and warm.
func New(sim *Simulation, options Options, random *rand.Rand) *Engine {
	e := &Engine{options: options, sim: sim, random: random, up: true, incarnation: random.Uint64() | 1}
	e.cache = newCache(e.cacheChanged)
	e.warmUp = warmUp{options: options, capacity: float64(options.Batch)}
	sim.Every(snapshotInterval, e.snapshot)
	return e
}

// Submit queues a job. It returns false when the engine refuses connections.
// A job that overloads a cold engine crashes it and is then ended as failed.
func (e *Engine) Submit(j *Job) bool {
	if !e.up {
		return false
	}
	e.counts.Started++
	j.epoch = e.warmUp.epoch
	if e.warmUp.arrived() {
		e.counts.OverLimit++
	}
	cached := min(e.cache.lookUpAndStore(j.Prefixes), j.Prompt-1)
	e.counts.PromptTokens += j.Prompt
	e.counts.CachedTokens += cached
	j.uncached = j.Prompt - cached
	j.promptLeft = j.uncached
	at, _ := slices.BinarySearchFunc(e.waiting, j, func(have, j *Job) int {
		if have.Priority >= j.Priority {
			return -1
		}
		return 1
	})
	e.waiting = slices.Insert(e.waiting, at, j)
	if e.warmUp.overloaded() {
		e.Crash()
		return true
	}
	e.step()
	return true
}

// step admits waiting jobs to the batch and starts the next step, unless one is
// running.
func (e *Engine) step() {
	if e.stepping || !e.up {
		return
	}
	for len(e.batch) < e.options.Batch && len(e.waiting) > 0 {
		e.batch = append(e.batch, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.batch) == 0 {
		return
	}
	e.stepping = true
	incarnation := e.incarnation
	decoding, prompts := e.advance()
	ms := stepBaseMs + decodeMsPerRequest*float64(decoding) + promptMsPerToken*float64(prompts)
	e.sim.After(clock.Millis(ms*e.options.Slowdown*e.warmUp.slowdown()), func() {
		if e.incarnation == incarnation {
			e.stepping = false
			e.finishStep()
		}
	})
}

// advance does the work of one step: each decoding job generates one token, and
// the other jobs share promptTokensPerStep in order of admission to the batch.
func (e *Engine) advance() (decoding, prompts int) {
	for _, j := range e.batch {
		if j.promptLeft == 0 {
			decoding++
			j.generated++
			continue
		}
		part := min(j.promptLeft, promptTokensPerStep-prompts)
		j.promptLeft -= part
		prompts += part
	}
	return decoding, prompts
}

func (e *Engine) finishStep() {
	var first, ended []*Job
	e.batch = slices.DeleteFunc(e.batch, func(j *Job) bool {
		if j.promptLeft == 0 && j.generated == 0 {
			j.generated = 1
			first = append(first, j)
		}
		if j.generated < j.Output {
			return false
		}
		ended = append(ended, j)
		return true
	})
	for _, j := range ended {
		e.warmUp.ended(j.epoch, true)
	}
	if e.usedTokens() > e.options.BudgetTokens {
		e.counts.OutOfMemory++
		e.batch = append(e.batch, ended...)
		e.Crash()
		return
	}
	e.cache.shrink(min(e.options.CacheTokens, e.options.BudgetTokens-e.usedTokens()))
	for _, j := range first {
		j.OnFirstToken()
	}
	for _, j := range ended {
		j.OnEnd(true)
	}
	e.step()
}

func (e *Engine) usedTokens() int64 {
	var used int64
	for _, j := range e.batch {
		used += int64(j.Prompt - j.promptLeft + j.generated)
	}
	return used
}

// Crash fails all jobs. The engine restarts cold with a new incarnation after
// Options.Restart.
func (e *Engine) Crash() {
	if !e.up {
		return
	}
	e.counts.Crashes++
	e.stop()
	e.sim.After(e.options.Restart, e.start)
}

// stop ends the process and fails all its jobs.
func (e *Engine) stop() {
	failed := slices.Concat(e.batch, e.waiting)
	e.up = false
	e.stepping = false
	e.incarnation++
	e.batch, e.waiting = nil, nil
	e.cache.clear()
	e.history = nil
	for _, j := range failed {
		j.OnEnd(false)
	}
}

func (e *Engine) start() {
	e.up = true
	e.warmUp.turnCold()
	e.snapshot()
}

// TurnCold makes the engine cold without notice and without a restart; its cache
// is lost and running jobs continue.
func (e *Engine) TurnCold() {
	e.warmUp.turnCold()
	e.cache.clear()
}

// RestartCold restarts the process at once, as when an instance returns to
// service while idle.
func (e *Engine) RestartCold() {
	e.stop()
	e.start()
}

// Up reports whether the engine accepts connections.
func (e *Engine) Up() bool { return e.up }

// Cold reports whether the engine is cold now.
func (e *Engine) Cold() bool { return e.warmUp.cold() }

// InFlight returns the number of running and waiting jobs.
func (e *Engine) InFlight() int { return len(e.batch) + len(e.waiting) }

// Counts returns the totals since the start.
func (e *Engine) Counts() Counts { return e.counts }

func (e *Engine) snapshot() {
	if !e.up {
		return
	}
	tokens := e.usedTokens()
	for _, j := range e.waiting {
		tokens += int64(j.Prompt)
	}
	e.history = append(e.history, Load{e.InFlight(), tokens, e.Cold() && !e.options.OmitCold, e.incarnation})
	if keep := int(e.options.ReportLag/snapshotInterval) + 1; len(e.history) > keep {
		e.history = e.history[len(e.history)-keep:]
	}
}

// Load returns the load as of ReportLag ago, or false when the engine refuses
// connections.
func (e *Engine) Load() (Load, bool) {
	if !e.up || len(e.history) == 0 {
		return Load{}, false
	}
	return e.history[0], true
}

func (e *Engine) cacheChanged(hash uint64, stored bool) {
	e.events++
	event := CacheEvent{e.events, hash, stored}
	if e.OnCacheEvent == nil || e.random.IntN(100) < e.options.EventLossPercent {
		return
	}
	// The same delay for all events keeps them in order.
	e.sim.After(e.options.EventDelay, func() { e.OnCacheEvent(event) })
}
