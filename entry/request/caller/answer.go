package caller

import (
	"net/http"
	"strings"
	"sync/atomic"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// maxBufferedBytes is how much of a whole answer is held until its end is verified. A
// short answer that breaks off can then still be run elsewhere.
const maxBufferedBytes = 16 << 10

const eventStreamType = "text/event-stream"

// streamEnd is the final event, which the agent withholds.
const streamEnd = "data: [DONE]\n\n"

// Answer writes one answer to the caller.
type Answer struct {
	w        http.ResponseWriter
	head     *responseHead
	buffered []byte
	started  atomic.Bool
	written  int64

	clock       *clock.Clock
	firstByteAt clock.Millis // when the caller was given the first byte
	lastWriteAt clock.Millis // when the caller was given the last part
	writes      int64
}

type responseHead struct {
	status      int
	header      []frame.Field
	eventStream bool
}

// NewAnswer returns an answer that is written to w.
func NewAnswer(w http.ResponseWriter, c *clock.Clock) *Answer { return &Answer{w: w, clock: c} }

// meanWriteInterval returns the mean time between two parts of a stream.
func (a *Answer) meanWriteInterval() clock.Millis {
	if a.writes < 2 {
		return 0
	}
	return (a.lastWriteAt - a.firstByteAt) / clock.Millis(a.writes-1)
}

// status returns the status of the attempt's head, 0 before it.
func (a *Answer) status() int {
	if a.head == nil {
		return 0
	}
	return a.head.status
}

// Head takes the status line and header of a fresh attempt.
func (a *Answer) Head(status int, header []frame.Field) {
	a.head, a.buffered = &responseHead{status: status, header: header}, nil
	for _, f := range header {
		if strings.EqualFold(f.Name(), "Content-Type") && strings.HasPrefix(f.Value(), eventStreamType) {
			a.head.eventStream = true
		}
	}
}

// Started tells whether the caller may have received a part of the answer.
func (a *Answer) Started() bool { return a.started.Load() }

// Written returns the number of body bytes given to the caller.
func (a *Answer) Written() int64 { return a.written }

// Write takes body bytes. An error means that the caller has left.
func (a *Answer) Write(p []byte) error {
	if !a.Started() && !a.head.eventStream && len(a.buffered)+len(p) <= maxBufferedBytes {
		a.buffered = append(a.buffered, p...)
		return nil
	}
	a.sendHead()
	return a.writeAndFlush(p)
}

// Finish ends a verified answer.
func (a *Answer) Finish() error {
	a.sendHead()
	if !a.head.eventStream {
		return a.writeAndFlush(nil)
	}
	return a.writeAndFlush([]byte(streamEnd))
}

// sendHead sends the head and what was held.
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
	// An error is seen again by the write that follows.
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
