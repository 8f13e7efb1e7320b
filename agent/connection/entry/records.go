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

// records guards the claim table of this incarnation, which the connections of
// all entries share.
type records struct {
	mu    sync.Mutex
	table *claim.Table
}

func newRecords() *records { return &records{table: claim.New()} }

func (c *records) handle(now clock.Millis, e claim.Event) claim.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Handle(now, e)
}

// admit returns nil if a claimed request may go on to admission.
func (c *records) admit(now clock.Millis, key string) *outcome.Refusal {
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
func (c *records) rejected(now clock.Millis, key string) {
	if key != "" {
		c.handle(now, claim.NewRejected(key))
	}
}

// ended notes how the upstream ended a claimed request.
func (c *records) ended(now clock.Millis, key string, captured *capture, err error) {
	switch {
	case key == "":
	case errors.Is(err, upstream.ErrNotStarted):
		c.handle(now, claim.NewRejected(key))
	case err != nil:
		c.handle(now, claim.NewFailed(key))
	default:
		c.handle(now, claim.NewFinished(key, captured.response.Answer()))
	}
}

// claimQuery answers an owner. An unknown claim is refused from then on.
func (s *Server) claimQuery(c *peer.Conn, id frame.ID, m *frame.ClaimQuery) {
	reply := s.records.handle(s.Clock.Now(), claim.NewQueried(m.ClaimKey())).(claim.StateReply)
	response := reply.Answer()
	// A lost answer makes the owner ask again.
	_ = c.Send(id, frame.NewClaimState(string(reply.State()), s.Incarnation, response.Status(), response.Header(), response.Body()))
}

// capture keeps the small answer of a claimed request while it passes.
type capture struct {
	upstream.ResponseWriter
	keyed    bool
	response stored.Capture
}

// Head keeps the head and passes it on.
func (c *capture) Head(h *frame.ResponseHead) {
	c.response.Head(h.Status(), h.Header())
	c.ResponseWriter.Head(h)
}

// Write keeps p if the answer is small and passes it on. A claimed request goes
// on when its entry has left, as long as its answer can be kept.
func (c *capture) Write(p []byte) (int, error) {
	if !c.keyed {
		return c.ResponseWriter.Write(p)
	}
	c.response.Add(p)
	n, err := c.ResponseWriter.Write(p)
	if err != nil && !c.response.TooLarge() {
		return len(p), nil
	}
	return n, err
}
