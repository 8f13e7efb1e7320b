package skew

import (
	"goldcrestshore/agent/version/planner"
	"goldcrestshore/agent/version/rank"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/measure/mapchange"
)

// Delays of a map change.
const (
	countDelay     clock.Millis = 5 * clock.Second
	loadDelay      clock.Millis = 500 // the weight store serves 2 expert weights per second to the group
	commitDelay    clock.Millis = 300 // for the baselines; the duration of a change by the planner follows from the protocol
	repackInterval clock.Millis = clock.Minute
	planInterval   clock.Millis = 100
	skewThreshold               = 1.05
)

// policy decides which expert map the group uses.
type policy interface {
	name() string
	// addCounts reports the tokens per expert of a layer in one report window.
	addCounts(layer int, tokens []uint32)
	// advance runs the policy up to now.
	advance(now clock.Millis)
	// layer returns the active map of a layer.
	layer(i int) *planner.Layer
	// moved returns the number of expert weights loaded so far.
	moved() int
}

// never is the baseline that keeps the initial map.
type never struct{ layers []*planner.Layer }

func (n *never) name() string               { return "never" }
func (n *never) addCounts(int, []uint32)    {}
func (n *never) advance(clock.Millis)       {}
func (n *never) layer(i int) *planner.Layer { return n.layers[i] }
func (n *never) moved() int                 { return 0 }

// plannerPolicy uses the planner of the agents and changes maps through the map
// change protocol of the ranks.
type plannerPolicy struct {
	planner      *planner.Planner
	group        *mapchange.Group
	busy         bool
	pendingLoads int
	movedTotal   int
	changes      int
	// planMillis holds the CPU time in ms of each plan for all layers.
	planMillis []float64
}

func newPlannerPolicy(seed uint64, layers []*planner.Layer) *plannerPolicy {
	return &plannerPolicy{
		planner: planner.New(planner.Defaults(shape), layers),
		group:   mapchange.NewGroup(seed, shape.Ranks, loadDelay),
	}
}

func (p *plannerPolicy) name() string { return "planner" }

func (p *plannerPolicy) addCounts(layer int, tokens []uint32) {
	p.planner.Handle(planner.TokenCounts{Layer: layer, Steps: countedSteps, Tokens: tokens})
}

func (p *plannerPolicy) advance(now clock.Millis) {
	p.group.RunUntil(now)
	if p.busy {
		p.finish()
	}
	if p.busy {
		return
	}
	var actions []planner.Action
	used := cpuTime(func() { actions = p.planner.Handle(planner.Tick{Now: now}) })
	p.planMillis = append(p.planMillis, used.Seconds()*1000)
	for _, a := range actions {
		propose := a.(planner.Propose)
		p.busy = true
		p.pendingLoads = len(propose.Loads)
		p.group.Propose(perRank(propose.Loads))
	}
}

func (p *plannerPolicy) finish() {
	ended, committed := p.group.Finished()
	if !ended {
		return
	}
	p.busy = false
	p.changes++
	p.movedTotal += p.pendingLoads
	p.planner.Handle(planner.ProposalEnded{Committed: committed})
}

// perRank groups the experts to load by rank.
func perRank(moves []planner.Move) [][]rank.Expert {
	experts := make([][]rank.Expert, shape.Ranks)
	for _, m := range moves {
		r := m.Slot() / shape.SlotsPerRank
		experts[r] = append(experts[r], rank.NewExpert(m.Layer(), m.Slot()%shape.SlotsPerRank, m.Expert()))
	}
	return experts
}

func (p *plannerPolicy) layer(i int) *planner.Layer { return p.planner.Active()[i] }
func (p *plannerPolicy) moved() int                 { return p.movedTotal }

// repack is a baseline that packs each layer from scratch and loads all differing
// slots, one layer at a time at the rate of the weight store. The old map of a
// layer stays active until all its loads are done, as if the ranks had memory for
// both.
type repack struct {
	label string
	// due reports whether a layer should be repacked.
	due        func(r *repack, layer int, now clock.Millis) bool
	layers     []*planner.Layer
	tokens     [][]float64
	target     []*planner.Layer
	lastPlan   []clock.Millis
	busy       int
	endsAt     clock.Millis
	nextLayer  int
	movedTotal int
}

const noLayer = -1

func newRepack(label string, layers []*planner.Layer, due func(*repack, int, clock.Millis) bool) *repack {
	r := &repack{label: label, due: due, layers: append([]*planner.Layer(nil), layers...), busy: noLayer}
	r.tokens = make([][]float64, len(layers))
	r.target = make([]*planner.Layer, len(layers))
	r.lastPlan = make([]clock.Millis, len(layers))
	return r
}

func (r *repack) name() string { return r.label }

