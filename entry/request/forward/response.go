package forward

import (
	"bytes"
	"io"
	"iter"
	"net/http"
	"strconv"
	"strings"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
)

const (
	// maxDrainBytes bounds how much of a discarded response is read so that its
	// connection can be reused.
	maxDrainBytes = 64 << 10
	// maxBufferedResponseBytes bounds a response that is buffered before it is
	// forwarded.
	maxBufferedResponseBytes = 8 << 20
	// streamBufferBytes is the initial size of the buffer for incomplete events.
	streamBufferBytes = 2 << 10
	// maxEventBytes bounds a single event of a stream. All streams of an entry
	// together must not exceed its memory limit.
	maxEventBytes = 128 << 10
)

// interruption describes a response that ended before it was complete.
type interruption struct {
	framing upstream.Framing
	// unfinishedBytes is the number of bytes after the last complete event, or of the
	// whole body if the response is no stream.
	unfinishedBytes int
	// err is the error of the last read, io.EOF if the upstream closed the connection in
	// good order, or nil if the framing states that the body is complete.
	err error
}

// addTo adds the description to the fields of a log line, unless no response broke off.
func (i interruption) addTo(fields event.Fields) {
	if i.framing == "" {
		return
	}
	fields["framing"] = string(i.framing)
	fields["unfinishedBytes"] = i.unfinishedBytes
	if i.err != nil {
		fields["error"] = i.err.Error()
	}
}

// drainResponse reads the rest of a response that is not forwarded.
func drainResponse(resp *upstream.ResponseReader) {
	resp.SetReadTimeout(clock.Second)
	_, _ = io.Copy(io.Discard, io.LimitReader(resp, maxDrainBytes)) // on an error the connection is closed
}

// forwardBuffered forwards a response once it is complete, so that the request
// can be retried at another upstream if the response breaks off. It reports
// whether the response was forwarded.
func (c *call) forwardBuffered(resp *upstream.ResponseReader) (balance.Outcome, bool) {
	s := c.server
	reader := &bodyReader{source: io.LimitReader(resp, maxBufferedResponseBytes), memory: &s.bodyMemory, limit: s.maxTotalBodyBytes()}
	defer reader.release()
	body, err := io.ReadAll(reader)
	if err != nil || len(body) == maxBufferedResponseBytes {
		c.failure = "torn"
		c.interruption = interruption{resp.Framing(), len(body), err}
		return balance.Failed, false
	}
	outcome := balance.Succeeded
	if resp.Status >= http.StatusInternalServerError {
		c.failure = "status" + strconv.Itoa(resp.Status)
		outcome = balance.Failed
		if c.request.retryable() && !c.responseStarted && c.possibleRuns < c.request.route.MaxUpstreams {
			return outcome, false
		}
	}
	if c.responseStarted {
		c.failure = "status" + strconv.Itoa(resp.Status)
		return balance.Failed, false
	}
	c.copyHeader(resp)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	c.writer.WriteHeader(resp.Status)
	_, _ = c.writer.Write(body) // the server closes the connection of a caller that disconnected
	c.recordResponse()
	return outcome, true
}

// copyHeader copies the status and the end-to-end headers of an upstream's
// response and marks the response to the caller as started.
func (c *call) copyHeader(resp *upstream.ResponseReader) {
	c.responseStarted = true
	c.status = resp.Status
	h := c.writer.Header()
	for name, values := range upstream.EndToEnd(resp.Header) {
		h[name] = values
	}
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
			if hasEvent(buffer[:end]) {
				resp.SetReadTimeout(idleTimeout)
				c.recordEvents()
			}
			c.forwardEvents(resp, buffer[:end])
			buffer = buffer[:copy(buffer, buffer[end:])]
			if err == nil && c.shouldFailOver(c.possibleRuns) {
				c.failure = "stalled"
				return balance.Failed, false
			}
		}
		switch {
		case err == io.EOF:
			return c.finishStream(resp, buffer)
		case err != nil:
			c.failure = "streamBroken"
			c.interruption = interruption{resp.Framing(), len(buffer), err}
			return balance.Failed, false
		case len(buffer) > maxEventBytes:
			c.failure = "eventTooLarge"
			return balance.Failed, false
		}
	}
}

// finishStream forwards what follows the last event of a complete stream, unless the
// stream has broken off.
func (c *call) finishStream(resp *upstream.ResponseReader, rest []byte) (balance.Outcome, bool) {
	if c.endsTooSoon(resp, rest) {
		c.failure = "streamBroken"
		c.interruption = interruption{resp.Framing(), len(rest), io.EOF}
		return balance.Failed, false
	}
	if !c.responseStarted {
		c.writeHead(resp)
	}
	if len(rest) > 0 {
		_, _ = c.writer.Write(rest) // the server closes the connection of a caller that disconnected
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
		return len(rest) > 0 || c.attemptEvents == 0
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

const eventStreamType = "text/event-stream"

// mayBeEventStream reports whether a response has the type of an event stream or none.
func mayBeEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(strings.ToLower(contentType), eventStreamType)
}

// blankLines are the line ends, twice in a row, that end an event. Lines may end with a
// line feed, a carriage return or both.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

var idPrefix = []byte("id:")

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	n := 0
	for _, blank := range blankLines {
		if i := bytes.LastIndex(b, blank); i >= 0 {
			n = max(n, i+len(blank))
		}
	}
	return n
}

// eventLines returns the lines of events that are not blank, without their ends.
func eventLines(events []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' })
}

// hasEvent reports whether events include more than comments.
func hasEvent(events []byte) bool {
	for line := range eventLines(events) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// lastEvent returns the last of the complete events that is more than comments, without
// the blank line at its end, or nil if there is none.
func lastEvent(events []byte) []byte {
	for len(events) > 0 {
		events = bytes.TrimRight(events, "\r\n")
		start := completeEventsLen(events)
		if hasEvent(events[start:]) {
			return events[start:]
		}
		events = events[:start]
	}
	return nil
}

// parseEventID returns the id of an event, or "" if it has none.
func parseEventID(event []byte) string {
	id := ""
	for line := range eventLines(event) {
		if rest, found := bytes.CutPrefix(line, idPrefix); found {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
