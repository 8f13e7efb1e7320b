// Package suspect finds requests that crash upstreams and keeps them from
// crashing more than two. It is a pure decision: events go in, actions come
// out, and verdicts merge between entries.
//
// A request in flight at a crash becomes suspect. A suspect runs on the one
// upstream that all entries derive from its fingerprint, and alone among
// suspects there. A second crash quarantines it; a completed run clears it.
package suspect

import (
	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

// Fingerprint identifies equal requests of one customer.
type Fingerprint = fingerprint.Fingerprint

// Crash identifies one crash of one upstream, equally at every entry.
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

// Arrived asks whether and where a request may run.
type Arrived struct {
	fingerprint Fingerprint
	upstreams   []string
}

// NewArrived describes a request and the upstreams that could take it. All
// entries must pass the same upstreams, so that they place a suspect alike.
func NewArrived(f Fingerprint, upstreams []string) Arrived { return Arrived{f, upstreams} }

// Sent tells that a request is about to be sent to an upstream.
type Sent struct {
	request     uint64
	fingerprint Fingerprint
	upstream    string
}

// NewSent describes a request, numbered by the entry, on an upstream.
func NewSent(request uint64, f Fingerprint, upstream string) Sent {
	return Sent{request, f, upstream}
}

// Completed tells that the upstream completed a request.
type Completed struct{ request uint64 }

// NewCompleted describes a completed request.
func NewCompleted(request uint64) Completed { return Completed{request} }

// Ended tells that a request left its upstream without completing. When the
// upstream crashed, Crashed comes first.
type Ended struct{ request uint64 }

// NewEnded describes a request that did not complete.
func NewEnded(request uint64) Ended { return Ended{request} }

// Crashed tells that an incarnation of an upstream died. Repeats are harmless.
type Crashed struct {
	upstream     string
	incarnation  uint64
	fingerprints []Fingerprint
}

// NewCrashed describes a crash and the requests in flight at it, as the agent
// reports them for all entries. If the agent died too, or only one request is
// known to have broken off, the entry passes what it knows. Requests sent to a
// later incarnation must not be among them.
func NewCrashed(upstream string, incarnation uint64, fingerprints []Fingerprint) Crashed {
	return Crashed{upstream, incarnation, fingerprints}
}

// VerdictsReceived brings the verdicts of another entry.
type VerdictsReceived struct{ verdicts []Verdict }

// NewVerdictsReceived describes received verdicts.
func NewVerdictsReceived(verdicts []Verdict) VerdictsReceived { return VerdictsReceived{verdicts} }

// HeartbeatReceived tells that a heartbeat of an agent or entry has arrived.
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

// Allow tells that the request may run on any upstream.
type Allow struct{}

// Isolate tells that the request is suspect and may run only on one upstream.
type Isolate struct{ upstream string }

// Upstream returns the only upstream allowed.
func (a Isolate) Upstream() string { return a.upstream }

// Refuse tells to refuse the request as not run.
type Refuse struct{ refusal *outcome.Refusal }

// Refusal returns the refusal for the caller.
func (r Refuse) Refusal() *outcome.Refusal { return r.refusal }

// Wait tells to ask again shortly: this entry has heard nothing for a while,
// for instance because it was paused, and may have missed a verdict.
type Wait struct{}

// Announce tells to send Tracker.Verdicts to the other entries at once, before
// the callers of the failed requests learn of the failure and send them again
// through another entry.
type Announce struct{}

// Cancel tells to cancel requests in flight, because their fingerprint was
// quarantined while they ran.
type Cancel struct{ requests []uint64 }

// Requests returns the numbers of the requests to cancel.
func (c Cancel) Requests() []uint64 { return c.requests }

func (Allow) action()    {}
func (Isolate) action()  {}
func (Refuse) action()   {}
func (Wait) action()     {}
func (Announce) action() {}
func (Cancel) action()   {}

// Verdict is what an entry knows about one fingerprint, as sent to others.
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

// Fingerprint returns the request that the verdict is about.
func (v Verdict) Fingerprint() Fingerprint { return v.fingerprint }

// Crashes returns the crashes during which the request was in flight.
func (v Verdict) Crashes() []Crash { return v.crashes }

// Cleared returns the crashes that a later completed run excuses.
func (v Verdict) Cleared() []Crash { return v.cleared }

// Quarantined tells whether the request may not run any more.
func (v Verdict) Quarantined() bool { return v.quarantined }

// Remaining returns the time until the verdict expires. A span is sent instead
// of an instant because the clocks of two entries differ.
func (v Verdict) Remaining() clock.Millis { return v.remaining }
