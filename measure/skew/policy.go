package skew

import (
	"goldcrestshore/agent/version/planner"
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/mapchange"
)

// Delays of a map change.
const (
	countsLate    clock.Millis = 5 * clock.Second
	loadMillis    clock.Millis = 500 // 2 expert weights a second for the group
	commitMillis  clock.Millis = 300 // of the baselines; the planner's changes take the protocol's time
	repackEvery   clock.Millis = clock.Minute
	planEvery     clock.Millis = 100
	skewThreshold              = 1.05
)

// policy decides which map the group uses.
type policy interface {
	name() string
	// counts tells the tokens per expert of one second.
	counts(layer int, tokens []uint32)
	// advance moves the policy to an instant.
	advance(now clock.Millis)
	// layer returns the map in use.
	layer(i int) *planner.Layer
	// moved returns the number of expert weights loaded so far.
	moved() int
}

// never keeps the first map.
type never struct{ layers []*planner.Layer }

func (n *never) name() string               { return "never" }
func (n *never) counts(int, []uint32)       {}
func (n *never) advance(clock.Millis)       {}
func (n *never) layer(i int) *planner.Layer { return n.layers[i] }
func (n *never) moved() int                 { return 0 }

// planned follows the planner of the product and changes maps by the protocol
// of the ranks.
type planned struct {
	planner *planner.Planner
	group   *mapchange.Group
	busy    bool
	loads   int
	total   int
	changes int
	// plans has the processor time of each plan, over all layers.
	plans []float64
}

func newPlanned(seed uint64, layers []*planner.Layer) *planned {
	return &planned{
		planner: planner.New(planner.Defaults(shape), layers),
		group:   mapchange.NewGroup(seed, shape.Ranks, loadMillis),
	}
}

func (p *planned) name() string { return "planner" }

func (p *planned) counts(layer int, tokens []uint32) {
	p.planner.Handle(planner.TokenCounts{Layer: layer, Steps: countedSteps, Tokens: tokens})
}

func (p *planned) advance(now clock.Millis) {
	p.group.RunUntil(now)
	if p.busy {
		p.finish()
	}
	if p.busy {
		return
	}
	var actions []planner.Action
	used := cpuTime(func() { actions = p.planner.Handle(planner.Tick{Now: now}) })
	p.plans = append(p.plans, used.Seconds()*1000)
	for _, a := range actions {
		propose := a.(planner.Propose)
		p.busy = true
		p.loads = len(propose.Loads)
		p.group.Propose(perRank(propose.Loads))
	}
}

func (p *planned) finish() {
	ended, committed := p.group.Finished()
	if !ended {
		return
	}
	p.busy = false
	p.changes++
	p.total += p.loads
	p.planner.Handle(planner.ProposalEnded{Committed: committed})
}

// perRank lists the experts to load by rank.
func perRank(moves []planner.Move) [][]rank.Expert {
	experts := make([][]rank.Expert, shape.Ranks)
	for _, m := range moves {
		r := m.Slot() / shape.SlotsPerRank
		experts[r] = append(experts[r], rank.NewExpert(m.Layer(), m.Slot()%shape.SlotsPerRank, m.Expert()))
	}
	return experts
}

func (p *planned) layer(i int) *planner.Layer { return p.planner.Active()[i] }
func (p *planned) moved() int                 { return p.total }

// repack packs layers from nothing and loads whatever differs, one layer after
// the other as the store allows. A layer's old map stays in use until all its
// loads are done, as if the ranks had memory for both.
type repack struct {
	label string
	// due reports whether a layer is to be packed again.
	due      func(r *repack, layer int, now clock.Millis) bool
	layers   []*planner.Layer
	tokens   [][]float64
	target   []*planner.Layer
	lastPlan []clock.Millis
	busy     int
	ends     clock.Millis
	next     int
	total    int
}

const idle = -1

func newRepack(label string, layers []*planner.Layer, due func(*repack, int, clock.Millis) bool) *repack {
	r := &repack{label: label, due: due, layers: append([]*planner.Layer(nil), layers...), busy: idle}
	r.tokens = make([][]float64, len(layers))
	r.target = make([]*planner.Layer, len(layers))
	r.lastPlan = make([]clock.Millis, len(layers))
	return r
}

func (r *repack) name() string { return r.label }

func (r *repack) counts(layer int, tokens []uint32) {
	if r.tokens[layer] == nil {
		r.tokens[layer] = make([]float64, len(tokens))
	}
	for e, n := range tokens {
		r.tokens[layer][e] = float64(n) / float64(countedSteps)
	}
}

func (r *repack) advance(now clock.Millis) {
	if r.busy != idle && now >= r.ends {
		r.total += r.layers[r.busy].Moved(r.target[r.busy])
		r.layers[r.busy] = r.target[r.busy]
		r.busy = idle
	}
	for range r.layers {
		if r.busy != idle {
			return
		}
		r.start(r.next, now)
		r.next = (r.next + 1) % len(r.layers)
	}
}

