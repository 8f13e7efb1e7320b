package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
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
	p.mu.Lock()
	l := p.links[upstream]
	p.mu.Unlock()
	if l == nil {
		return nil, errors.Wrap(ErrNotConnected, upstream)
	}
	return l.query(ctx, claimKey)
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
