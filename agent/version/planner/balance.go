package planner

import "math"

// Limits of the iteration that divides tokens over replicas.
const (
	// maxBalanceRounds bounds the passes over the replicated experts. Most
	// layers converge in fewer.
	maxBalanceRounds = 40
	// maxTrialRounds bounds the passes when candidate moves are compared.
	maxTrialRounds = 6
	// balanceTolerance ends the passes once the load of no slot changes by more
	// than this fraction of the mean rank load.
	balanceTolerance = 0.0005
)

// Parameters of the score of a layer.
const (
	// scoreSharpness sets the weight of ranks close to the maximum. Sampling of
	// tokens varies the load of a rank by 2% to 3% of the mean from step to
	// step, so any rank within that range of the maximum can be the slowest.
	scoreSharpness = 60
	// scoreDeviations is the number of standard deviations of the sampled load
	// that are added to a rank's mean. The largest of 32 normal samples is
	// about two above the mean.
	scoreDeviations = 2
)

// balancer divides the tokens of replicated experts such that the sum of squared
// rank loads is minimal, which also minimizes the largest rank load. It reuses
// its buffers between calls.
type balancer struct {
	slotsOf      [][]int
	rankLoad     []float64
	slotTokens   []float64
	loadVariance []float64
	order        []int
}

// balance sets the shares of l for the expected tokens per expert and step.
func (b *balancer) balance(l *Layer, tokens []float64) { b.run(l, tokens, maxBalanceRounds) }

// run divides the tokens in at most the given number of passes.
func (b *balancer) run(l *Layer, tokens []float64, rounds int) {
	b.indexSlots(l)
	b.initLoads(l, tokens)
	mean := sum(tokens) / float64(l.shape.Ranks)
	for range rounds {
		moved := 0.0
		for e, slots := range b.slotsOf {
			if len(slots) > 1 {
				moved = max(moved, b.waterFill(l, slots, tokens[e]))
			}
		}
		if moved <= balanceTolerance*mean {
			break
		}
	}
	for slot, e := range l.expert {
		if e != Empty && tokens[e] > 0 {
			l.share[slot] = b.slotTokens[slot] / tokens[e]
		}
	}
}

// indexSlots lists the slots of each expert.
func (b *balancer) indexSlots(l *Layer) {
	b.allocate(l.shape)
	for e := range b.slotsOf {
		b.slotsOf[e] = b.slotsOf[e][:0]
	}
	for slot, e := range l.expert {
		if e != Empty {
			b.slotsOf[e] = append(b.slotsOf[e], slot)
		}
	}
}

func (b *balancer) allocate(shape Shape) {
	if len(b.slotsOf) == shape.Experts {
		return
	}
	b.slotsOf = make([][]int, shape.Experts)
	b.rankLoad = make([]float64, shape.Ranks)
	b.loadVariance = make([]float64, shape.Ranks)
	b.slotTokens = make([]float64, shape.Slots())
}

// initLoads scales the shares of l to sum to one per expert and computes the
// tokens per slot and rank from them.
func (b *balancer) initLoads(l *Layer, tokens []float64) {
	clear(b.rankLoad)
	clear(b.slotTokens)
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
			b.slotTokens[s] = part * tokens[e]
			b.rankLoad[l.Rank(s)] += b.slotTokens[s]
		}
	}
}

// waterFill divides one expert's tokens over its slots such that the loads of
// their ranks become as equal as possible. It returns the largest change of a
// slot.
func (b *balancer) waterFill(l *Layer, slots []int, tokens float64) float64 {
	order := append(b.order[:0], slots...)
	b.order = order
	for _, s := range slots {
		b.rankLoad[l.Rank(s)] -= b.slotTokens[s]
	}
	b.sortByLoad(l, order)
	used, usedLoad, level := 0, 0.0, 0.0
	for used < len(order) {
		usedLoad += b.rankLoad[l.Rank(order[used])]
		used++
		level = (usedLoad + tokens) / float64(used)
		if used == len(order) || level <= b.rankLoad[l.Rank(order[used])] {
			break
		}
	}
	moved := 0.0
	for i, s := range order {
		slotTokens := 0.0
		if i < used {
			slotTokens = max(0, level-b.rankLoad[l.Rank(s)])
		}
		moved = max(moved, math.Abs(slotTokens-b.slotTokens[s]))
		b.slotTokens[s] = slotTokens
		b.rankLoad[l.Rank(s)] += slotTokens
	}
	return moved
}

// sortByLoad sorts slots by the load of their ranks. It uses insertion sort,
// which is fastest here: an expert has few replicas, and their order hardly
// changes between rounds.
func (b *balancer) sortByLoad(l *Layer, slots []int) {
	for i := 1; i < len(slots); i++ {
		s, rankLoad := slots[i], b.rankLoad[l.Rank(slots[i])]
		k := i
		for ; k > 0 && b.rankLoad[l.Rank(slots[k-1])] > rankLoad; k-- {
			slots[k] = slots[k-1]
		}
		slots[k] = s
	}
}

// score returns the predicted time of a step relative to that of an evenly
// loaded layer. It is a smooth maximum of the rank loads and their sampling
// deviation. Only differences between scores are meaningful.
func (b *balancer) score(l *Layer, tokens []float64) float64 {
	mean := sum(tokens) / float64(l.shape.Ranks)
	if mean <= 0 {
		return 1
	}
	b.allocate(l.shape)
	clear(b.loadVariance)
	clear(b.rankLoad)
	for slot, e := range l.expert {
		if e == Empty {
			continue
		}
		expected := l.share[slot] * tokens[e]
		b.rankLoad[l.Rank(slot)] += expected
		b.loadVariance[l.Rank(slot)] += expected * l.share[slot]
	}
	maxLoad := 0.0
	for r, rankLoad := range b.rankLoad {
		b.rankLoad[r] = (rankLoad + scoreDeviations*math.Sqrt(b.loadVariance[r])) / mean
		maxLoad = max(maxLoad, b.rankLoad[r])
	}
	total := 0.0
	for _, rankLoad := range b.rankLoad {
		total += math.Exp(scoreSharpness * (rankLoad - maxLoad))
	}
	return maxLoad + math.Log(total)/scoreSharpness
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
