// Package lockstep stands in for the ranks of a group that begin every pass
// together, each with an expert map that orders change. It notes every pass that
// begins while two ranks have different maps.
package lockstep

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/version/group"
)

// Errors of orders, for use with errors.Is.
var (
	// ErrRefused means that an order does not fit the state of the rank.
	ErrRefused = errors.New("rank refused the order")
	// ErrNoAnswer means that an order got no answer and may be carried out later.
	ErrNoAnswer = errors.New("rank did not answer the order")
)

// Shape of the group and its times.
const (
	Layers       = 2
	Experts      = 12
	SlotsPerRank = 5
	SpareSlots   = 2
	Ranks        = 4
	PassTime     = 50 * time.Millisecond

	copyTime = 200 * time.Millisecond
	formTime = 600 * time.Millisecond
	// latestOrder is how long an order without an answer may take, after earliestOrder.
	earliestOrder = 2 * time.Second
	latestOrder   = 10 * time.Second
)

// Group is a group of ranks with the faults that strike it.
type Group struct {
	mu     sync.Mutex
	random *rand.Rand
	ranks  []*Rank
	epoch  int64
	open   bool
	step   int64
	// idle stops passes, as when no request is there.
	idle bool
	// lateShare of the orders get no answer and are carried out late or never.
	lateShare float64
	// counting tells whether accepted orders move the sequence of a rank; some
	// engines count only orders of other kinds.
	counting bool
	changes  int
	stalled  time.Duration
	broken   []string
	began    time.Time
	// trace lists what happened, for a schedule that fails.
	trace []string
}

// note adds a line to the trace. The mutex is held.
func (g *Group) note(format string, args ...any) {
	at := time.Since(g.began).Milliseconds()
	g.trace = append(g.trace, fmt.Sprintf("%6d ms step %d: ", at, g.step)+fmt.Sprintf(format, args...))
}

// Rank is one replica of the group.
type Rank struct {
	g        *Group
	index    int
	born     int64
	sequence int64
	version  int64
	highest  int64
	current  [][]int
	prepared int64
	next     [][]int
	copied   time.Time
	armed    int64
	armStep  int64
	held     int64
	counts   []int64
}

// New returns a group; half of the seeds count orders in the sequence of a rank.
func New(seed uint64) *Group {
	g := &Group{random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, open: true, began: time.Now(), counting: seed%2 == 0}
	for i := range Ranks {
		r := &Rank{g: g, index: i, born: int64(i + 1), counts: make([]int64, Layers*Experts)}
		r.reset()
		g.ranks = append(g.ranks, r)
	}
	return g
}

// Rank returns a rank by its index.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// SetLateShare makes a part of the orders go without an answer; they are carried
// out late.
func (g *Group) SetLateShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateShare = share
}

// SetIdle stops the passes, as when there is no request, or lets them go on.
func (g *Group) SetIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// Idle tells whether passes are stopped.
func (g *Group) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Step returns the last pass that was begun.
func (g *Group) Step() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Changes returns the number of switches of single ranks.
func (g *Group) Changes() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// Stalled returns how long the group stood because a pass was held.
func (g *Group) Stalled() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled
}

// Broken returns the passes that began with different maps.
func (g *Group) Broken() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.broken)
}

// Trace returns what has happened.
func (g *Group) Trace() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.trace)
}

// Note adds a line to the trace.
func (g *Group) Note(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.note(format, args...)
}

// Held returns the pass that a rank holds.
func (r *Rank) Held() int64 {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.held
}

// reset brings a rank to the state in which a group forms.
func (r *Rank) reset() {
	r.version, r.highest, r.prepared, r.armed, r.armStep, r.held = 0, 0, group.None, group.None, group.None, group.None
	r.current = make([][]int, Layers)
	for layer := range r.current {
		for e := r.index; e < Experts; e += Ranks {
			r.current[layer] = append(r.current[layer], e)
		}
	}
}

// Run begins passes until ctx is done.
func (g *Group) Run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(PassTime)
		g.pass()
	}
}

