package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// querySequenceBit distinguishes the IDs of queries from those of requests, which
// an agent keeps.
const querySequenceBit = 1 << 63

// Incarnation returns the incarnation of the agent on the most recent connection.
func (l *Link) Incarnation() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// Query queries the agent of an upstream for the state of a keyed request. After
// an error the agent may have recorded a refusal of the request.
func (p *Pool) Query(ctx context.Context, upstream, claimKey string) (*frame.ClaimState, error) {
	l := p.Link(upstream)
	if l == nil {
		p.requestQueryLink(upstream)
		return nil, errors.Wrap(ErrNotConnected, upstream)
	}
	return l.query(ctx, claimKey)
}

// queryLinkTTL is how long a link that was opened for a query is kept. Owners
// retry the query for an idempotency record after 2 s to 30 s.
const queryLinkTTL = 60 * clock.Second

// requestQueryLink requests a link to an agent that the router does not select. An
// idempotency record may name any agent, and only that agent has the state of the
// request.
func (p *Pool) requestQueryLink(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.queryLinks == nil {
		p.queryLinks = map[string]clock.Millis{}
	}
	p.queryLinks[upstream] = p.Clock.Now() + queryLinkTTL
}

// addQueryLinks adds the agents with an unexpired query link to desired and
// removes expired ones. It must be called with mu held.
func (p *Pool) addQueryLinks(desired map[string]bool) {
	now := p.Clock.Now()
	for name, expiry := range p.queryLinks {
		if expiry <= now {
			delete(p.queryLinks, name)
			continue
		}
		desired[name] = true
	}
}

func (l *Link) query(ctx context.Context, claimKey string) (*frame.ClaimState, error) {
	reply := make(chan *frame.ClaimState, 1)
	l.mu.Lock()
	c := l.conn
	if c == nil {
		l.mu.Unlock()
		return nil, errors.Wrap(ErrNotConnected, l.Name)
	}
	if l.queries == nil {
		l.queries = map[frame.ID]chan<- *frame.ClaimState{}
	}
	l.queryCount++
	id := frame.NewID(l.Self.Incarnation(), querySequenceBit|l.queryCount)
	l.queries[id] = reply
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
	case m := <-reply:
		return m, nil
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "wait for claim state")
	}
}

// handleClaimState passes the state to the query that waits for it.
func (l *Link) handleClaimState(id frame.ID, m *frame.ClaimState) {
	l.mu.Lock()
	reply := l.queries[id]
	delete(l.queries, id)
	l.mu.Unlock()
	if reply == nil {
		l.logUnmatched(id)
		return
	}
	reply <- m
}
