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

// Answer writes one response to the caller.
type Answer struct {
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

// NewAnswer returns a response that is written to w.
func NewAnswer(w http.ResponseWriter, c *clock.Clock) *Answer { return &Answer{w: w, clock: c} }

// meanWriteInterval returns the mean time between two writes of a stream, or 0 for
// fewer than two.
func (a *Answer) meanWriteInterval() clock.Millis {
	if a.writes < 2 {
		return 0
	}
	return (a.lastWriteAt - a.firstByteAt) / clock.Millis(a.writes-1)
}

// status returns the HTTP status of the current attempt, or 0 before Head.
func (a *Answer) status() int {
	if a.head == nil {
		return 0
	}
	return a.head.status
}

// Head sets the status and header received from a new attempt and discards what
// was buffered from the one before.
func (a *Answer) Head(status int, header []frame.Field) {
	a.head, a.buffered = &responseHead{status: status, header: header}, nil
	for _, f := range header {
		if strings.EqualFold(f.Name(), "Content-Type") && strings.HasPrefix(f.Value(), eventStreamType) {
			a.head.eventStream = true
		}
	}
}

// Started reports whether the caller may have received part of the response.
func (a *Answer) Started() bool { return a.started.Load() }

// Written returns the number of body bytes written to the caller.
func (a *Answer) Written() int64 { return a.written }

// Write buffers or sends body bytes. An error means that the caller has
// disconnected.
func (a *Answer) Write(p []byte) error {
	if !a.Started() && !a.head.eventStream && len(a.buffered)+len(p) <= maxBufferedBytes {
		a.buffered = append(a.buffered, p...)
		return nil
	}
	a.sendHead()
	return a.writeAndFlush(p)
}

// Finish completes a verified response.
func (a *Answer) Finish() error {
	a.sendHead()
	if !a.head.eventStream {
		return a.writeAndFlush(nil)
	}
	return a.writeAndFlush([]byte(streamEnd))
}

// sendHead sends the status, the header and the buffered bytes.
func (a *Answer) sendHead() {
	if a.Started() {
		return
	}
	a.started.Store(true)
	a.firstByteAt = a.clock.Now()
	for _, f := range a.head.header {
		a.w.Header().Add(f.Name(), f.Value())
	}
	a.w.WriteHeader(a.head.status)
	buffered := a.buffered
	a.buffered = nil
	// The next write returns the same error.
	_ = a.writeAndFlush(buffered)
}

func (a *Answer) writeAndFlush(p []byte) error {
	if len(p) > 0 {
		a.lastWriteAt = a.clock.Now()
		a.writes++
		n, err := a.w.Write(p)
		a.written += int64(n)
		if err != nil {
			return err
		}
	}
	return http.NewResponseController(a.w).Flush()
}
