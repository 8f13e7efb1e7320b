package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
)

const (
	// drainBytes bounds what is read of an answer that is not passed on, so
	// that its connection can be kept.
	drainBytes = 64 << 10
	// wholeBytes bounds an answer that is read whole before it is passed on.
	wholeBytes = 8 << 20
	// streamBufferBytes holds an event that has not arrived whole.
	streamBufferBytes = 2 << 10
	// maxEventBytes bounds an event.
	maxEventBytes = 1 << 20
)

// drain reads the rest of an answer that is not passed on.
func drain(a *upstream.Answer) {
	a.ReadWithin(clock.Second)
	_, _ = io.Copy(io.Discard, io.LimitReader(a, drainBytes)) // an error closes the connection
}

// whole passes on an answer after all of it has arrived, so that a broken one
// can be replaced by that of another upstream.
func (c *call) whole(a *upstream.Answer) (balance.Outcome, bool) {
	body, err := io.ReadAll(io.LimitReader(a, wholeBytes))
	if err != nil || len(body) == wholeBytes {
		c.failure = "torn"
		return balance.Failed, false
	}
	outcome := balance.Succeeded
	if a.Status >= http.StatusInternalServerError {
		c.failure = "status" + strconv.Itoa(a.Status)
		outcome = balance.Failed
		if c.request.repeatable() && !c.started && c.runs < c.request.route.MaxUpstreams {
			return outcome, false
		}
	}
	if c.started {
		c.failure = "status" + strconv.Itoa(a.Status)
		return balance.Failed, false
	}
	c.head(a)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(a.Status)
	_, _ = c.writer.Write(body) // the server closes the connection of a caller that has left
	c.answered()
	return outcome, true
}

// head copies the headers of an upstream's answer.
func (c *call) head(a *upstream.Answer) {
	c.started = true
	c.status = a.Status
	h := c.writer.Header()
	for name, values := range upstream.EndToEnd(a.Header) {
		h[name] = values
	}
}

// stream passes events on as each arrives whole. After a failure another
// upstream continues after the last event.
func (c *call) stream(a *upstream.Answer) (balance.Outcome, bool) {
	buffer := make([]byte, 0, streamBufferBytes)
	for {
		a.ReadWithin(silence)
		if cap(buffer)-len(buffer) < streamBufferBytes/2 {
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := a.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if end := eventsEnd(buffer); end > 0 {
			c.pass(a, buffer[:end])
			buffer = buffer[:copy(buffer, buffer[end:])]
			if err == nil && c.shouldMove(c.runs) {
				c.failure = "stalled"
				return balance.Failed, false
			}
		}
		switch {
		case err == io.EOF:
			return c.streamEnded(a, buffer)
		case err != nil:
			c.failure = "streamBroken"
			return balance.Failed, false
		case len(buffer) > maxEventBytes:
			c.failure = "eventTooLarge"
			return balance.Failed, false
		}
	}
}

// streamEnded passes on what follows the last event of a complete stream.
func (c *call) streamEnded(a *upstream.Answer, rest []byte) (balance.Outcome, bool) {
	if !c.started {
		c.begin(a)
	}
	if len(rest) > 0 {
		_, _ = c.writer.Write(rest) // the server closes the connection of a caller that has left
	}
	c.answered()
	return balance.Succeeded, true
}

func (c *call) begin(a *upstream.Answer) {
	c.head(a)
	c.writer.WriteHeader(a.Status)
}

// pass writes whole events.
func (c *call) pass(a *upstream.Answer, events []byte) {
	s, r := c.server, c.request
	now := s.Clock.Now()
	s.Scheduler.With(func(_ clock.Millis, b *balance.Balancer) {
		b.RecordActivity(now, c.ticket)
		if c.events == 0 {
			b.PrefillDone(now, c.ticket)
		}
	})
	if !c.started {
		c.begin(a)
		s.Counters.firstEvent(now - r.arrived)
	}
	if c.events > 0 {
		s.Counters.nextEvent(now - c.eventAt)
	}
	c.eventAt = now
	if id := lastEventID(events); id != "" {
		c.lastEvent = id
	}
	c.events++
	_, _ = c.writer.Write(events) // a caller that has left ends the context of the request
	if f, ok := c.writer.(http.Flusher); ok {
		f.Flush()
	}
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// eventsEnd returns the length of the whole events at the start of b.
func eventsEnd(b []byte) int {
	i := bytes.LastIndex(b, eventEnd)
	if i < 0 {
		return 0
	}
	return i + len(eventEnd)
}

// lastEventID returns the id of the last event that has one.
func lastEventID(events []byte) string {
	for len(events) > 0 {
		i := bytes.LastIndexByte(events[:len(events)-1], '\n')
		line := bytes.TrimSpace(events[i+1:])
		if rest, found := bytes.CutPrefix(line, idField); found {
			return string(bytes.TrimSpace(rest))
		}
		events = events[:i+1]
	}
	return ""
}
