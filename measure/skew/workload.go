// Package skew measures how evenly the expert-map planner distributes the load over
// the ranks of a group, and how many expert weights it moves to do so. It compares
// the planner with three baselines and with bounds that have the exact popularity.
package skew

import (
	"math"
	"math/rand/v2"

	"goldcrestshore/agent/version/planner"
	"goldcrestshore/core/process/clock"
)

// Parameters of the workload from docs/design.md section 8.
const (
	stepDuration     = clock.Millis(55)
	assignments      = 32768
	swapsPerMinute   = 6 // 5% of 128 popularity ranks
	swapDistance     = 10
	shiftedExperts   = 16
	simulatedSeconds = 3600
	// windowDuration is the period that one report of token counts covers.
	windowDuration = clock.Millis(500)
	countedSteps   = int(windowDuration / stepDuration)
)

var shape = planner.Shape{Layers: 4, Experts: 128, Ranks: 32, SlotsPerRank: 5}

// exponents holds the exponent of the Zipf distribution of each layer.
var exponents = [4]float64{0.6, 0.8, 1.0, 1.2}

// workload draws the experts of the tokens of each layer.
type workload struct {
	random *rand.Rand
	layers []*popularity
}

// popularity is the distribution of one layer. byRank lists the experts from the
// most to the least popular.
type popularity struct {
	weight []float64
	byRank []int
	alias  aliasTable
}

func newWorkload(seed uint64) *workload {
	w := &workload{random: rand.New(rand.NewPCG(seed, 0x5e3))}
	for _, s := range exponents {
		p := &popularity{byRank: w.random.Perm(shape.Experts)}
		total := 0.0
		for k := range shape.Experts {
			p.weight = append(p.weight, math.Pow(float64(k+1), -s))
			total += p.weight[k]
		}
		for k := range p.weight {
			p.weight[k] /= total
		}
		p.alias = newAliasTable(p.weight)
		w.layers = append(w.layers, p)
	}
	return w
}

// advance applies the changes of the popularity at the start of a second and
// reports whether there were any.
func (w *workload) advance(second int) bool {
	if second == 0 || second%60 != 0 {
		return false
	}
	for _, p := range w.layers {
		if second == 1200 || second == 2400 {
			w.shift(p)
		}
		for range swapsPerMinute {
			w.swap(p)
		}
	}
	return true
}

// swap exchanges the experts at a random popularity rank and at another one within
// swapDistance.
func (w *workload) swap(p *popularity) {
	k := w.random.IntN(shape.Experts)
	other := k
	for other == k {
		other = k - swapDistance + w.random.IntN(2*swapDistance+1)
		if other < 0 || other >= shape.Experts {
			other = k
		}
	}
	p.byRank[k], p.byRank[other] = p.byRank[other], p.byRank[k]
}

// shift exchanges the most popular experts with random others.
func (w *workload) shift(p *popularity) {
	others := w.random.Perm(shape.Experts - shiftedExperts)
	for k := range shiftedExperts {
		other := shiftedExperts + others[k]
		p.byRank[k], p.byRank[other] = p.byRank[other], p.byRank[k]
	}
}

// sample draws the tokens per expert of one step.
func (w *workload) sample(layer int, counts []int) {
	clear(counts)
	p := w.layers[layer]
	for range assignments {
		counts[p.byRank[p.alias.draw(w.random)]]++
	}
}

// report returns the tokens per expert of all steps in a window. It draws each sum
// from a normal approximation.
func (w *workload) report(layer int) []uint32 {
	p := w.layers[layer]
	total := make([]uint32, shape.Experts)
	for k, weight := range p.weight {
		mean := weight * assignments * float64(countedSteps)
		tokens := mean + math.Sqrt(mean*(1-weight))*w.random.NormFloat64()
		total[p.byRank[k]] = uint32(max(0, math.Round(tokens)))
	}
	return total
}

// expected returns the expected number of tokens per expert in a step.
func (w *workload) expected(layer int) []float64 {
	p := w.layers[layer]
	tokens := make([]float64, shape.Experts)
	for k, weight := range p.weight {
		tokens[p.byRank[k]] = weight * assignments
	}
	return tokens
}

// aliasTable draws from a discrete distribution in constant time with Vose's
// variant of Walker's alias method.
type aliasTable struct {
	probability []float64
	alias       []int
}

func newAliasTable(weight []float64) aliasTable {
	n := len(weight)
	t := aliasTable{make([]float64, n), make([]int, n)}
	scaled := make([]float64, n)
	var small, large []int
	for i, w := range weight {
		scaled[i] = w * float64(n)
		if scaled[i] < 1 {
			small = append(small, i)
		} else {
			large = append(large, i)
		}
	}
	for len(small) > 0 && len(large) > 0 {
		s, l := small[len(small)-1], large[len(large)-1]
		small = small[:len(small)-1]
		t.probability[s] = scaled[s]
		t.alias[s] = l
		scaled[l] -= 1 - scaled[s]
		if scaled[l] < 1 {
			large = large[:len(large)-1]
			small = append(small, l)
		}
	}
	for _, i := range append(small, large...) {
		t.probability[i] = 1
		t.alias[i] = i
	}
	return t
}

func (t aliasTable) draw(random *rand.Rand) int {
	bits := random.Uint64()
	i := int(bits % uint64(len(t.probability)))
	if float64(bits>>11)/(1<<53) < t.probability[i] {
		return i
	}
	return t.alias[i]
}
