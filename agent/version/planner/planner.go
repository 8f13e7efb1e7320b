package planner

import "goldcrestshore/core/process/clock"

// Event is an input of Planner.
type Event interface{ event() }

// TokenCounts reports the number of tokens that each expert of a layer received
// during a number of steps.
type TokenCounts struct {
	Layer  int
	Steps  int
	Tokens []uint32
}

// Tick carries the current time and requests a proposal.
type Tick struct {
	Now clock.Millis
}

// ProposalEnded reports the outcome of the last proposal.
type ProposalEnded struct {
	Committed bool
}

func (TokenCounts) event()   {}
func (Tick) event()          {}
func (ProposalEnded) event() {}

// Action is an output of Planner.
type Action interface{ action() }

// Propose requests that the group load experts and then use the layers.
type Propose struct {
	Loads  []Move
	Layers []*Layer
}

func (Propose) action() {}

// Settings determine how the gain of a change is weighed against its cost.
type Settings struct {
	Shape Shape
	// AmortizationPeriod is the expected time until the popularity of experts
	// has changed so much that a move has no further benefit.
	AmortizationPeriod clock.Millis
	// MoveCost is the cost of loading one expert weight, in step time.
	MoveCost clock.Millis
	// ChangeCost is the cost of one change of the map, in step time.
	ChangeCost clock.Millis
	// Interval is the minimum time between two proposals.
	Interval clock.Millis
	// BatchSize is the maximum number of expert weights that a proposal loads.
	// It is doubled if the previous proposal loaded weights.
	BatchSize int
}

// Defaults returns the default settings. docs/measurements-maps.md has the
// figures behind them.
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

// Planner plans the map of one group. A slot is loaded only after a change has
// taken its previous expert out of use, so that ranks need no memory beyond
// their slots: one proposal frees slots and the next one loads them.
type Planner struct {
	settings     Settings
	active       []*Layer
	proposed     []*Layer
	estimates    []estimate
	lastProposal clock.Millis
	hasProposed  bool
	// lastProposalLoads is set if the last proposal loads weights.
	lastProposalLoads bool
	// hasNewInput is set if token counts or an outcome have been received since
	// the last plan.
	hasNewInput bool
}

// New returns a planner for a group that currently uses the given layers.
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

// Handle processes an event and returns the resulting actions.
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

// requiredGain returns the gain in score that justifies a cost in step time.
func (p *Planner) requiredGain(cost clock.Millis) float64 {
	return float64(cost) / float64(p.settings.AmortizationPeriod)
}

// plan returns a proposal with new shares, loads into empty slots and slots to
// free. The result is false if the gain does not justify a change.
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

// selectMoves repeatedly applies the move with the highest gain across all layers,
// as long as the gain justifies the cost and the batch is not full.
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

// batchSize returns the maximum number of weights in the next proposal. The first
// batch of loads is small, so that it takes effect soon. Later batches are
// larger, so that the weight store is not idle during the vote.
func (p *Planner) batchSize() int {
	if p.lastProposalLoads {
		return 2 * p.settings.BatchSize
	}
	return p.settings.BatchSize
}

// freeSlot empties a slot so that the next proposal can load it.
func (p *Planner) freeSlot(l *Layer, m Move) {
	l.expert[m.slot] = Empty
	l.share[m.slot] = 0
	var b balancer
	b.balance(l, p.estimates[m.layer].tokens)
}
