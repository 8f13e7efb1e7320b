package engine

import (
	"math/rand/v2"
	"slices"

	"goldcrestshore/core/process/clock"
)

// Times of one step in ms: a fixed part, one per decoding request and one per
// prompt token. With a batch of 32 a step takes 29 to 60 ms, within the 55 ms
// between tokens that the users' objective allows on average.
const (
	stepBaseMs          = 18.0
	decodeMsPerRequest  = 0.35
	promptMsPerToken    = 0.08
	promptTokensPerStep = 384 // prompt tokens that one step processes
)

// snapshotInterval is the time between two states that load reports can show.
const snapshotInterval = 100 * clock.Millis(1)

// Options describe one engine. Exported fields are set before New.
type Options struct {
	Batch             int          // largest batch; further jobs wait inside the engine
	BudgetTokens      int64        // memory for running jobs and the cache
	CacheTokens       int64        // largest part of the memory that the cache may use
	ColdCapacity      int          // jobs that a cold engine can hold
	WarmPerCompletion float64      // capacity gained with each completed job
	ColdSlowdown      float64      // step time of a cold engine over a warm one
	OverloadFactor    float64      // jobs over the cold capacity that kill a cold engine
	Slowdown          float64      // 1 is normal, 2 takes twice the time
	Restart           clock.Millis // time from a crash until connections are accepted
	ReportLag         clock.Millis // age of a load report
	OmitCold          bool         // load reports never say cold
	EventDelay        clock.Millis // largest delay of a cache event
	EventLossPercent  int          // share of cache events that are lost
}

// DefaultOptions returns the engine of the measurements: 32 jobs at a time.
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

// Job is one request inside an engine. Exported fields are set before Submit.
type Job struct {
	Prompt       int      // prompt tokens
	Prefixes     []uint64 // hashes of the whole blocks of the prompt
	Output       int      // tokens to generate
	Priority     int
	OnFirstToken func()        // called at the first token
	OnEnd        func(ok bool) // called once, unless the engine refuses the job

	uncached   int
	promptLeft int // prompt tokens still to process
	generated  int
	epoch      int
}

// Load is a load report.
type Load struct {
	InFlight       int
	InFlightTokens int64
	Cold           bool
	Incarnation    uint64
}

// CacheEvent tells that a prefix entered or left the cache.
type CacheEvent struct {
	Sequence uint64
	Hash     uint64
	Stored   bool
}

// Engine is one modelled engine.
type Engine struct {
	// OnCacheEvent receives cache events late and with gaps; it may be nil.
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
	warmUp      warmUpState
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
	e.warmUp = warmUpState{options: options, capacity: float64(options.Batch)}
	sim.Every(snapshotInterval, e.snapshot)
	return e
}

// Submit starts a job. It returns false when the engine refuses connections.
func (e *Engine) Submit(j *Job) bool {
	if !e.up {
		return false
	}
	e.counts.Started++
	j.epoch = e.warmUp.epoch
	if e.warmUp.jobArrived() {
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

// step starts the next step unless one is running.
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

// advance gives each job its work of one step: one token, or a part of the
// prompts in order of admission to the batch.
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
		e.warmUp.jobEnded(j.epoch, true)
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

// Crash ends all jobs. The engine returns cold with a new incarnation.
func (e *Engine) Crash() {
	if !e.up {
		return
	}
	e.counts.Crashes++
	e.stop()
	e.sim.After(e.options.Restart, e.start)
}

// stop ends the process with all its jobs.
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

// TurnCold makes the engine cold without warning and without a restart; its cache
// is lost and running jobs go on.
func (e *Engine) TurnCold() {
	e.warmUp.turnCold()
	e.cache.clear()
}

// RestartCold replaces the idle process, as when an instance returns to service.
func (e *Engine) RestartCold() {
	e.stop()
	e.start()
}

// Up reports whether the engine accepts connections.
func (e *Engine) Up() bool { return e.up }

// Cold reports whether the engine is cold now.
func (e *Engine) Cold() bool { return e.warmUp.cold() }

// InFlight returns the number of jobs in the engine.
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

// Load returns a load report of ReportLag ago, or false when the engine refuses
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
	// Events keep their order: a fixed delay for all, chosen by options.
	e.sim.After(e.options.EventDelay, func() { e.OnCacheEvent(event) })
}
