package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// querySequence separates the ids of queries from those of requests, which an
// agent remembers.
const querySequence = 1 << 63

// Incarnation returns the incarnation of the agent on the last connection.
func (l *Link) Incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// Query asks the agent of an upstream what became of a claim. After an error
// the agent may have recorded a refusal of the claim.
func (p *Pool) Query(ctx context.Context, upstream, claimKey string) (*frame.ClaimState, error) {
	l := p.Link(upstream)
	if l == nil {
		p.visit(upstream)
		return nil, errors.Wrap(ErrNotConnected, upstream)
	}
	return l.query(ctx, claimKey)
}

// visitLife is how long a link outside the router's choice is kept. Owners repeat
// the query of a claim after 2 s to 30 s.
const visitLife = 60 * clock.Second

// visit asks for a link to an agent that the router does not want: a claim may
// name any agent, and only that one knows what became of it.
func (p *Pool) visit(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.visits == nil {
		p.visits = map[string]clock.Millis{}
	}
	p.visits[upstream] = p.Clock.Now() + visitLife
}

// addVisits adds the agents that are visited to those wanted. It must be called
// with mu held.
func (p *Pool) addVisits(wanted map[string]bool) {
	now := p.Clock.Now()
	for name, until := range p.visits {
		if until <= now {
			delete(p.visits, name)
			continue
		}
		wanted[name] = true
	}
}

func (l *Link) query(ctx context.Context, claimKey string) (*frame.ClaimState, error) {
	answer := make(chan *frame.ClaimState, 1)
	l.mu.Lock()
	c := l.conn
	if c == nil {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrNotConnected, l.Name)
	}
	if l.queries == nil {
		l.queries = map[frame.ID]chan<- *frame.ClaimState{}
	}
	l.queried++
	id := frame.NewID(l.Self.Incarnation(), querySequence|l.queried)
	l.queries[id] = answer
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.queries, id)
	}()
	if err := c.Send(id, frame.NewClaimQuery(claimKey)); err != nil {
		return nil, errors.Wrap(err, "send claim query")
	}
	select {
	case m := <-answer:
		return m, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for claim state")
	}
}

// answered passes a claimState to the query that waits for it.
func (l *Link) answered(id frame.ID, m *frame.ClaimState) {
	l.mu.Lock()
	answer := l.queries[id]
	delete(l.queries, id)
	l.mu.Unlock()
	if answer == nil {
		l.stray(id)
		return
	}
	answer <- m
}
