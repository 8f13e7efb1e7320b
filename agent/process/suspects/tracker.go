package suspects

import (
	"slices"

	"goldcrestshore/agent/request/suspect"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

const (
	// interruptedTTL is how long an interrupted response is attributed to a crash
	// that is detected later. Load reports lag by up to a second.
	interruptedTTL = 3 * clock.Second
	// maxInterrupted limits the interrupted requests retained. An upstream has at
	// most a few hundred requests in flight.
	maxInterrupted = 1024
	// maxDeadIncarnations limits the dead incarnations retained. A lagging load
	// report may still name one of them.
	maxDeadIncarnations = 8
)

// inFlightRequest is a request in the upstream.
type inFlightRequest struct {
	print         fingerprint.Fingerprint
	incarnation   uint64 // from the response header; 0 before it arrives
	crashDeclared bool   // a declared crash includes the request
}

// interruptedRequest is a request whose response was interrupted without a crash
// detected so far.
type interruptedRequest struct {
	print         fingerprint.Fingerprint
	interruptedAt clock.Millis
}

// tracker connects the suspect decision with the requests in the upstream and the
// incarnations observed. It is not safe for concurrent use.
type tracker struct {
	gate               suspect.Gate
	inFlight           map[string]*inFlightRequest
	interrupted        []interruptedRequest
	currentIncarnation uint64 // 0 while unknown
	dead               []uint64
	crashCount         uint64
	// crashIDBase makes the crash IDs of an upstream without incarnations unique.
	crashIDBase uint64
}

func newTracker(crashIDBase uint64) *tracker {
	return &tracker{inFlight: map[string]*inFlightRequest{}, crashIDBase: crashIDBase}
}

// checkSuspect returns the refusal of a request that was in flight at a recent
// crash, nil for others.
func (t *tracker) checkSuspect(now clock.Millis, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	if r, refused := t.gate.Handle(now, suspect.NewSubmitted(print, isSuspect)).(suspect.Refuse); refused {
		return r.Refusal()
	}
	return nil
}

// add checks an admitted request again and, unless it is refused, adds it.
func (t *tracker) add(now clock.Millis, id string, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	if r := t.checkSuspect(now, print, isSuspect); r != nil {
		return r
	}
	t.inFlight[id] = &inFlightRequest{print: print}
	return nil
}

func (t *tracker) remove(now clock.Millis, id string) {
	req := t.inFlight[id]
	if req == nil {
		return
	}
	delete(t.inFlight, id)
	t.gate.Handle(now, suspect.NewEnded(req.print))
}

// crashDeclared reports whether the crash that interrupted a request has been
// declared.
func (t *tracker) crashDeclared(id string) bool {
	req := t.inFlight[id]
	return req == nil || req.crashDeclared
}

// recordInterrupted records a request whose response was interrupted without a
// crash detected so far.
func (t *tracker) recordInterrupted(now clock.Millis, id string) {
	if req := t.inFlight[id]; req != nil {
		t.interrupted = append(t.interrupted, interruptedRequest{req.print, now})
		t.interrupted = t.interrupted[max(0, len(t.interrupted)-maxInterrupted):]
	}
}

// hasInterrupted reports whether a recently interrupted response has not been
// attributed to a crash.
func (t *tracker) hasInterrupted(now clock.Millis) bool {
	t.interrupted = slices.DeleteFunc(t.interrupted, func(req interruptedRequest) bool { return now-req.interruptedAt > interruptedTTL })
	return len(t.interrupted) > 0
}

// recordResponder records the incarnation that responds to a request. It returns
// the crash that this reveals, nil for none.
func (t *tracker) recordResponder(now clock.Millis, id string, incarnation uint64) *frame.Crash {
	if req := t.inFlight[id]; req != nil {
		req.incarnation = incarnation
	}
	return t.observeIncarnation(now, incarnation)
}

// observeIncarnation records the incarnation of the upstream. A change of it is a
// crash; it returns nil if there is none to report.
func (t *tracker) observeIncarnation(now clock.Millis, incarnation uint64) *frame.Crash {
	if incarnation == 0 || incarnation == t.currentIncarnation || slices.Contains(t.dead, incarnation) {
		return nil
	}
	var m *frame.Crash
	if t.currentIncarnation != 0 {
		m = t.declareCrash(now, incarnation)
	}
	t.currentIncarnation = incarnation
	return m
}

// declareCrash records the crash of the current incarnation with all requests in
// flight, except those that its successor responds to. It returns nil if there
// were none.
func (t *tracker) declareCrash(now clock.Millis, successor uint64) *frame.Crash {
	t.crashCount++
	incarnation := t.crashIDBase + t.crashCount
	if t.currentIncarnation != 0 {
		incarnation = t.currentIncarnation
		t.dead = append(t.dead, t.currentIncarnation)
		t.dead = t.dead[max(0, len(t.dead)-maxDeadIncarnations):]
	}
	t.currentIncarnation = 0
	fingerprints := t.takeCrashed(now, successor)
	if len(fingerprints) == 0 {
		return nil
	}
	t.gate.Handle(now, suspect.NewCrashed(fingerprints))
	values := make([]uint64, 0, len(fingerprints))
	for _, p := range fingerprints {
		values = append(values, uint64(p))
	}
	return frame.NewCrash(incarnation, values)
}

// takeCrashed marks the requests that a crash interrupted and returns their
// fingerprints, sorted and without duplicates.
func (t *tracker) takeCrashed(now clock.Millis, successor uint64) []fingerprint.Fingerprint {
	var fingerprints []fingerprint.Fingerprint
	if t.hasInterrupted(now) {
		for _, ended := range t.interrupted {
			fingerprints = append(fingerprints, ended.print)
		}
		t.interrupted = nil
	}
	for _, req := range t.inFlight {
		if req.crashDeclared || successor != 0 && req.incarnation == successor {
			continue
		}
		req.crashDeclared = true
		fingerprints = append(fingerprints, req.print)
	}
	slices.Sort(fingerprints)
	return slices.Compact(fingerprints)
}