func (g *Group) pass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open || g.idle {
		return
	}
	for _, r := range g.ranks {
		if r.held == g.step+1 {
			g.stalled += PassTime
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		r.begin()
	}
	first := g.ranks[0]
	for _, r := range g.ranks {
		if r.version != first.version {
			g.broken = append(g.broken, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", g.step, r.index, r.version, first.version))
		}
	}
	g.demand()
}

// begin switches the map when the pass is that for which the rank is armed.
func (r *Rank) begin() {
	if r.armed == group.None || r.armStep != r.g.step {
		return
	}
	r.version, r.current = r.armed, r.next
	r.armed, r.armStep, r.prepared = group.None, group.None, group.None
	r.g.changes++
}

// demand counts choices; after some passes other experts are liked.
func (g *Group) demand() {
	liked := int(g.step/40) * 5
	for i := range 400 {
		e := (liked + i*i/7000) % Experts
		for layer := range Layers {
			r := g.ranks[i%Ranks]
			r.counts[layer*Experts+(e+layer)%Experts] += 10
		}
	}
}

// Restart gives a rank a new incarnation and forms the group anew.
func (g *Group) Restart(index int) {
	g.mu.Lock()
	g.open = false
	g.mu.Unlock()
	time.Sleep(formTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.note("epoch %d, rank %d is new", g.epoch, index)
	for _, r := range g.ranks {
		r.reset()
	}
	r := g.ranks[index]
	r.born += 1000
	r.sequence = 0
	clear(r.counts)
	g.open = true
}

// Report returns what the rank says of itself.
func (r *Rank) Report(context.Context) (group.Report, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	out := group.Report{
		StartTime: r.born, Group: "g", Epoch: r.g.epoch, Rank: r.index, Size: Ranks, Open: r.g.open,
		Sequence: r.sequence, Step: r.g.step, Map: r.version, Prepared: group.None,
		ArmedVersion: r.armed, ArmedStep: r.armStep, HeldStep: r.held,
	}
	if r.prepared != group.None && !time.Now().Before(r.copied) {
		out.Prepared = r.prepared
	}
	return out, nil
}

// Counts returns the cumulative choices by layer and expert.
func (r *Rank) Counts(context.Context) ([]int64, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return slices.Clone(r.counts), nil
}

// Experts returns the experts of the rank by layer.
func (r *Rank) Experts(context.Context) ([][]int, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.current, nil
}

// Order carries an order out, or returns ErrRefused. Some get no answer until ctx
// is done, and are carried out late.
func (r *Rank) Order(ctx context.Context, o group.Order) error {
	r.g.mu.Lock()
	lost := r.g.random.Float64() < r.g.lateShare
	late := earliestOrder + time.Duration(r.g.random.Int64N(int64(latestOrder)))
	r.g.mu.Unlock()
	if lost {
		time.AfterFunc(late, func() { _ = r.apply(o) })
		<-ctx.Done()
		return ErrNoAnswer
	}
	return r.apply(o)
}

// apply carries an order out, or returns ErrRefused.
func (r *Rank) apply(o group.Order) (err error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	defer func() {
		r.g.note("rank %d %s version %d step %d expected %d of %d: %v", r.index, group.Op(o.Op), o.Version, o.Step, o.Expected, r.sequence, err)
	}()
	if o.Epoch != r.g.epoch || o.Expected != r.sequence {
		return ErrRefused
	}
	accepted := false
	switch group.Op(o.Op) {
	case group.Prepare:
		accepted = r.prepare(o)
	case group.Arm:
		if r.armed == o.Version && r.armStep == o.Step {
			return nil // the state already holds
		}
		accepted = r.prepared == o.Version && r.armed == group.None && o.Step > r.g.step && !time.Now().Before(r.copied)
		if accepted {
			r.armed, r.armStep = o.Version, o.Step
		}
	case group.Disarm:
		if r.version == o.Version {
			return ErrRefused
		}
		if r.armed != o.Version {
			return nil // the state already holds
		}
		accepted = true
		r.armed, r.armStep = group.None, group.None
	case group.Hold:
		if r.held == o.Step {
			return nil // the state already holds
		}
		accepted = r.held == group.None && o.Step > r.g.step
		if accepted {
			r.held = o.Step
		}
	case group.Release:
		if r.held != o.Step {
			return nil // the state already holds
		}
		accepted = true
		r.held = group.None
	}
	if !accepted {
		return ErrRefused
	}
	if r.g.counting {
		r.sequence++
	}
	return nil
}

func (r *Rank) prepare(o group.Order) bool {
	if o.Version <= r.highest || r.armed != group.None {
		return false
	}
	next := make([][]int, Layers)
	for layer := range next {
		next[layer] = o.Map[layer][r.index]
		fresh := 0
		for _, e := range next[layer] {
			if !slices.Contains(r.current[layer], e) {
				fresh++
			}
		}
		if fresh > SpareSlots || len(next[layer]) > SlotsPerRank {
			return false
		}
	}
	r.highest, r.prepared, r.next, r.copied = o.Version, o.Version, next, time.Now().Add(copyTime)
	return true
}
