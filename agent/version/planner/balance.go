package planner

import "math"

// Limits of the division of tokens.
const (
	// balanceRounds bounds the passes over the replicated experts; most
	// layers settle in fewer.
	balanceRounds = 40
	// trialRounds bounds them while candidate moves are compared.
	trialRounds = 6
	// balanceStill ends the passes once no slot moved by more than this part
	// of the mean rank load.
	balanceStill = 0.0005
)

// Terms of the score of a layer.
const (
	// scoreSharpness sets how much ranks near the maximum count. Sampled
	// tokens move a rank by 2% to 3% of the mean from step to step, so that
	// any rank within that of the maximum can be the slowest.
	scoreSharpness = 60
	// scoreDeviations is how many standard deviations of its sampled load are
	// added to a rank's mean; the largest of 32 normal samples lies about two
	// above the mean.
	scoreDeviations = 2
)

// balancer divides the tokens of replicated experts so that the sum of squared
// rank loads is least, which also makes the largest rank load least. It keeps
// its buffers between calls.
type balancer struct {
	slotsOf [][]int
	load    []float64
	x       []float64
	spread  []float64
	order   []int
}

// balance sets the shares of l for these expected tokens per expert and step.
func (b *balancer) balance(l *Layer, tokens []float64) { b.run(l, tokens, balanceRounds) }

func (b *balancer) run(l *Layer, tokens []float64, rounds int) {
	b.index(l)
	b.begin(l, tokens)
	mean := sum(tokens) / float64(l.shape.Ranks)
	for range rounds {
		moved := 0.0
		for e, slots := range b.slotsOf {
			if len(slots) > 1 {
				moved = max(moved, b.fill(l, slots, tokens[e]))
			}
		}
		if moved <= balanceStill*mean {
			break
		}
	}
	for slot, e := range l.expert {
		if e != Empty && tokens[e] > 0 {
			l.share[slot] = b.x[slot] / tokens[e]
		}
	}
}

// index lists the slots per expert.
func (b *balancer) index(l *Layer) {
	b.size(l.shape)
	for e := range b.slotsOf {
		b.slotsOf[e] = b.slotsOf[e][:0]
	}
	for slot, e := range l.expert {
		if e != Empty {
			b.slotsOf[e] = append(b.slotsOf[e], slot)
		}
	}
}

func (b *balancer) size(shape Shape) {
	if len(b.slotsOf) == shape.Experts {
		return
	}
	b.slotsOf = make([][]int, shape.Experts)
	b.load = make([]float64, shape.Ranks)
	b.spread = make([]float64, shape.Ranks)
	b.x = make([]float64, shape.Slots())
}

// begin starts from the shares of l, scaled to sum to one per expert.
func (b *balancer) begin(l *Layer, tokens []float64) {
	clear(b.load)
	clear(b.x)
	for e, slots := range b.slotsOf {
		total := 0.0
		for _, s := range slots {
			total += l.share[s]
		}
		for _, s := range slots {
			part := 1 / float64(len(slots))
			if total > 0 {
				part = l.share[s] / total
			}
			l.share[s] = part
			b.x[s] = part * tokens[e]
			b.load[l.Rank(s)] += b.x[s]
		}
	}
}

// fill divides one expert's tokens over its slots so that their ranks' loads
// become as equal as possible, and returns the largest change of a slot.
func (b *balancer) fill(l *Layer, slots []int, tokens float64) float64 {
	order := append(b.order[:0], slots...)
	b.order = order
	for _, s := range slots {
		b.load[l.Rank(s)] -= b.x[s]
	}
	b.sortByLoad(l, order)
	used, below, level := 0, 0.0, 0.0
	for used < len(order) {
		below += b.load[l.Rank(order[used])]
		used++
		level = (below + tokens) / float64(used)
		if used == len(order) || level <= b.load[l.Rank(order[used])] {
			break
		}
	}
	moved := 0.0
	for i, s := range order {
		x := 0.0
		if i < used {
			x = max(0, level-b.load[l.Rank(s)])
		}
		moved = max(moved, math.Abs(x-b.x[s]))
		b.x[s] = x
		b.load[l.Rank(s)] += x
	}
	return moved
}

// sortByLoad sorts slots by their ranks' loads. An expert has few replicas and
// their order hardly changes between rounds, so insertion is fastest.
func (b *balancer) sortByLoad(l *Layer, slots []int) {
	for i := 1; i < len(slots); i++ {
		s, load := slots[i], b.load[l.Rank(slots[i])]
		k := i
		for ; k > 0 && b.load[l.Rank(slots[k-1])] > load; k-- {
			slots[k] = slots[k-1]
		}
		slots[k] = s
	}
}

// score returns the predicted time of a step over that of an even layer: a
// smooth maximum of the rank loads and their deviation by sampling. Only
// differences of scores have a meaning.
func (b *balancer) score(l *Layer, tokens []float64) float64 {
	mean := sum(tokens) / float64(l.shape.Ranks)
	if mean <= 0 {
		return 1
	}
	b.size(l.shape)
	clear(b.spread)
	clear(b.load)
	for slot, e := range l.expert {
		if e == Empty {
			continue
		}
		x := l.share[slot] * tokens[e]
		b.load[l.Rank(slot)] += x
		b.spread[l.Rank(slot)] += x * l.share[slot]
	}
	top := 0.0
	for r, load := range b.load {
		b.load[r] = (load + scoreDeviations*math.Sqrt(b.spread[r])) / mean
		top = max(top, b.load[r])
	}
	total := 0.0
	for _, load := range b.load {
		total += math.Exp(scoreSharpness * (load - top))
	}
	return top + math.Log(total)/scoreSharpness
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
