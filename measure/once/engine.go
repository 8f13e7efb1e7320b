// Package once measures whether non-idempotent requests run at most once. It
// drives the decision packages of entries and agents through seeded fault
// schedules in virtual time, with small fakes of the platform, the connections,
// the plain services and the callers. The results are checked against the
// services' ledger of executions and the responses that callers received.
package once

import (
	"container/heap"
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
)

// step is an action scheduled at an instant of virtual time. Steps of the same
// instant run in the order in which they were scheduled.
type step struct {
	at    clock.Millis
	order uint64
	do    func()
}

type steps []step

func (s steps) Len() int { return len(s) }
func (s steps) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}
func (s steps) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *steps) Push(x any) { *s = append(*s, x.(step)) }

// Pop implements heap.Interface.
func (s *steps) Pop() any {
	last := (*s)[len(*s)-1]
	*s = (*s)[:len(*s)-1]
	return last
}

// engine is a discrete-event simulator with a seeded random generator.
type engine struct {
	now   clock.Millis
	rng   *rand.Rand
	queue steps
	order uint64
}

// start is the initial virtual time. It is not 0, because 0 stands for an unset
// time.
const start = 100 * clock.Second

func newEngine(seed, stream uint64) *engine {
	return &engine{now: start, rng: rand.New(rand.NewPCG(seed, stream))}
}

// after schedules do to run after d.
func (e *engine) after(d clock.Millis, do func()) {
	e.order++
	heap.Push(&e.queue, step{e.now + d, e.order, do})
}

// run executes all steps up to and including until.
func (e *engine) run(until clock.Millis) {
	for len(e.queue) > 0 && e.queue[0].at <= until {
		s := heap.Pop(&e.queue).(step)
		e.now = s.at
		s.do()
	}
	e.now = until
}

// between draws a duration uniformly from [low, high].
func (e *engine) between(low, high clock.Millis) clock.Millis {
	return low + clock.Millis(e.rng.Int64N(int64(high-low+1)))
}

func (e *engine) chance(percent int) bool { return e.rng.IntN(100) < percent }

// process simulates a process that can terminate, pause and restart. Steps of a
// terminated generation never run; steps of a paused process run when it is
// unpaused.
type process struct {
	engine     *engine
	name       string
	generation int
	alive      bool
	paused     bool
	backlog    []func()
}

func (p *process) start() {
	p.generation++
	p.alive = true
	p.paused = false
	p.backlog = nil
}

func (p *process) terminate() { p.alive = false }

// later runs do after d, unless the current generation of p has ended by then.
func (p *process) later(d clock.Millis, do func()) {
	generation := p.generation
	p.engine.after(d, func() { p.deliver(generation, do) })
}

func (p *process) deliver(generation int, do func()) {
	switch {
	case !p.alive || p.generation != generation:
	case p.paused:
		p.backlog = append(p.backlog, func() { p.deliver(generation, do) })
	default:
		do()
	}
}

func (p *process) pause() { p.paused = true }

func (p *process) unpause() {
	if !p.paused {
		return
	}
	p.paused = false
	backlog := p.backlog
	p.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// network carries messages between processes.
type network struct {
	engine          *engine
	blockedUntil    map[[2]string]clock.Millis // per connection, drops messages until then
	disorderedUntil clock.Millis               // delays and duplicates messages until then
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// send runs do at the receiver after a network delay. It drops the message if
// the connection is blocked or the receiver has terminated.
func (n *network) send(from, to *process, do func()) {
	n.sendAfter(from, to, n.engine.between(1, 3), do)
	if n.engine.now < n.disorderedUntil && n.engine.chance(40) {
		n.sendAfter(from, to, n.engine.between(1, 1500), do)
	}
}

func (n *network) sendAfter(from, to *process, d clock.Millis, do func()) {
	if n.engine.now < n.blockedUntil[pair(from.name, to.name)] {
		return
	}
	if n.engine.now < n.disorderedUntil && n.engine.chance(40) {
		d += n.engine.between(1, 2500)
	}
	to.later(d, do)
}
