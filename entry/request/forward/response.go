package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/connection/upstream"
	"goldcrestshore/entry/request/balance"
	"goldcrestshore/entry/request/body"
)

const (
	// maxDrainBytes bounds how much of a discarded response is read so that its
	// connection can be reused.
	maxDrainBytes = 64 << 10
	// maxBufferedResponseBytes bounds a response that is buffered before it is
	// forwarded.
	maxBufferedResponseBytes = 8 << 20
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
	var isDelivered atomic.Bool
	buffer := s.bodyMemory.NewBuffer(s.maxTotalBodyBytes(), func() {
		if isDelivered.Load() {
			c.closeUnread()
			return
		}
		resp.Abort()
	})
	defer buffer.Release()
	if err := buffer.Fill(resp, resp.Length, maxBufferedResponseBytes); err != nil {
		c.interruption = interruption{resp.Framing(), int(buffer.Len()), err}
		return c.fail(verdictOfBody(err)), false
	}
	if c.hasAnotherResponse(resp, buffer) {
		return c.fail(verdict{balance.Failed, "anotherResponse"}), false
	}
	outcome := balance.Succeeded
	if v := verdictOfStatus(resp.Status); v.outcome != balance.Succeeded {
		outcome = c.fail(v)
		if c.request.retryable() && !c.responseStarted && c.possibleRuns < c.request.route.MaxUpstreams {
			return outcome, false
		}
	}
	if c.responseStarted {
		return c.fail(verdict{balance.Unclear, "status" + strconv.Itoa(resp.Status)}), false
	}
	c.copyHeader(resp)
	c.writer.Header().Set("Content-Length", strconv.FormatInt(buffer.Len(), 10))
	c.writer.WriteHeader(resp.Status)
	if resp.Status < http.StatusMultipleChoices {
		c.recordSound()
	}
	// A caller that reads slowly must keep neither the upstream nor the memory that others need.
	s.Scheduler.release(c.ticket, outcome)
	isDelivered.Store(true)
	buffer.MayGiveWay()
	for _, part := range buffer.Parts() {
		_, _ = c.writer.Write(part) // the server closes the connection of a caller that disconnected
	}
	c.recordResponse()
	return outcome, true
}

// hasAnotherResponse reports whether another response follows in a body that has been read to the end
// of its connection. Where the first one ends can't be told then, nor whether it is whole.
func (c *call) hasAnotherResponse(resp *upstream.ResponseReader, b *body.Buffer) bool {
	if resp.Framing() != upstream.FramedByClose {
		return false
	}
	return anotherResponse(bytes.Join(b.Parts(), nil), false, c.server.Headers.RequestID, c.request.id) >= 0
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