func (r *repack) start(layer int, now clock.Millis) {
	if r.tokens[layer] == nil || !r.due(r, layer, now) {
		return
	}
	r.lastPlan[layer] = now
	r.target[layer] = planner.Pack(shape, r.tokens[layer])
	r.busy = layer
	r.ends = now + clock.Millis(r.layers[layer].Moved(r.target[layer]))*loadMillis + commitMillis
}

func (r *repack) layer(i int) *planner.Layer { return r.layers[i] }
func (r *repack) moved() int                 { return r.total }

// everyInterval packs each layer again once a minute.
func everyInterval(r *repack, layer int, now clock.Millis) bool {
	return now/repackEvery > r.lastPlan[layer]/repackEvery
}

// overThreshold packs a layer again whenever its mean loads are uneven,
// whatever that costs.
func overThreshold(r *repack, layer int, _ clock.Millis) bool {
	return unevenness(r.layers[layer], r.tokens[layer]) > skewThreshold
}

func unevenness(l *planner.Layer, tokens []float64) float64 {
	counts := make([]int, len(tokens))
	for e, n := range tokens {
		counts[e] = int(n + 0.5)
	}
	perRank := make([]int, shape.Ranks)
	l.Tokens(counts, perRank)
	return skewOf(perRank)
}

// oracle knows the popularity, after a delay, and moves experts at no cost and
// at once. Without delay it bounds what the maps can reach; with the delay of
// the counts it bounds what a planner can reach that cannot foresee changes.
type oracle struct {
	label  string
	delay  clock.Millis
	layers []*planner.Layer
	next   []*planner.Layer
	due    clock.Millis
}

func (o *oracle) name() string               { return o.label }
func (o *oracle) counts(int, []uint32)       {}
func (o *oracle) layer(i int) *planner.Layer { return o.layers[i] }
func (o *oracle) moved() int                 { return 0 }

func (o *oracle) advance(now clock.Millis) {
	if o.next != nil && now >= o.due {
		o.layers = o.next
		o.next = nil
	}
}

// learn takes the layers packed for the popularity that holds from now on.
func (o *oracle) learn(layers []*planner.Layer, now clock.Millis) {
	o.next = layers
	o.due = now + o.delay
}

// packExact packs all layers for the exact popularity. The search ends when no
// move helps, or after oracleMoves.
func packExact(w *workload) []*planner.Layer {
	var layers []*planner.Layer
	for i := range shape.Layers {
		tokens := w.expected(i)
		refined, _ := planner.Refine(planner.Pack(shape, tokens), tokens, oracleMoves)
		layers = append(layers, refined)
	}
	return layers
}

const oracleMoves = 30

// storeBound knows the exact popularity after the delay of the counts and
// carries out the best move whenever the weight store has loaded one weight.
// Votes take no time, a slot serves until its new weight is there, shares
// follow at once and no move is too dear.
type storeBound struct {
	layers  []*planner.Layer
	tokens  [][]float64
	next    [][]float64
	due     clock.Millis
	settled []bool
	free    clock.Millis
	total   int
}

// leastGain ends the moves of a layer of storeBound.
const leastGain = 0.0005

func (b *storeBound) name() string               { return "store5s" }
func (b *storeBound) counts(int, []uint32)       {}
func (b *storeBound) layer(i int) *planner.Layer { return b.layers[i] }
func (b *storeBound) moved() int                 { return b.total }

func (b *storeBound) learn(w *workload, now clock.Millis) {
	b.next = nil
	for i := range shape.Layers {
		b.next = append(b.next, w.expected(i))
	}
	b.due = now + countsLate + stepMillis
}

func (b *storeBound) advance(now clock.Millis) {
	if b.next != nil && now >= b.due {
		b.tokens = b.next
		b.next = nil
		b.settled = make([]bool, shape.Layers)
		for i := range b.layers {
			b.layers[i], _ = planner.Refine(b.layers[i], b.tokens[i], 0)
		}
		b.free = max(b.free, now+loadMillis)
	}
	if b.tokens != nil && now >= b.free {
		b.move(now)
	}
}

// move takes the move with the most gain over all layers.
func (b *storeBound) move(now clock.Millis) {
	best, gain := idle, leastGain
	var layer *planner.Layer
	for i := range b.layers {
		if b.settled[i] {
			continue
		}
		l, g := planner.Refine(b.layers[i], b.tokens[i], 1)
		if g < leastGain {
			b.settled[i] = true
		} else if g > gain {
			best, gain, layer = i, g, l
		}
	}
	if best != idle {
		b.layers[best] = layer
		b.total++
		b.free = now + loadMillis
	}
}
