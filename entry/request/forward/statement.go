package forward

import (
	"net/http"

	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
)

// recordStatements records what the head of a response says of its upstream, before any of it is
// forwarded. The response answers the request that was sent, as its ID shows. A misdirected request
// was answered by another upstream, of which nothing is known yet but its address.
func (c *call) recordStatements(resp *upstream.ResponseReader) {
	if resp.Status == http.StatusMisdirectedRequest {
		return
	}
	c.recordLeaving(resp)
	c.recordRateLimit(resp)
	c.recordPause(resp)
}

// recordLeaving takes an upstream out of service that says that it leaves.
func (c *call) recordLeaving(resp *upstream.ResponseReader) {
	s := c.server
	if resp.Header.Get(s.Headers.Leaving) == "" {
		return
	}
	u := c.ticket.Registration()
	if !s.State.MarkLeaving(u.ID, u.StartTime) {
		return
	}
	s.Log.Emit(event.UpstreamLeaving, event.Fields{"upstream": u.ID, "startTime": u.StartTime, "source": "response", "request": c.request.id, "status": resp.Status})
	if s.OnLeaving != nil {
		s.OnLeaving(u)
	}
}
