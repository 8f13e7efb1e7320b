package engine

import (
	"container/heap"
	"math/rand/v2"
)

// crashReason is the reason for a crash.
type crashReason string

// Reasons for a crash; healthy means that the engine did not crash.
const (
	healthy       crashReason = ""
	overloaded    crashReason = "overloadedWhileCold"
	memoryFull    crashReason = "memoryFull"
	markerFound   crashReason = "crashMarker"
	faultInjected crashReason = "fault"
)

// job is one queued or running request.
type job struct {
	priority int
	arrival  uint64
	tokens   int
	epoch    uint64
	started  bool
	ready    chan struct{}
}

// state is the load model of an engine. It is not safe for concurrent use.
type state struct {
	options     *Options
	random      *rand.Rand
	incarnation uint64
	// epoch is incremented whenever the engine turns cold. Requests of an earlier
	// epoch neither count as load on the cold engine nor warm it up.
	epoch uint64
	// epochInFlight and completed count the in-flight and the completed requests that
	// were admitted in the current epoch.
	epochInFlight  int
	completed      int
	inFlight       int
	running        int
	inFlightTokens int
	arrivals       uint64
	waiting        queue
	counts         Counts
}

// Counts are the totals since the process started. They survive crashes of the
// modelled engine.
type Counts struct {
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	// OverLimit counts requests that arrived at a cold engine above its capacity.
	OverLimit uint64 `json:"overLimit"`
	Crashes   uint64 `json:"crashes"`
	Cancelled uint64 `json:"cancelled"`
	// LastCrash is the reason for the last crash.
	LastCrash crashReason `json:"lastCrash"`
	// PromptTokens and CachedTokens count the tokens of all prompts and those
	// found in the prefix cache.
	PromptTokens uint64 `json:"promptTokens"`
	CachedTokens uint64 `json:"cachedTokens"`
}

func newState(o *Options) *state {
	s := &state{options: o, random: rand.New(rand.NewPCG(o.Seed, o.Seed))}
	s.restart()
	return s
}

// restart starts a new, cold incarnation without requests.
func (s *state) restart() {
	s.incarnation = s.random.Uint64()
	s.inFlight, s.running, s.inFlightTokens = 0, 0, 0
	s.waiting = nil
	s.turnCold()
}

// turnCold makes the engine cold. In-flight requests continue.
func (s *state) turnCold() {
	s.epoch++
	s.epochInFlight = 0
	s.completed = 0
}

func (s *state) capacity() int {
	return min(s.options.WarmCapacity, s.options.ColdCapacity+s.completed)
}

func (s *state) cold() bool { return s.capacity() < s.options.WarmCapacity }

// admit adds a request with promptTokens to the queue. If that crashes the engine, it
// returns the reason.
func (s *state) admit(promptTokens, priority int) (*job, crashReason) {
	s.arrivals++
	s.counts.Requests++
	j := &job{priority: priority, arrival: s.arrivals, tokens: promptTokens, epoch: s.epoch, ready: make(chan struct{})}
	s.inFlight++
	s.epochInFlight++
	s.inFlightTokens += promptTokens
	if reason := s.checkOverload(); reason != healthy {
		return nil, reason
	}
	if s.memoryExceeded() {
		return nil, memoryFull
	}
	heap.Push(&s.waiting, j)
	s.fillBatch()
	return j, healthy
}

// checkOverload counts a request above the capacity of a cold engine and returns
// overloaded if the engine crashes because of it.
func (s *state) checkOverload() crashReason {
	if !s.cold() || s.epochInFlight <= s.capacity() {
		return healthy
	}
	s.counts.OverLimit++
	if s.epochInFlight*100 > s.capacity()*s.options.OverloadPercent {
		return overloaded
	}
	return healthy
}

func (s *state) memoryExceeded() bool {
	return int64(s.inFlightTokens)*s.options.BytesPerToken > s.options.MemoryBytes
}

// fillBatch starts queued requests until the batch is full.
func (s *state) fillBatch() {
	for s.running < s.options.WarmCapacity && s.waiting.Len() > 0 {
		j := heap.Pop(&s.waiting).(*job)
		j.started = true
		s.running++
		close(j.ready)
	}
}

// addToken adds one generated token to an in-flight request.
func (s *state) addToken(j *job) crashReason {
	j.tokens++
	s.inFlightTokens++
	if s.memoryExceeded() {
		return memoryFull
	}
	return healthy
}

// release removes a request of the current incarnation.
func (s *state) release(j *job, completed bool) {
	s.inFlight--
	s.inFlightTokens -= j.tokens
	if j.started {
		s.running--
	} else {
		s.waiting.remove(j)
	}
	if j.epoch == s.epoch {
		s.epochInFlight--
	}
	if completed {
		s.counts.Completed++
	}
	if completed && j.epoch == s.epoch {
		s.completed++
	}
	s.fillBatch()
}

// queue orders waiting requests by priority, higher first, then by arrival.
type queue []*job

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(*job)) }

func (q *queue) Pop() any {
	items := *q
	last := items[len(items)-1]
	*q = items[:len(items)-1]
	return last
}

func (q *queue) remove(j *job) {
	for i, candidate := range *q {
		if candidate == j {
			heap.Remove(q, i)
			return
		}
	}
}
