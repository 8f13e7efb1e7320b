package planner

import "goldcrestshore/core/process/clock"

// Event is an input of Planner.
type Event interface{ event() }

// TokenCounts tells the tokens that each expert of a layer received over some steps.
type TokenCounts struct {
	Layer  int
	Steps  int
	Tokens []uint32
}

// Tick asks for a proposal at this instant.
type Tick struct {
	Now clock.Millis
}

// ProposalEnded tells the end of the last proposal.
type ProposalEnded struct {
	Committed bool
}

func (TokenCounts) event()   {}
func (Tick) event()          {}
func (ProposalEnded) event() {}

// Action is an output of Planner.
type Action interface{ action() }

// Propose asks the group to load experts and then to use the layers.
type Propose struct {
	Loads  []Move
	Layers []*Layer
}

func (Propose) action() {}

// Settings weigh the gain of a change against its cost.
type Settings struct {
	Shape Shape
	// AmortizationPeriod is the expected time until the popularity of experts has changed
	// so far that a move no longer helps.
	AmortizationPeriod clock.Millis
	// MoveCost is the step time that one moved expert weight is worth.
	MoveCost clock.Millis
	// ChangeCost is the step time that one change of the map is worth.
	ChangeCost clock.Millis
	// Interval is the least time between two proposals.
	Interval clock.Millis
	// BatchSize is the number of expert weights that the first proposal after a
	// quiet time loads; those that follow load up to twice as many.
	BatchSize int
}

// Defaults returns the settings measured in docs/measurements-maps.md.
func Defaults(shape Shape) Settings {
	return Settings{
		Shape:              shape,
		AmortizationPeriod: 60 * clock.Second,
		MoveCost:           60,
		ChangeCost:         60,
		Interval:           500,
		BatchSize:          2,
	}
}

// Planner decides for one group. A slot is loaded only after a change has
// taken its former content out of use, so that the ranks need no memory beyond
// their slots: one proposal frees slots, the next one loads them.
type Planner struct {
	settings     Settings
	active       []*Layer
	proposed     []*Layer
	estimates    []estimate
	lastProposal clock.Millis
	hasProposed  bool
	// lastProposalLoads is set while each proposal loads weights.
	lastProposalLoads bool
	// hasNewInput is set when counts or an outcome have come since the last plan.
	hasNewInput bool
}

// New returns a planner for a group that uses the layers given.
func New(s Settings, active []*Layer) *Planner {
	p := &Planner{settings: s, active: active}
	p.estimates = make([]estimate, s.Shape.Layers)
	for i := range p.estimates {
		p.estimates[i].tokens = make([]float64, s.Shape.Experts)
	}
	return p
}

// Active returns the layers in use.
func (p *Planner) Active() []*Layer { return p.active }

// Handle returns the actions that follow from e.
func (p *Planner) Handle(e Event) []Action {
	switch e := e.(type) {
	case TokenCounts:
		p.estimates[e.Layer].add(e.Tokens, e.Steps)
		p.hasNewInput = true
	case ProposalEnded:
		if e.Committed && p.proposed != nil {
			p.active = p.proposed
		}
		p.proposed = nil
		p.hasNewInput = true
	case Tick:
		return p.tick(e.Now)
	}
	return nil
}

func (p *Planner) tick(now clock.Millis) []Action {
	if p.proposed != nil || !p.hasNewInput || (p.hasProposed && now-p.lastProposal < p.settings.Interval) {
		return nil
	}
	for _, s := range p.estimates {
		if !s.known {
			return nil
		}
	}
	p.hasNewInput = false
	plan, ok := p.plan()
	if !ok {
		return nil
	}
	p.hasProposed = true
	p.lastProposal = now
	p.proposed = plan.Layers
	p.lastProposalLoads = len(plan.Loads) > 0
	return []Action{plan}
}

// requiredGain returns the gain in score that a cost in step time must bring.
func (p *Planner) requiredGain(cost clock.Millis) float64 {
	return float64(cost) / float64(p.settings.AmortizationPeriod)
}

// plan weighs new shares, loads into empty slots and slots to free.
func (p *Planner) plan() (Propose, bool) {
	before := 0.0
	searches := make([]*search, len(p.active))
	for i, l := range p.active {
		var b balancer
		before += b.score(l, p.estimates[i].tokens)
		searches[i] = newSearch(l, p.estimates[i].tokens)
	}
	after := 0.0
	for _, s := range searches {
		after += s.score
	}
	layers := float64(len(p.active))
	loads := p.selectMoves(searches, true)
	result := Propose{Loads: loads}
	for _, s := range searches {
		result.Layers = append(result.Layers, s.current.Clone())
	}
	frees := p.selectMoves(searches, false)
	for _, m := range frees {
		p.freeSlot(result.Layers[m.layer], m)
	}
	worthwhile := len(loads)+len(frees) > 0 || (before-after)/layers >= p.requiredGain(p.settings.ChangeCost)
	return result, worthwhile
}

// selectMoves takes the moves with the most gain over all layers, best first, while
// each is worth its cost.
func (p *Planner) selectMoves(searches []*search, empty bool) []Move {
	var moves []Move
	candidates := make([]candidate, len(searches))
	found := make([]bool, len(searches))
	for i, s := range searches {
		candidates[i], found[i] = s.best(empty)
	}
	for len(moves) < p.batchSize() {
		best, gain := -1, p.requiredGain(p.settings.MoveCost)*float64(len(searches))
		for i, s := range searches {
			if found[i] && s.score-candidates[i].score >= gain {
				best, gain = i, s.score-candidates[i].score
			}
		}
		if best < 0 {
			break
		}
		c := candidates[best]
		moves = append(moves, Move{best, c.slot, c.expert})
		searches[best].apply(c)
		candidates[best], found[best] = searches[best].best(empty)
	}
	return moves
}

// batchSize returns the number of weights for the next proposal. The first loads
// after a quiet time are few, so that they serve soon; with more to follow,
// larger batches keep the weight store busy during the vote.
func (p *Planner) batchSize() int {
	if p.lastProposalLoads {
		return 2 * p.settings.BatchSize
	}
	return p.settings.BatchSize
}

// freeSlot takes a slot out of use so that the next proposal can load it.
func (p *Planner) freeSlot(l *Layer, m Move) {
	l.expert[m.slot] = Empty
	l.share[m.slot] = 0
	var b balancer
	b.balance(l, p.estimates[m.layer].tokens)
}
