package caller

import (
	"net/http"
	"strings"
	"sync/atomic"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

// holdBytes is how much of a whole answer is held until its end is verified. A
// short answer that breaks off can then still be run elsewhere.
const holdBytes = 16 << 10

const eventStreamType = "text/event-stream"

// streamEnd is the final event, which the agent withholds.
const streamEnd = "data: [DONE]\n\n"

// Answer writes one answer to the caller.
type Answer struct {
	w       http.ResponseWriter
	head    *heldHead
	held    []byte
	started atomic.Bool
	written int64

	clock   *clock.Clock
	firstAt clock.Millis // when the caller was given the first byte
	lastAt  clock.Millis // when the caller was given the last part
	parts   int64
}

type heldHead struct {
	status int
	header []frame.Field
	events bool
}

// NewAnswer returns an answer that is written to w.
func NewAnswer(w http.ResponseWriter, c *clock.Clock) *Answer { return &Answer{w: w, clock: c} }

// meanGap returns the mean time between two parts of a stream.
func (a *Answer) meanGap() clock.Millis {
	if a.parts < 2 {
		return 0
	}
	return (a.lastAt - a.firstAt) / clock.Millis(a.parts-1)
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
	a.head, a.held = &heldHead{status: status, header: header}, nil
	for _, f := range header {
		if strings.EqualFold(f.Name(), "Content-Type") && strings.HasPrefix(f.Value(), eventStreamType) {
			a.head.events = true
		}
	}
}

// Started tells whether the caller may have received a part of the answer.
func (a *Answer) Started() bool { return a.started.Load() }

// Written returns the number of body bytes given to the caller.
func (a *Answer) Written() int64 { return a.written }

// Write takes body bytes. An error means that the caller has left.
func (a *Answer) Write(p []byte) error {
	if !a.Started() && !a.head.events && len(a.held)+len(p) <= holdBytes {
		a.held = append(a.held, p...)
		return nil
	}
	a.start()
	return a.pass(p)
}

// Finish ends a verified answer.
func (a *Answer) Finish() error {
	a.start()
	if !a.head.events {
		return a.pass(nil)
	}
	return a.pass([]byte(streamEnd))
}

// start sends the head and what was held.
func (a *Answer) start() {
	if a.Started() {
		return
	}
	a.started.Store(true)
	a.firstAt = a.clock.Now()
	for _, f := range a.head.header {
		a.w.Header().Add(f.Name(), f.Value())
	}
	a.w.WriteHeader(a.head.status)
	held := a.held
	a.held = nil
	// An error is seen again by the write that follows.
	_ = a.pass(held)
}

func (a *Answer) pass(p []byte) error {
	if len(p) > 0 {
		a.lastAt = a.clock.Now()
		a.parts++
		n, err := a.w.Write(p)
		a.written += int64(n)
		if err != nil {
			return err
		}
	}
	return http.NewResponseController(a.w).Flush()
}
