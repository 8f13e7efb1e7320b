// Package suspect detects requests that crash upstreams and prevents them from
// crashing more than two. It is a pure state machine: it maps events to actions
// without I/O. Entries exchange their verdicts and merge them.
//
// A request in flight at a crash becomes suspect. A suspect runs only on the
// upstream that all entries derive from its fingerprint, and only while no other
// suspect runs there. A second crash quarantines it; a completed run clears it.
package suspect

import (
	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

// Fingerprint identifies equal requests of one customer.
type Fingerprint = fingerprint.Fingerprint

// Crash identifies one crash of one upstream. All entries compute the same value.
type Crash uint64

// CrashOf returns the crash that ended an incarnation of an upstream.
func CrashOf(upstream string, incarnation uint64) Crash {
	d := xxhash.New()
	_, _ = d.WriteString(upstream)
	var b [8]byte
	for i := range b {
		b[i] = byte(incarnation >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return Crash(d.Sum64())
}

// Event is an input of Tracker.Handle.
type Event interface{ event() }

// Arrived requests a decision on whether and where a request may run.
type Arrived struct {
	fingerprint Fingerprint
	upstreams   []string
}

// NewArrived describes a request and the upstreams eligible to run it. All
// entries must pass the same upstreams, so that they choose the same one for a
// suspect.
func NewArrived(f Fingerprint, upstreams []string) Arrived { return Arrived{f, upstreams} }

// Sent reports that a request is about to be sent to an upstream.
type Sent struct {
	request     uint64
	fingerprint Fingerprint
	upstream    string
}

// NewSent describes a request, identified by a number unique at the entry, on an
// upstream.
func NewSent(request uint64, f Fingerprint, upstream string) Sent {
	return Sent{request, f, upstream}
}

// Completed reports that the upstream completed a request.
type Completed struct{ request uint64 }

// NewCompleted describes a completed request.
func NewCompleted(request uint64) Completed { return Completed{request} }

// Ended reports that a request ended without completing. If its upstream crashed,
// Crashed must be handled first.
type Ended struct{ request uint64 }

// NewEnded describes a request that did not complete.
func NewEnded(request uint64) Ended { return Ended{request} }

// Crashed reports that an incarnation of an upstream crashed. Duplicates have no
// effect.
type Crashed struct {
	upstream     string
	incarnation  uint64
	fingerprints []Fingerprint
}

// NewCrashed describes a crash and the requests in flight at it, as the agent
// reports them for all entries. If the agent crashed too, or only one request is
// known to have broken off, the entry passes the requests that it knows of.
// Requests sent to a later incarnation must not be among them.
func NewCrashed(upstream string, incarnation uint64, fingerprints []Fingerprint) Crashed {
	return Crashed{upstream, incarnation, fingerprints}
}

// VerdictsReceived carries the verdicts of another entry.
type VerdictsReceived struct{ verdicts []Verdict }

// NewVerdictsReceived describes received verdicts.
func NewVerdictsReceived(verdicts []Verdict) VerdictsReceived { return VerdictsReceived{verdicts} }

// HeartbeatReceived reports the arrival of a heartbeat from an agent or entry.
type HeartbeatReceived struct{}

func (Arrived) event()           {}
func (HeartbeatReceived) event() {}
func (Sent) event()              {}
func (Completed) event()         {}
func (Ended) event()             {}
func (Crashed) event()           {}
func (VerdictsReceived) event()  {}

// Action is an output of Tracker.Handle.
type Action interface{ action() }

// Allow permits the request to run on any upstream.
type Allow struct{}

// Isolate permits the request, which is suspect, to run on one upstream only.
type Isolate struct{ upstream string }

// Upstream returns the only upstream allowed.
func (a Isolate) Upstream() string { return a.upstream }

// Refuse requires the request to be refused as not run.
type Refuse struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the caller.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

// Wait requires the caller of Handle to retry Arrived shortly. This entry has
// received no heartbeat for a while, for instance because it was paused, and may
// have missed a verdict.
type Wait struct{}

// Announce requires Tracker.Verdicts to be sent to the other entries at once,
// before the callers of the failed requests are notified of the failure and retry
// through another entry.
type Announce struct{}

// Cancel requires requests in flight to be cancelled, because their fingerprint
// was quarantined while they ran.
type Cancel struct{ requests []uint64 }

// Requests returns the numbers of the requests to cancel.
func (c Cancel) Requests() []uint64 { return c.requests }

func (Allow) action()    {}
func (Isolate) action()  {}
func (Refuse) action()   {}
func (Wait) action()     {}
func (Announce) action() {}
func (Cancel) action()   {}

// Verdict is the state of one fingerprint at an entry, as sent to other entries.
type Verdict struct {
	fingerprint Fingerprint
	crashes     []Crash
	cleared     []Crash
	quarantined bool
	remaining   clock.Millis
}

// NewVerdict returns a verdict that was received from another entry.
func NewVerdict(f Fingerprint, crashes, cleared []Crash, quarantined bool, remaining clock.Millis) Verdict {
	return Verdict{f, crashes, cleared, quarantined, remaining}
}

// Fingerprint returns the fingerprint that the verdict applies to.
func (v Verdict) Fingerprint() Fingerprint { return v.fingerprint }

// Crashes returns the crashes during which the request was in flight.
func (v Verdict) Crashes() []Crash { return v.crashes }

// Cleared returns the crashes that no longer count because a later run of the
// request completed.
func (v Verdict) Cleared() []Crash { return v.cleared }

// Quarantined reports whether the request must not run any more.
func (v Verdict) Quarantined() bool { return v.quarantined }

// Remaining returns the time until the verdict expires. It is a duration because
// the clocks of two entries differ.
func (v Verdict) Remaining() clock.Millis { return v.remaining }
