// Package suspect keeps an upstream from being crashed twice by one request. It
// is a pure decision: events go in, actions come out.
//
// Entries learn of a crash by messages that may be late. The agent knows at
// once which requests were in flight, so it refuses them for a while on its own.
// It also runs one suspect at a time: two suspects sent by two entries could
// otherwise be in flight at the same second crash, and one of them is innocent.
package suspect

import (
	"slices"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

const (
	// blockTTL covers the time until every entry has the verdict: heartbeats are
	// sent each second and a silent connection is replaced after two.
	blockTTL = 30 * clock.Second
	// maxBlocked bounds the fingerprints kept; an upstream holds a few hundred
	// requests at most.
	maxBlocked = 1024
	// retryAfterMs is the suggested wait; another upstream can be tried at once.
	retryAfterMs = 500
)

// Event is an input of Gate.Handle.
type Event interface{ event() }

// Submitted asks whether a request may enter the upstream.
type Submitted struct {
	fingerprint fingerprint.Fingerprint
	suspect     bool
}

// NewSubmitted describes a submit frame; suspect is the entry's verdict.
func NewSubmitted(f fingerprint.Fingerprint, suspect bool) Submitted { return Submitted{f, suspect} }

// Ended tells that an admitted request has left the upstream.
type Ended struct{ fingerprint fingerprint.Fingerprint }

// NewEnded describes a request that ended.
func NewEnded(f fingerprint.Fingerprint) Ended { return Ended{f} }

// Crashed tells that the upstream died with requests in flight.
type Crashed struct{ fingerprints []fingerprint.Fingerprint }

// NewCrashed describes a crash; the same fingerprints go to all entries.
func NewCrashed(fingerprints []fingerprint.Fingerprint) Crashed { return Crashed{fingerprints} }

func (Submitted) event() {}
func (Ended) event()     {}
func (Crashed) event()   {}

// Action is an output of Gate.Handle.
type Action interface{ action() }

// Admit lets the request pass on to admission.
type Admit struct{}

// Refuse refuses the request as not run.
type Refuse struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the entry.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

func (Admit) action()  {}
func (Refuse) action() {}

type blockedFingerprint struct {
	print   fingerprint.Fingerprint
	expires clock.Millis
}

// Gate holds the requests that were in flight at recent crashes. The zero value
// has none. It is not safe for concurrent use.
type Gate struct {
	blocked        []blockedFingerprint
	runningSuspect fingerprint.Fingerprint // the suspect in flight, if running > 0
	runningCount   int
}

// Len returns the number of fingerprints kept.
func (g *Gate) Len() int { return len(g.blocked) }

// Handle applies an event. Crashed has no action and returns nil.
func (g *Gate) Handle(now clock.Millis, e Event) Action {
	g.blocked = slices.DeleteFunc(g.blocked, func(a blockedFingerprint) bool { return a.expires <= now })
	switch e := e.(type) {
	case Submitted:
		return g.submitted(e)
	case Ended:
		if g.runningCount > 0 && g.runningSuspect == e.fingerprint {
			g.runningCount--
		}
	case Crashed:
		g.runningCount = 0
		for _, f := range e.fingerprints {
			g.blocked = append(g.blocked, blockedFingerprint{f, now + blockTTL})
		}
		g.blocked = g.blocked[max(0, len(g.blocked)-maxBlocked):]
	}
	return nil
}

func (g *Gate) submitted(e Submitted) Action {
	isBlocked := slices.ContainsFunc(g.blocked, func(a blockedFingerprint) bool { return a.print == e.fingerprint })
	if isBlocked || e.suspect && g.runningCount > 0 && g.runningSuspect != e.fingerprint {
		return Refuse{outcome.Refuse(outcome.Overloaded, outcome.NotRun, retryAfterMs)}
	}
	if e.suspect {
		g.runningSuspect = e.fingerprint
		g.runningCount++
	}
	return Admit{}
}
