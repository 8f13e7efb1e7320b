package forward

import (
	"bytes"
	"io"
	"net/http"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/version/config"
)

const (
	// streamBufferBytes is the initial size of the buffer for incomplete events.
	streamBufferBytes = 2 << 10
	// maxEventBytes bounds a single event of a stream. All streams of an entry
	// together must not exceed its memory limit.
	maxEventBytes = 128 << 10
)

// minStreamPatience, patienceObjectives and patienceGaps give how long callers wait
// for the next event of a stream: the longest of a fixed time and multiples of the
// route's objectives for the first event and for the gap between events.
const (
	minStreamPatience  = 2 * clock.Second
	patienceObjectives = 4
	patienceGaps       = 8
	// patienceMargin is the part of that time in which another upstream may resume the
	// stream.
	patienceMargin clock.Millis = 300
)

// streamIdleTimeout returns how long an upstream may take to send the head of a stream
// or the next event of it.
func streamIdleTimeout(r *config.Route) clock.Millis {
	return max(minStreamPatience, patienceObjectives*r.Objective, patienceGaps*r.EventGapObjective) - patienceMargin
}

// forwardStream forwards each event of a stream once it is complete, so that
// after a failure another upstream can resume after the last event. It reports
// whether the whole stream was forwarded. Only a complete event extends the read
// timeout: bytes that never complete one, and comments, don't keep a stalled stream
// open.
func (c *call) forwardStream(resp *upstream.ResponseReader) (balance.Outcome, bool) {
	buffer := make([]byte, 0, streamBufferBytes)
	idleTimeout := streamIdleTimeout(c.request.route)
	resp.SetReadTimeout(idleTimeout)
	for {
		if cap(buffer)-len(buffer) < streamBufferBytes/2 {
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := resp.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := completeEventsLen(buffer); end > 0 {
			if v := c.forwardComplete(resp, buffer[:end], idleTimeout); v.outcome != balance.Succeeded {
				return c.fail(v), false
			}
			buffer = buffer[:copy(buffer, buffer[end:])]
			if err == nil && c.shouldFailOver(c.possibleRuns) {
				return c.fail(verdictOfError(upstream.ErrStalled)), false
			}
		}
		switch {
		case err == io.EOF:
			return c.finishStream(resp, buffer)
		case err != nil:
			c.interruption = interruption{resp.Framing(), len(buffer), err}
			return c.fail(verdict{balance.Unclear, "streamBroken"}), false
		case len(buffer) > maxEventBytes:
			return c.fail(verdict{balance.Unclear, "eventTooLarge"}), false
		}
	}
}

// forwardComplete forwards complete events and comments, and extends the read timeout if there
// is an event. Its verdict is Succeeded if all of them belong to the stream.
func (c *call) forwardComplete(resp *upstream.ResponseReader, events []byte, idleTimeout clock.Millis) verdict {
	if c.resumesWithoutID(events) {
		return verdict{balance.Unclear, "notResumed"}
	}
	foreign := anotherResponse(events, true, c.server.Headers.RequestID, c.request.id)
	if foreign >= 0 {
		events = events[:completeEventsLen(events[:foreign])]
	}
	if hasEvent(events) {
		resp.SetReadTimeout(idleTimeout)
		c.recordEvents()
	}
	if len(events) > 0 {
		c.forwardEvents(resp, events)
	}
	if foreign >= 0 {
		return verdict{balance.Failed, "anotherResponse"}
	}
	return verdict{outcome: balance.Succeeded}
}

// resumesWithoutID reports whether the first event of an upstream that is to resume a stream
// has no id. It then cannot be told from the text of an error, and does not continue the
// stream after a known event.
func (c *call) resumesWithoutID(events []byte) bool {
	if c.events == 0 || c.attemptEvents > 0 {
		return false
	}
	first := firstEvent(events)
	return first != nil && parseEventID(first) == ""
}

// finishStream forwards what follows the last event of a complete stream, unless the
// stream has broken off.
func (c *call) finishStream(resp *upstream.ResponseReader, rest []byte) (balance.Outcome, bool) {
	if c.endsTooSoon(resp, rest) {
		c.interruption = interruption{resp.Framing(), len(rest), io.EOF}
		return c.fail(verdict{balance.Unclear, "streamBroken"}), false
	}
	if !c.responseStarted {
		c.writeHead(resp)
	}
	if len(rest) > 0 {
		_, _ = c.writer.Write(rest) // the server closes the connection of a caller that disconnected
	}
	if c.attemptEvents > 0 {
		c.recordSound()
	}
	c.recordResponse()
	return balance.Succeeded, true
}

// endsTooSoon reports whether a stream whose body has ended in good order with rest has
// broken off nevertheless: a process that fails may still end its body. It has if it ends
// within an event. Without a length or chunks it also has if it ends within a comment, or
// if this upstream has sent no event.
func (c *call) endsTooSoon(resp *upstream.ResponseReader, rest []byte) bool {
	if resp.Framing() == upstream.FramedByClose {
		return len(bytes.Trim(rest, "\r\n")) > 0 || c.attemptEvents == 0
	}
	return hasEvent(rest)
}

func (c *call) writeHead(resp *upstream.ResponseReader) {
	c.copyHeader(resp)
	c.writer.WriteHeader(resp.Status)
}

// recordEvents records the arrival of complete events.
func (c *call) recordEvents() {
	s, r := c.server, c.request
	now := s.Clock.Now()
	s.Scheduler.WithBalancer(func(_ clock.Millis, b *balance.Balancer) {
		b.RecordActivity(now, c.ticket)
		if c.events == 0 {
			b.PrefillDone(now, c.ticket)
		}
	})
	if c.events == 0 {
		s.Metrics.recordFirstEvent(now - r.arrived)
	} else {
		s.Metrics.recordEventGap(now - c.lastEventAt)
	}
	c.lastEventAt = now
	c.events++
	c.attemptEvents++
	if c.attemptEvents == soundEvents {
		c.recordSound()
	}
}

// forwardEvents writes complete events and comments to the caller.
func (c *call) forwardEvents(resp *upstream.ResponseReader, events []byte) {
	if !c.responseStarted {
		c.writeHead(resp)
	}
	if last := lastEvent(events); last != nil {
		c.lastEventID = parseEventID(last)
	}
	_, _ = c.writer.Write(events) // the request's context ends when the caller disconnects
	if f, ok := c.writer.(http.Flusher); ok {
		f.Flush()
	}
}
