package http1

import (
	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/process/clock"
)

// phase is what a connection is used for.
type phase int32

const (
	// phaseNew is the time before the first byte of the first request.
	phaseNew phase = iota
	// phaseHead is the time from the first byte of a head to its last.
	phaseHead
	// phaseBody is the time until the handler has received the request.
	phaseBody
	// phaseServing is the time until the response has been sent.
	phaseServing
	// phaseIdle is the time between two requests.
	phaseIdle
)

// state returns what a connection in this phase waits for.
func (p phase) state() connlimit.State {
	switch p {
	case phaseServing:
		return connlimit.Busy
	case phaseIdle:
		return connlimit.Idle
	}
	return connlimit.Waiting
}

// limit returns how long a connection may be in this phase, 0 for any time: while a body is read or a
// response is written, deadlines of the connection apply.
func (p phase) limit(t Timeouts) clock.Millis {
	switch p {
	case phaseNew:
		return t.Head + t.Idle
	case phaseHead:
		return t.Head + timeoutMargin
	case phaseIdle:
		return t.Idle + timeoutMargin
	}
	return 0
}
