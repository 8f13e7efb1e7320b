// Package lockstep is a stand-in for a group of ranks that start every forward
// pass together. Orders change the expert map of each rank. The package records
// every pass that starts while two ranks use different maps.
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

// Errors returned for orders, for use with errors.Is.
var (
	// ErrRefused reports an order that the state of the rank does not allow.
	ErrRefused = errors.New("rank refused the order")
	// ErrNoReply reports an order without a reply, which may still take effect.
	ErrNoReply = errors.New("rank did not reply to the order")
)

// Dimensions and durations of the group.
const (
	Layers       = 2
	Experts      = 12
	SlotsPerRank = 5
	SpareSlots   = 2
	Ranks        = 4
	PassDuration = 50 * time.Millisecond

	copyDuration = 200 * time.Millisecond
	formDuration = 600 * time.Millisecond
	// An order without a reply takes effect between minOrderDelay and
	// minOrderDelay+orderDelayRange after it was sent.
	minOrderDelay   = 2 * time.Second
	orderDelayRange = 10 * time.Second
)

// Group is a group of ranks with injected faults.
type Group struct {
	mu     sync.Mutex
	random *rand.Rand
	ranks  []*Rank
	epoch  int64
	open   bool
	step   int64
	// idle suspends passes, as an engine without requests does.
	idle bool
	// lateOrderShare is the share of orders that get no reply and reach the rank
	// late; the rank may refuse them by then.
	lateOrderShare float64
	// countsOrders reports whether accepted orders advance the sequence of a rank;
	// some engines count only orders of other kinds.
	countsOrders bool
	switches     int
	stalled      time.Duration
	mixedPasses  []string
	startedAt    time.Time
	// trace lists orders and restarts, to diagnose a failing schedule.
	trace []string
}

// tracef adds a line to the trace. The caller must hold mu.
func (g *Group) tracef(format string, args ...any) {
	at := time.Since(g.startedAt).Milliseconds()
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

// New returns a group. With an even seed, accepted orders advance the sequence of
// a rank.
func New(seed uint64) *Group {
	g := &Group{random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, open: true, startedAt: time.Now(), countsOrders: seed%2 == 0}
	for i := range Ranks {
		r := &Rank{g: g, index: i, startTime: int64(i + 1), counts: make([]int64, Layers*Experts)}
		r.reset()
		g.ranks = append(g.ranks, r)
	}
	return g
}

// Rank returns the rank with index i.
func (g *Group) Rank(i int) *Rank { return g.ranks[i] }

// SetLateOrderShare sets the share of orders that get no reply and reach the rank
// late.
func (g *Group) SetLateOrderShare(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lateOrderShare = share
}

// SetIdle suspends the passes, as without requests, or resumes them.
func (g *Group) SetIdle(idle bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.idle = idle
}

// Idle reports whether passes are suspended.
func (g *Group) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.idle
}

// Step returns the number of the last pass that has started.
func (g *Group) Step() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// Switches returns how often ranks have switched maps, counted per rank.
func (g *Group) Switches() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.switches
}

// Stalled returns how long the group was stalled by held passes.
func (g *Group) Stalled() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stalled
}

// MixedPasses describes the passes that started with different maps.
func (g *Group) MixedPasses() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.mixedPasses)
}

// Trace returns the orders and restarts so far.
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

// HeldStep returns the pass that the rank holds, or group.None.
func (r *Rank) HeldStep() int64 {
	r.g.mu.Lock()
	defer r.g.mu.Unlock()
	return r.heldStep
}

// reset puts the rank into its state at the start of a membership epoch.
func (r *Rank) reset() {
	r.version, r.highestVersion, r.prepared, r.armedVersion, r.armedStep, r.heldStep = 0, 0, group.None, group.None, group.None, group.None
	r.current = make([][]int, Layers)
	for layer := range r.current {
		for e := r.index; e < Experts; e += Ranks {
			r.current[layer] = append(r.current[layer], e)
		}
	}
}

// Run starts passes until ctx is done.
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

// switchMap switches to the armed map if the rank is armed for the current pass.
func (r *Rank) switchMap() {
	if r.armedVersion == group.None || r.armedStep != r.g.step {
		return
	}
	r.version, r.current = r.armedVersion, r.next
	r.armedVersion, r.armedStep, r.prepared = group.None, group.None, group.None
	r.g.switches++
}

// countChoices adds to the counts of chosen experts. The popular experts change
// every 40 passes.
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

// Restart gives a rank a new incarnation and starts a new membership epoch.
func (g *Group) Restart(index int) {
	g.mu.Lock()
	g.open = false
	g.mu.Unlock()
	time.Sleep(formDuration)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.tracef("epoch %d: rank %d restarted", g.epoch, index)
	for _, r := range g.ranks {
		r.reset()
	}
	r := g.ranks[index]
	r.startTime += 1000
	r.sequence = 0
	clear(r.counts)
	g.open = true
}

// Report returns the state that the rank reports.
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

// Counts returns how often each expert was chosen, by layer and expert.
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

// Order executes an order, or returns ErrRefused. Some orders block until ctx is
// done, return ErrNoReply and execute late.
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

// apply executes an order, or returns ErrRefused.
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
			return nil // already in that state
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
			return nil // already in that state
		}
		accepted = true
		r.armedVersion, r.armedStep = group.None, group.None
	case group.Hold:
		if r.heldStep == o.Step {
			return nil // already in that state
		}
		accepted = r.heldStep == group.None && o.Step > r.g.step
		if accepted {
			r.heldStep = o.Step
		}
	case group.Release:
		if r.heldStep != o.Step {
			return nil // already in that state
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
	if o.Version <= r.highestVersion || r.armedVersion != group.None || !isMap(o.Map) {
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

// isMap reports whether m has the dimensions of the group and every expert at some rank.
func isMap(m [][][]int) bool {
	if len(m) != Layers {
		return false
	}
	for _, ranks := range m {
		if len(ranks) != Ranks {
			return false
		}
		all := slices.Concat(ranks...)
		slices.Sort(all)
		all = slices.Compact(all)
		if len(all) != Experts || all[0] != 0 || all[Experts-1] != Experts-1 {
			return false
		}
	}
	return true
}
