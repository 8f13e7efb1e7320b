package caller

import (
	"net/http"
	"strings"
	"sync/atomic"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// maxBufferedBytes is the largest non-streamed response body that is buffered
// until its end is verified. If a buffered response breaks off, its request can
// still be retried at another upstream.
const maxBufferedBytes = 16 << 10

const eventStreamType = "text/event-stream"

// streamEnd is the last event of a stream. The agent does not forward it; it is
// written once the response is verified.
const streamEnd = "data: [DONE]\n\n"

// Response writes one response to the caller.
type Response struct {
	w        http.ResponseWriter
	head     *responseHead
	buffered []byte
	started  atomic.Bool
	written  int64

	clock       *clock.Clock
	firstByteAt clock.Millis // when the first byte was sent
	lastWriteAt clock.Millis // when body bytes were last written
	writes      int64
}

type responseHead struct {
	status      int
	header      []frame.Field
	eventStream bool
}

// NewResponse returns a response that is written to w.
func NewResponse(w http.ResponseWriter, c *clock.Clock) *Response { return &Response{w: w, clock: c} }

// meanWriteInterval returns the mean time between two writes of a stream, or 0 for
// fewer than two.
func (r *Response) meanWriteInterval() clock.Millis {
	if r.writes < 2 {
		return 0
	}
	return (r.lastWriteAt - r.firstByteAt) / clock.Millis(r.writes-1)
}

// status returns the HTTP status of the current attempt, or 0 before Head.
func (r *Response) status() int {
	if r.head == nil {
		return 0
	}
	return r.head.status
}

// Head sets the status and header received from a new attempt and discards what
// was buffered from the one before.
func (r *Response) Head(status int, header []frame.Field) {
	r.head, r.buffered = &responseHead{status: status, header: header}, nil
	for _, f := range header {
		if strings.EqualFold(f.Name(), "Content-Type") && strings.HasPrefix(f.Value(), eventStreamType) {
			r.head.eventStream = true
		}
	}
}

// Started reports whether the caller may have received part of the response.
func (r *Response) Started() bool { return r.started.Load() }

// Written returns the number of body bytes written to the caller.
func (r *Response) Written() int64 { return r.written }

// Write buffers or sends body bytes. An error means that the caller has
// disconnected.
func (r *Response) Write(p []byte) error {
	if !r.Started() && !r.head.eventStream && len(r.buffered)+len(p) <= maxBufferedBytes {
		r.buffered = append(r.buffered, p...)
		return nil
	}
	r.sendHead()
	return r.writeAndFlush(p)
}

// Finish completes a verified response.
func (r *Response) Finish() error {
	r.sendHead()
	if !r.head.eventStream {
		return r.writeAndFlush(nil)
	}
	return r.writeAndFlush([]byte(streamEnd))
}

// sendHead sends the status, the header and the buffered bytes.
func (r *Response) sendHead() {
	if r.Started() {
		return
	}
	r.started.Store(true)
	r.firstByteAt = r.clock.Now()
	for _, f := range r.head.header {
		r.w.Header().Add(f.Name(), f.Value())
	}
	r.w.WriteHeader(r.head.status)
	buffered := r.buffered
	r.buffered = nil
	// The next write returns the same error.
	_ = r.writeAndFlush(buffered)
}

func (r *Response) writeAndFlush(p []byte) error {
	if len(p) > 0 {
		r.lastWriteAt = r.clock.Now()
		r.writes++
		n, err := r.w.Write(p)
		r.written += int64(n)
		if err != nil {
			return err
		}
	}
	return http.NewResponseController(r.w).Flush()
}
