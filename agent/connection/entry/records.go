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

// records synchronizes the idempotency records of this incarnation, which the
// connections of all entries share.
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

// admit returns nil if a keyed request may proceed to admission. Requests
// without a key always may.
func (c *records) admit(now clock.Millis, key string) *outcome.Refusal {
	if key == "" {
		return nil
	}
	refused, ok := c.handle(now, claim.NewSubmitted(key)).(claim.Refuse)
	switch {
	case !ok:
		return nil
	case refused.Superseded():
		// The entry queries the owner again when it receives this code as not run.
		return outcome.Refuse(outcome.ClaimPending, outcome.NotRun, 0)
	case refused.NotRun():
		return outcome.Refuse(outcome.Overloaded, outcome.NotRun, 0)
	}
	return outcome.Refuse(outcome.ClaimUnresolved, outcome.Unknown, 0)
}

// rejected records that a keyed request did not reach the upstream.
func (c *records) rejected(now clock.Millis, key string) {
	if key != "" {
		c.handle(now, claim.NewRejected(key))
	}
}

// ended records the outcome of a keyed request at the upstream.
func (c *records) ended(now clock.Millis, key string, captured *capture, err error) {
	switch {
	case key == "":
	case errors.Is(err, upstream.ErrNotStarted):
		c.handle(now, claim.NewRejected(key))
	case err != nil:
		c.handle(now, claim.NewFailed(key))
	default:
		c.handle(now, claim.NewFinished(key, captured.response.Response()))
	}
}

// claimQuery replies to an owner with the state of a key. An unknown key is
// refused from then on.
func (s *Server) claimQuery(c *peer.Conn, id frame.ID, m *frame.ClaimQuery) {
	reply := s.records.handle(s.Clock.Now(), claim.NewQueried(m.ClaimKey())).(claim.StateReply)
	response := reply.Response()
	// The owner queries again if the reply is lost.
	_ = c.Send(id, frame.NewClaimState(string(reply.State()), s.Incarnation, response.Status(), response.Header(), response.Body()))
}

// capture copies the response of a keyed request for its idempotency record
// while forwarding it, unless the response is large.
type capture struct {
	upstream.ResponseWriter
	keyed    bool
	response stored.Capture
}

// Head captures the head and forwards it.
func (c *capture) Head(h *frame.ResponseHead) {
	c.response.Head(h.Status(), h.Header())
	c.ResponseWriter.Head(h)
}

// Write captures p, if the response is small, and forwards it. A keyed request
// continues after its entry has disconnected as long as its response is small
// enough to be captured.
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
