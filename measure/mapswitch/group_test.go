// Package mapswitch_test runs owners of expert maps and the agents of a group in
// virtual time under faults, and checks that no pass begins while two ranks have
// different maps.
package mapswitch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"goldcrestshore/agent/process/orders"
	"goldcrestshore/core/version/group"
)

const (
	layers       = 2
	expertCount  = 12
	slotsPerRank = 5
	spareSlots   = 2
	rankCount    = 4
	passTime     = 50 * time.Millisecond
	copyTime     = 200 * time.Millisecond
	formTime     = 600 * time.Millisecond
)

// world is a group of ranks with the faults that strike it.
type world struct {
	mu     sync.Mutex
	random *rand.Rand
	ranks  []*rank
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
func (w *world) note(format string, args ...any) {
	at := time.Since(w.began).Milliseconds()
	w.trace = append(w.trace, fmt.Sprintf("%6d ms step %d: ", at, w.step)+fmt.Sprintf(format, args...))
}

// rank is one replica of the group.
type rank struct {
	w        *world
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

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), epoch: 1, open: true, began: time.Now(), counting: seed%2 == 0}
	for i := range rankCount {
		r := &rank{w: w, index: i, born: int64(i + 1), counts: make([]int64, layers*expertCount)}
		r.reset()
		w.ranks = append(w.ranks, r)
	}
	return w
}

// reset brings a rank to the state in which a group forms.
func (r *rank) reset() {
	r.version, r.highest, r.prepared, r.armed, r.armStep, r.held = 0, 0, group.None, group.None, group.None, group.None
	r.current = make([][]int, layers)
	for layer := range r.current {
		for e := r.index; e < expertCount; e += rankCount {
			r.current[layer] = append(r.current[layer], e)
		}
	}
}

// run begins passes until ctx is done.
func (w *world) run(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(passTime)
		w.pass()
	}
}

func (w *world) pass() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.open || w.idle {
		return
	}
	for _, r := range w.ranks {
		if r.held == w.step+1 {
			w.stalled += passTime
			return
		}
	}
	w.step++
	for _, r := range w.ranks {
		r.begin()
	}
	first := w.ranks[0]
	for _, r := range w.ranks {
		if r.version != first.version {
			w.broken = append(w.broken, fmt.Sprintf("step %d: rank %d has map %d, rank 0 has %d", w.step, r.index, r.version, first.version))
		}
	}
	w.demand()
}

// begin switches the map when the pass is that for which the rank is armed.
func (r *rank) begin() {
	if r.armed == group.None || r.armStep != r.w.step {
		return
	}
	r.version, r.current = r.armed, r.next
	r.armed, r.armStep, r.prepared = group.None, group.None, group.None
	r.w.changes++
}

// demand counts choices; every two seconds of passes other experts are liked.
func (w *world) demand() {
	liked := int(w.step/40) * 5
	for i := range 400 {
		e := (liked + i*i/7000) % expertCount
		for layer := range layers {
			r := w.ranks[i%rankCount]
			r.counts[layer*expertCount+(e+layer)%expertCount] += 10
		}
	}
}

// restart gives a rank a new incarnation and forms the group anew.
func (w *world) restart(index int) {
	w.mu.Lock()
	w.open = false
	w.mu.Unlock()
	time.Sleep(formTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	w.note("epoch %d, rank %d is new", w.epoch, index)
	for _, r := range w.ranks {
		r.reset()
	}
	r := w.ranks[index]
	r.born += 1000
	r.sequence = 0
	clear(r.counts)
	w.open = true
}

// Report implements orders.Rank.
func (r *rank) Report(context.Context) (group.Report, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	out := group.Report{
		Born: r.born, Group: "g", Epoch: r.w.epoch, Rank: r.index, Size: rankCount, Open: r.w.open,
		Sequence: r.sequence, Step: r.w.step, Map: r.version, Prepared: group.None,
		ArmedVersion: r.armed, ArmedStep: r.armStep, HeldStep: r.held,
	}
	if r.prepared != group.None && !time.Now().Before(r.copied) {
		out.Prepared = r.prepared
	}
	return out, nil
}

// Counts implements orders.Rank.
func (r *rank) Counts(context.Context) ([]int64, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return slices.Clone(r.counts), nil
}

// Experts implements orders.Rank.
func (r *rank) Experts(context.Context) ([][]int, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	return r.current, nil
}

// Order implements orders.Rank with the faults of the world.
func (r *rank) Order(ctx context.Context, o group.Order) error {
	r.w.mu.Lock()
	lost := r.w.random.Float64() < r.w.lateShare
	late := time.Duration(2000+r.w.random.IntN(10000)) * time.Millisecond
	r.w.mu.Unlock()
	if lost {
		time.AfterFunc(late, func() { _ = r.apply(o) })
		<-ctx.Done()
		return orders.ErrNoAnswer
	}
	return r.apply(o)
}

// apply carries an order out, or returns ErrRefused.
func (r *rank) apply(o group.Order) (err error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	defer func() {
		r.w.note("rank %d %s version %d step %d expected %d of %d: %v", r.index, group.Op(o.Op), o.Version, o.Step, o.Expected, r.sequence, err)
	}()
	if o.Epoch != r.w.epoch || o.Expected != r.sequence {
		return orders.ErrRefused
	}
	accepted := false
	switch group.Op(o.Op) {
	case group.Prepare:
		accepted = r.prepare(o)
	case group.Arm:
		if r.armed == o.Version && r.armStep == o.Step {
			return nil // the state already holds
		}
		accepted = r.prepared == o.Version && r.armed == group.None && o.Step > r.w.step && !time.Now().Before(r.copied)
		if accepted {
			r.armed, r.armStep = o.Version, o.Step
		}
	case group.Disarm:
		if r.version == o.Version {
			return orders.ErrRefused
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
		accepted = r.held == group.None && o.Step > r.w.step
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
		return orders.ErrRefused
	}
	if r.w.counting {
		r.sequence++
	}
	return nil
}

func (r *rank) prepare(o group.Order) bool {
	if o.Version <= r.highest || r.armed != group.None {
		return false
	}
	next := make([][]int, layers)
	for layer := range next {
		next[layer] = o.Map[layer][r.index]
		fresh := 0
		for _, e := range next[layer] {
			if !slices.Contains(r.current[layer], e) {
				fresh++
			}
		}
		if fresh > spareSlots || len(next[layer]) > slotsPerRank {
			return false
		}
	}
	r.highest, r.prepared, r.next, r.copied = o.Version, o.Version, next, time.Now().Add(copyTime)
	return true
}
