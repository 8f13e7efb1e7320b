// Package suspect keeps one request from crashing an upstream twice. It
// performs no I/O: it receives events and returns actions.
//
// Entries receive the verdict on a crash in messages that may be late. The
// agent knows at once which requests were in flight, so it refuses them for a
// while on its own. It also runs only one suspect at a time: two suspects sent
// by two entries could otherwise be in flight at the same second crash,
// although one of them is innocent.
package suspect

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

const (
	// blockTTL covers the time until every entry has the verdict: heartbeats
	// are sent every second, and an unresponsive connection is replaced after
	// two seconds.
	blockTTL = 30 * clock.Second
	// maxBlocked bounds the fingerprints kept; an upstream has at most a few
	// hundred requests in flight.
	maxBlocked = 1024
	// retryAfterMs is the suggested delay; another upstream can be tried at
	// once.
	retryAfterMs = 500
)

// Event is an input of Gate.Handle.
type Event interface{ event() }

// Submitted requests permission to send a request to the upstream.
type Submitted struct {
	print   fingerprint.Fingerprint
	suspect bool
}

// NewSubmitted returns the event of a submit frame; suspect is the verdict of
// the entry.
func NewSubmitted(f fingerprint.Fingerprint, suspect bool) Submitted { return Submitted{f, suspect} }

// Ended reports that an admitted request has ended at the upstream.
type Ended struct{ print fingerprint.Fingerprint }

// NewEnded returns the event of a request that has ended.
func NewEnded(f fingerprint.Fingerprint) Ended { return Ended{f} }

// Crashed reports that the upstream crashed with requests in flight.
type Crashed struct{ fingerprints []fingerprint.Fingerprint }

// NewCrashed returns the event of a crash; the same fingerprints are sent to
// all entries.
func NewCrashed(fingerprints []fingerprint.Fingerprint) Crashed { return Crashed{fingerprints} }

func (Submitted) event() {}
func (Ended) event()     {}
func (Crashed) event()   {}

// Action is an output of Gate.Handle.
type Action interface{ action() }

// Admit passes the request on to admission.
type Admit struct{}

// Refuse refuses a request that has not run.
type Refuse struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the entry.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (Admit) action()  {}
func (Refuse) action() {}

type blockedFingerprint struct {
	print   fingerprint.Fingerprint
	expires clock.Millis
}

// Gate blocks requests that were in flight at recent crashes. The zero value
// blocks none. It is not safe for concurrent use.
type Gate struct {
	fingerprints []blockedFingerprint
	suspect      fingerprint.Fingerprint // the suspect in flight, if runningCount > 0
	runningCount int
}

// Len returns the number of blocked fingerprints.
func (g *Gate) Len() int { return len(g.fingerprints) }

// Handle applies an event. It returns an action for Submitted and nil for other
// events.
func (g *Gate) Handle(now clock.Millis, e Event) Action {
	g.fingerprints = slices.DeleteFunc(g.fingerprints, func(a blockedFingerprint) bool { return a.expires <= now })
	switch e := e.(type) {
	case Submitted:
		return g.submitted(e)
	case Ended:
		if g.runningCount > 0 && g.suspect == e.print {
			g.runningCount--
		}
	case Crashed:
		g.runningCount = 0
		for _, f := range e.fingerprints {
			g.fingerprints = append(g.fingerprints, blockedFingerprint{f, now + blockTTL})
		}
		g.fingerprints = g.fingerprints[max(0, len(g.fingerprints)-maxBlocked):]
	}
	return nil
}

func (g *Gate) submitted(e Submitted) Action {
	isBlocked := slices.ContainsFunc(g.fingerprints, func(a blockedFingerprint) bool { return a.print == e.print })
	if isBlocked || e.suspect && g.runningCount > 0 && g.suspect != e.print {
		return Refuse{outcome.Refuse(outcome.Overloaded, outcome.NotRun, retryAfterMs)}
	}
	if e.suspect {
		g.suspect = e.print
		g.runningCount++
	}
	return Admit{}
}
