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
	// ErrNoReply means that an order got no answer and may be carried out later.
	ErrNoReply = errors.New("rank did not answer the order")
)

// Shape of the group and its times.
const (
	Layers       = 2
	Experts      = 12
	SlotsPerRank = 5
	SpareSlots   = 2
	Ranks        = 4
	PassDuration = 50 * time.Millisecond

	copyDuration = 200 * time.Millisecond
	formDuration = 600 * time.Millisecond
	// latestOrder is how long an order without an answer may take, after minOrderDelay.
	minOrderDelay   = 2 * time.Second
	orderDelayRange = 10 * time.Second
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
	// lateOrderShare of the orders get no answer and are carried out late or never.
	lateOrderShare float64
	// countsOrders tells whether accepted orders move the sequence of a rank; some
	// engines count only orders of other kinds.
	countsOrders bool
	switches     int
	stalled      time.Duration
	mixedPasses  []string
	startTime    time.Time
	// trace lists what happened, for a schedule that fails.
	trace []string
}

// tracef adds a line to the trace. The mutex is held.
func (g *Group) tracef(format string, args ...any) {
	at := time.Since(g.startTime).Milliseconds()
	g.trace = append(g.trace, fmt.Sprintf("%6d ms step %d: ", at, g.step)+fmt.Sprintf(format, args...))
}

// Rank is one replica of the group.
type Rank struct {
	g              *Group
	index          int
	startTime      int64
	sequence       int64
	version        int64
	highestVersion int64
	current        [][]int
	prepared       int64
	next           [][]int
	copyDoneAt     time.Time
	armedVersion   int64
	armedStep      int64
	heldStep       int64
	counts         []int64
}

// New returns a group; half of the seeds count orders in the sequence of a rank.
func New(seed uint64) *Group {
	g := &Group{random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, open: true, startTime: time.Now(), countsOrders: seed%2 == 0}
	for i := range Ranks {
		r := &Rank{g: g, index: i, startTime: int64(i + 1), counts: make([]int64, Layers*Experts)}
		r.reset()
		g.ranks = append(g.ranks, r)
	}
	return g
}

// Rank returns a rank by its index.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// SetLateOrderShare makes a part of the orders go without an answer; they are carried
// out late.
func (g *Group) SetLateOrderShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateOrderShare = share
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

// Switches returns the number of switches of single ranks.
func (g *Group) Switches() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// Stalled returns how long the group stood because a pass was held.
func (g *Group) Stalled() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled
}

// MixedPasses returns the passes that began with different maps.
func (g *Group) MixedPasses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.mixedPasses)
}

// Trace returns what has happened.
func (g *Group) Trace() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.trace)
}

// Tracef adds a line to the trace.
func (g *Group) Tracef(format string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tracef(format, args...)
}

// HeldStep returns the pass that a rank holds.
func (r *Rank) HeldStep() int64 {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.heldStep
}

// reset brings a rank to the state in which a group forms.
func (r *Rank) reset() {
	r.version, r.highestVersion, r.prepared, r.armedVersion, r.armedStep, r.heldStep = 0, 0, group.None, group.None, group.None, group.None
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
		time.Sleep(PassDuration)
		g.beginPass()
	}
}

func (g *Group) beginPass() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open || g.idle {
		return
	}
	for _, r := range g.ranks {
		if r.heldStep == g.step+1 {
			g.stalled += PassDuration
			return
		}
	}
	g.step++
	for _, r := range g.ranks {
		r.switchMap()
	}
	first := g.ranks[0]
	for _, r := range g.ranks {
		if r.version != first.version {
			g.mixedPasses = append(g.mixedPasses, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", g.step, r.index, r.version, first.version))
		}
	}
	g.countChoices()
}

// switchMap switches the map when the pass is that for which the rank is armed.
func (r *Rank) switchMap() {
	if r.armedVersion == group.None || r.armedStep != r.g.step {
		return
	}
	r.version, r.current = r.armedVersion, r.next
	r.armedVersion, r.armedStep, r.prepared = group.None, group.None, group.None
	r.g.switches++
}

