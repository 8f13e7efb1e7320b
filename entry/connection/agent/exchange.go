// Package agent maintains the entry's connections to agents and tracks the
// requests that run on them.
package agent

import (
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/request/outcome"
)

const (
	// maxPendingBytes is the agent's credit window; an agent that exceeds it
	// violates the protocol.
	maxPendingBytes = frame.WindowBytes
	// creditUpdateBytes is the number of consumed bytes after which the agent is
	// sent a new credit.
	creditUpdateBytes = frame.WindowBytes / 4
)

// Event is one step of an exchange. Events arrive in the order Accepted, Head,
// any number of Data, End; Refused or Lost ends the exchange instead.
type Event interface{ exchangeEvent() }

// Accepted reports that the upstream may have started the request.
type Accepted struct{}

// Refused reports that the agent did not admit the request.
type Refused struct{ refusal *outcome.Refusal }

// Head carries the status and header of the response.
type Head struct{ head *frame.ResponseHead }

// Data carries the next body bytes.
type Data struct{ bytes []byte }

// End ends the response. It is complete if every byte has arrived intact.
type End struct {
	complete bool
	code     outcome.Code
}

// Lost reports that the outcome of the request is unknown, unless notRun is set.
type Lost struct{ notRun bool }

func (Accepted) exchangeEvent() {}
func (Refused) exchangeEvent()  {}
func (Head) exchangeEvent()     {}
func (Data) exchangeEvent()     {}
func (End) exchangeEvent()      {}
func (Lost) exchangeEvent()     {}

// Refusal returns the agent's reason for not admitting the request.
func (r Refused) Refusal() *outcome.Refusal { return r.refusal }

// Status returns the HTTP status.
func (h Head) Status() int { return h.head.Status() }

// Header returns the header lines.
func (h Head) Header() []frame.Field { return h.head.Header() }

// Bytes returns the body bytes; they stay valid until the next call of Next.
func (d Data) Bytes() []byte { return d.bytes }

// Complete reports whether length and checksum match and the upstream finished
// without an error.
func (e End) Complete() bool { return e.complete }

// Code returns the reason why the response is incomplete.
func (e End) Code() outcome.Code { return e.code }

// NotRun reports whether the agent has permanently refused the request.
func (l Lost) NotRun() bool { return l.notRun }

// Exchange is one request submitted to an agent.
type Exchange struct {
	id   frame.ID
	link *Link

	mu       sync.Mutex
	queue    []Event // control events before and after the body
	pending  []byte  // body bytes received but not yet returned by Next
	received int64
	consumed int64
	credited int64
	digest   *xxhash.Digest
	headSeen bool
	ended    bool
	notify   chan struct{}
}

func newExchange(id frame.ID, link *Link) *Exchange {
	return &Exchange{id: id, link: link, digest: xxhash.New(), notify: make(chan struct{}, 1)}
}

// Next returns the next event, or the error of ctx.
func (e *Exchange) Next(ctx context.Context) (Event, error) {
	for {
		if event := e.dequeue(); event != nil {
			return event, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-e.notify:
		}
	}
}

// dequeue returns the next event, or nil if none has arrived. It returns body
// bytes before End and Lost.
func (e *Exchange) dequeue() Event {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.queue) > 0 && (len(e.pending) == 0 || !isFinal(e.queue[0])) {
		event := e.queue[0]
		e.queue = e.queue[1:]
		return event
	}
	if len(e.pending) == 0 {
		return nil
	}
	bytes := e.pending
	e.pending = nil
	return Data{bytes}
}

// isFinal reports whether no body bytes follow the event.
func isFinal(event Event) bool {
	switch event.(type) {
	case End, Lost:
		return true
	}
	return false
}

// Consumed records that the caller has taken n more bytes and sends the agent a
// new credit when one is due.
func (e *Exchange) Consumed(n int) {
	e.mu.Lock()
	e.consumed += int64(n)
	due := e.consumed-e.credited >= creditUpdateBytes
	if due {
		e.credited = e.consumed
	}
	offset := e.consumed
	e.mu.Unlock()
	if due {
		e.link.send(e.id, frame.NewCredit(offset))
	}
}

// Close ends the exchange. The agent discards the request and stops it if it
// is still running.
func (e *Exchange) Close() { e.link.close(e) }

// nextOffset returns the body offset from which to resume.
func (e *Exchange) nextOffset() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.received
}

// push queues a control event. Events after one that ends the exchange are
// dropped.
func (e *Exchange) push(event Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return
	}
	switch event := event.(type) {
	case Head:
		if e.headSeen {
			return // sent again after a resume
		}
		e.headSeen = true
	case End, Lost, Refused:
		_ = event
		e.ended = true
	}
	e.queue = append(e.queue, event)
	e.wake()
}

// wake notifies Next. It must be called with mu held.
func (e *Exchange) wake() {
	select {
	case e.notify <- struct{}{}:
	default:
	}
}

// handleData appends body bytes. It returns false if they do not continue the
// body or exceed the window.
func (e *Exchange) handleData(m *frame.Data) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended || m.Offset() != e.received || !e.headSeen {
		return false
	}
	if int64(len(m.Bytes()))+e.received-e.consumed > maxPendingBytes {
		return false
	}
	_, _ = e.digest.Write(m.Bytes())
	e.pending = append(e.pending, m.Bytes()...)
	e.received += int64(len(m.Bytes()))
	e.wake()
	return true
}

// handleEnd ends the response and reports whether its length and checksum match
// those of the agent.
func (e *Exchange) handleEnd(m *frame.End) (matches bool) {
	e.mu.Lock()
	matches = m.Length() == e.received && m.Checksum() == e.digest.Sum64()
	e.mu.Unlock()
	code := outcome.Code(m.Code())
	if !matches {
		code = outcome.ConnectionLost
	}
	e.push(End{complete: m.OK() && matches, code: code})
	return matches
}
