package entry

import (
	"errors"
	"sync"

	"goldcrestshore/agent/request/claim"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// claims guards the claim table of this incarnation, which the connections of
// all entries share.
type claims struct {
	mu    sync.Mutex
	table *claim.Table
}

func newClaims() *claims { return &claims{table: claim.New()} }

func (c *claims) handle(now clock.Millis, e claim.Event) claim.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Handle(now, e)
}

// admit returns nil if a claimed request may go on to admission.
func (c *claims) admit(now clock.Millis, key string) *outcome.Refusal {
	if key == "" {
		return nil
	}
	refused, ok := c.handle(now, claim.NewSubmitted(key)).(claim.Refuse)
	switch {
	case !ok:
		return nil
	case refused.Superseded():
		// The entry asks the owner again when it sees this code as not run.
		return outcome.Refuse(outcome.ClaimPending, outcome.NotRun, 0)
	case refused.NotRun():
		return outcome.Refuse(outcome.Overloaded, outcome.NotRun, 0)
	}
	return outcome.Refuse(outcome.ClaimUnresolved, outcome.Unknown, 0)
}

// rejected notes that a claimed request did not reach the upstream.
func (c *claims) rejected(now clock.Millis, key string) {
	if key != "" {
		c.handle(now, claim.NewRejected(key))
	}
}

// ended notes how the upstream ended a claimed request.
func (c *claims) ended(now clock.Millis, key string, captured *capture, err error) {
	switch {
	case key == "":
	case errors.Is(err, upstream.ErrNotStarted):
		c.handle(now, claim.NewRejected(key))
	case err != nil:
		c.handle(now, claim.NewFailed(key))
	default:
		c.handle(now, claim.NewFinished(key, captured.kept.Answer()))
	}
}

// claimQuery answers an owner. An unknown claim is refused from then on.
func (s *Server) claimQuery(c *peer.Conn, id frame.ID, m *frame.ClaimQuery) {
	told := s.claims.handle(s.Clock.Now(), claim.NewQueried(m.ClaimKey())).(claim.StateReply)
	a := told.Answer()
	// A lost answer makes the owner ask again.
	_ = c.Send(id, frame.NewClaimState(string(told.State()), s.Incarnation, a.Status(), a.Header(), a.Body()))
}

// capture keeps the small answer of a claimed request while it passes.
type capture struct {
	upstream.ResponseWriter
	claimed bool
	kept    stored.Capture
}

// Head keeps the head and passes it on.
func (c *capture) Head(h *frame.ResponseHead) {
	c.kept.Head(h.Status(), h.Header())
	c.ResponseWriter.Head(h)
}

// Write keeps p if the answer is small and passes it on. A claimed request goes
// on when its entry has left, as long as its answer can be kept.
func (c *capture) Write(p []byte) (int, error) {
	if !c.claimed {
		return c.ResponseWriter.Write(p)
	}
	c.kept.Add(p)
	n, err := c.ResponseWriter.Write(p)
	if err != nil && !c.kept.TooLarge() {
		return len(p), nil
	}
	return n, err
}
