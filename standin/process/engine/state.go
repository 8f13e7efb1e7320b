package engine

import (
	"container/heap"
	"math/rand/v2"
)

// reason tells why an engine failed.
type reason string

// Reasons of a failure.
const (
	healthy      reason = ""
	overloaded   reason = "overloadedWhileCold"
	memoryFull   reason = "memoryFull"
	markerFound  reason = "crashMarker"
	faultOrdered reason = "fault"
)

// job is one held request.
type job struct {
	priority int
	order    uint64
	tokens   int
	epoch    uint64
	started  bool
	ready    chan struct{}
}

// state is what an engine holds. Its methods decide; callers lock.
type state struct {
	options     *Options
	random      *rand.Rand
	incarnation uint64
	// epoch changes whenever the engine turns cold; work of an earlier epoch
	// neither counts as load on the cold engine nor warms it up.
	epoch      uint64
	heldEpoch  int
	completed  int
	held       int
	running    int
	heldTokens int
	arrivals   uint64
	waiting    queue
	counts     Counts
}

// Counts are the totals since the process started. They survive failures of
// the modelled engine.
type Counts struct {
	Requests  uint64 `json:"requests"`
	Completed uint64 `json:"completed"`
	// OverLimit counts requests that arrived at a cold engine above its capacity.
	OverLimit uint64 `json:"overLimit"`
	Crashes   uint64 `json:"crashes"`
	Cancelled uint64 `json:"cancelled"`
	// LastCrash is the reason of the last failure.
	LastCrash reason `json:"lastCrash"`
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

// restart begins a new, cold incarnation that holds nothing.
func (s *state) restart() {
	s.incarnation = s.random.Uint64()
	s.held, s.running, s.heldTokens = 0, 0, 0
	s.waiting = nil
	s.chill()
}

// chill makes the engine cold. Held requests go on.
func (s *state) chill() {
	s.epoch++
	s.heldEpoch = 0
	s.completed = 0
}

func (s *state) capacity() int {
	return min(s.options.WarmCapacity, s.options.ColdCapacity+s.completed)
}

func (s *state) cold() bool { return s.capacity() < s.options.WarmCapacity }

// admit takes a request of promptTokens. It returns why the engine fails, if it does.
func (s *state) admit(promptTokens, priority int) (*job, reason) {
	s.arrivals++
	s.counts.Requests++
	j := &job{priority: priority, order: s.arrivals, tokens: promptTokens, epoch: s.epoch, ready: make(chan struct{})}
	s.held++
	s.heldEpoch++
	s.heldTokens += promptTokens
	if why := s.overload(); why != healthy {
		return nil, why
	}
	if s.memoryExceeded() {
		return nil, memoryFull
	}
	heap.Push(&s.waiting, j)
	s.startNext()
	return j, healthy
}

// overload counts work above the capacity of a cold engine and tells whether
// the engine fails from it.
func (s *state) overload() reason {
	if !s.cold() || s.heldEpoch <= s.capacity() {
		return healthy
	}
	s.counts.OverLimit++
	if s.heldEpoch*100 > s.capacity()*s.options.OverloadPercent {
		return overloaded
	}
	return healthy
}

func (s *state) memoryExceeded() bool {
	return int64(s.heldTokens)*s.options.BytesPerToken > s.options.MemoryBytes
}

// startNext lets the first waiting requests into the batch.
func (s *state) startNext() {
	for s.running < s.options.WarmCapacity && s.waiting.Len() > 0 {
		j := heap.Pop(&s.waiting).(*job)
		j.started = true
		s.running++
		close(j.ready)
	}
}

// grow adds one generated token to a held request.
func (s *state) grow(j *job) reason {
	j.tokens++
	s.heldTokens++
	if s.memoryExceeded() {
		return memoryFull
	}
	return healthy
}

// release ends a request of the present incarnation.
func (s *state) release(j *job, completed bool) {
	s.held--
	s.heldTokens -= j.tokens
	if j.started {
		s.running--
	} else {
		s.waiting.remove(j)
	}
	if j.epoch == s.epoch {
		s.heldEpoch--
	}
	if completed {
		s.counts.Completed++
	}
	if completed && j.epoch == s.epoch {
		s.completed++
	}
	s.startNext()
}

// queue orders waiting requests by priority, higher first, then by arrival.
type queue []*job

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].order < q[j].order
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *queue) Push(x any) { *q = append(*q, x.(*job)) }

func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
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