func (r *repack) addCounts(layer int, tokens []uint32) {
	if r.tokens[layer] == nil {
		r.tokens[layer] = make([]float64, len(tokens))
	}
	for e, n := range tokens {
		r.tokens[layer][e] = float64(n) / float64(countedSteps)
	}
}

func (r *repack) advance(now clock.Millis) {
	if r.busy != noLayer && now >= r.endsAt {
		r.movedTotal += r.layers[r.busy].Moved(r.target[r.busy])
		r.layers[r.busy] = r.target[r.busy]
		r.busy = noLayer
	}
	for range r.layers {
		if r.busy != noLayer {
			return
		}
		r.start(r.nextLayer, now)
		r.nextLayer = (r.nextLayer + 1) % len(r.layers)
	}
}

func (r *repack) start(layer int, now clock.Millis) {
	if r.tokens[layer] == nil || !r.due(r, layer, now) {
		return
	}
	r.lastPlan[layer] = now
	r.target[layer] = planner.Pack(shape, r.tokens[layer])
	r.busy = layer
	r.endsAt = now + clock.Millis(r.layers[layer].Moved(r.target[layer]))*loadDelay + commitDelay
}

func (r *repack) layer(i int) *planner.Layer { return r.layers[i] }
func (r *repack) moved() int                 { return r.movedTotal }

// everyInterval repacks each layer once per repackInterval.
func everyInterval(r *repack, layer int, now clock.Millis) bool {
	return now/repackInterval > r.lastPlan[layer]/repackInterval
}

// overThreshold repacks a layer whenever the skew of its mean loads exceeds
// skewThreshold, regardless of the cost.
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

// oracle receives the exact popularity after a delay and moves experts instantly
// and at no cost. Without a delay it is a bound for any expert map; with the delay
// of the counts it is a bound for any planner that cannot predict changes.
type oracle struct {
	label  string
	delay  clock.Millis
	layers []*planner.Layer
	next   []*planner.Layer
	dueAt  clock.Millis
}

func (o *oracle) name() string               { return o.label }
func (o *oracle) addCounts(int, []uint32)    {}
func (o *oracle) layer(i int) *planner.Layer { return o.layers[i] }
func (o *oracle) moved() int                 { return 0 }

func (o *oracle) advance(now clock.Millis) {
	if o.next != nil && now >= o.dueAt {
		o.layers = o.next
		o.next = nil
	}
}

// updatePopularity sets the layers packed for the popularity from now on. They
// become active after the delay.
func (o *oracle) updatePopularity(layers []*planner.Layer, now clock.Millis) {
	o.next = layers
	o.dueAt = now + o.delay
}

// packExact packs all layers for the exact popularity. The refinement of a layer
// ends when no move improves it, or after oracleMoves moves.
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

// storeBound is a bound for any planner limited by the rate of the weight store. It
// receives the exact popularity after the delay of the counts and makes the best
// move whenever the store has loaded one weight. Votes take no time, a slot serves
// its old expert until the new weight is loaded, shares are updated instantly, and
// moves have no cost.
type storeBound struct {
	layers     []*planner.Layer
	tokens     [][]float64
	next       [][]float64
	dueAt      clock.Millis
	converged  []bool
	freeAt     clock.Millis
	movedTotal int
}

// minGain is the smallest gain for which storeBound moves an expert.
const minGain = 0.0005

func (b *storeBound) name() string               { return "store5s" }
func (b *storeBound) addCounts(int, []uint32)    {}
func (b *storeBound) layer(i int) *planner.Layer { return b.layers[i] }
func (b *storeBound) moved() int                 { return b.movedTotal }

func (b *storeBound) updatePopularity(w *workload, now clock.Millis) {
	b.next = nil
	for i := range shape.Layers {
		b.next = append(b.next, w.expected(i))
	}
	b.dueAt = now + countDelay + stepDuration
}

func (b *storeBound) advance(now clock.Millis) {
	if b.next != nil && now >= b.dueAt {
		b.tokens = b.next
		b.next = nil
		b.converged = make([]bool, shape.Layers)
		for i := range b.layers {
			b.layers[i], _ = planner.Refine(b.layers[i], b.tokens[i], 0)
		}
		b.freeAt = max(b.freeAt, now+loadDelay)
	}
	if b.tokens != nil && now >= b.freeAt {
		b.move(now)
	}
}

// move makes the move with the largest gain of all layers.
func (b *storeBound) move(now clock.Millis) {
	best, gain := noLayer, minGain
	var layer *planner.Layer
	for i := range b.layers {
		if b.converged[i] {
			continue
		}
		l, g := planner.Refine(b.layers[i], b.tokens[i], 1)
		if g < minGain {
			b.converged[i] = true
		} else if g > gain {
			best, gain, layer = i, g, l
		}
	}
	if best != noLayer {
		b.layers[best] = layer
		b.movedTotal++
		b.freeAt = now + loadDelay
	}
}