// countChoices counts choices; after some passes other experts are liked.
func (g *Group) countChoices() {
	popular := int(g.step/40) * 5
	for i := range 400 {
		e := (popular + i*i/7000) % Experts
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
	time.Sleep(formDuration)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.tracef("epoch %d, rank %d is new", g.epoch, index)
	for _, r := range g.ranks {
		r.reset()
	}
	r := g.ranks[index]
	r.startTime += 1000
	r.sequence = 0
	clear(r.counts)
	g.open = true
}

// Report returns what the rank says of itself.
func (r *Rank) Report(context.Context) (group.Report, error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	report := group.Report{
		StartTime: r.startTime, Group: "g", Epoch: r.g.epoch, Rank: r.index, Size: Ranks, Open: r.g.open,
		Sequence: r.sequence, Step: r.g.step, Map: r.version, Prepared: group.None,
		ArmedVersion: r.armedVersion, ArmedStep: r.armedStep, HeldStep: r.heldStep,
	}
	if r.prepared != group.None && !time.Now().Before(r.copyDoneAt) {
		report.Prepared = r.prepared
	}
	return report, nil
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
	unanswered := r.g.random.Float64() < r.g.lateOrderShare
	delay := minOrderDelay + time.Duration(r.g.random.Int64N(int64(orderDelayRange)))
	r.g.mu.Unlock()
	if unanswered {
		time.AfterFunc(delay, func() { _ = r.apply(o) })
		<-ctx.Done()
		return ErrNoReply
	}
	return r.apply(o)
}

// apply carries an order out, or returns ErrRefused.
func (r *Rank) apply(o group.Order) (err error) {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	defer func() {
		r.g.tracef("rank %d %s version %d step %d expected %d of %d: %v", r.index, group.Op(o.Op), o.Version, o.Step, o.Expected, r.sequence, err)
	}()
	if o.Epoch != r.g.epoch || o.Expected != r.sequence {
		return ErrRefused
	}
	accepted := false
	switch group.Op(o.Op) {
	case group.Prepare:
		accepted = r.prepare(o)
	case group.Arm:
		if r.armedVersion == o.Version && r.armedStep == o.Step {
			return nil // the state already holds
		}
		accepted = r.prepared == o.Version && r.armedVersion == group.None && o.Step > r.g.step && !time.Now().Before(r.copyDoneAt)
		if accepted {
			r.armedVersion, r.armedStep = o.Version, o.Step
		}
	case group.Disarm:
		if r.version == o.Version {
			return ErrRefused
		}
		if r.armedVersion != o.Version {
			return nil // the state already holds
		}
		accepted = true
		r.armedVersion, r.armedStep = group.None, group.None
	case group.Hold:
		if r.heldStep == o.Step {
			return nil // the state already holds
		}
		accepted = r.heldStep == group.None && o.Step > r.g.step
		if accepted {
			r.heldStep = o.Step
		}
	case group.Release:
		if r.heldStep != o.Step {
			return nil // the state already holds
		}
		accepted = true
		r.heldStep = group.None
	}
	if !accepted {
		return ErrRefused
	}
	if r.g.countsOrders {
		r.sequence++
	}
	return nil
}

func (r *Rank) prepare(o group.Order) bool {
	if o.Version <= r.highestVersion || r.armedVersion != group.None {
		return false
	}
	next := make([][]int, Layers)
	for layer := range next {
		next[layer] = o.Map[layer][r.index]
		added := 0
		for _, e := range next[layer] {
			if !slices.Contains(r.current[layer], e) {
				added++
			}
		}
		if added > SpareSlots || len(next[layer]) > SlotsPerRank {
			return false
		}
	}
	r.highestVersion, r.prepared, r.next, r.copyDoneAt = o.Version, o.Version, next, time.Now().Add(copyDuration)
	return true
}
