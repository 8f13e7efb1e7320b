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
	// brokenLife is how long a broken answer can still be explained by a crash
	// that shows late; load reports lag by up to a second.
	brokenLife = 3 * clock.Second
	// maxBroken bounds the broken answers kept; an upstream holds a few hundred
	// requests at most.
	maxBroken = 1024
	// maxPast bounds the incarnations known to be dead. A lagging load report may
	// still name one of them.
	maxPast = 8
)

// flight is a request in the upstream.
type flight struct {
	print       fingerprint.Fingerprint
	incarnation uint64 // named by the answer's header; 0 before that
	lost        bool   // its crash is declared
}

// brokenAnswer is a request that ended without a crash known so far.
type brokenAnswer struct {
	print fingerprint.Fingerprint
	at    clock.Millis
}

// flights joins the suspect decision with the requests in the upstream and the
// incarnations seen. It is not safe for concurrent use.
type flights struct {
	gate    suspect.Gate
	held    map[string]*flight
	broken  []brokenAnswer
	known   uint64 // the present incarnation; 0 while unknown
	past    []uint64
	crashes uint64
	// base makes the numbers of crashes of an upstream without incarnations unique.
	base uint64
}

func newFlights(base uint64) *flights { return &flights{held: map[string]*flight{}, base: base} }

// ask returns the refusal of a request that was in flight at a recent crash.
func (f *flights) ask(now clock.Millis, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	if r, refused := f.gate.Handle(now, suspect.NewSubmitted(print, isSuspect)).(suspect.Refuse); refused {
		return r.Refusal()
	}
	return nil
}

// enter asks again for an admitted request and adds it.
func (f *flights) enter(now clock.Millis, id string, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	if r := f.ask(now, print, isSuspect); r != nil {
		return r
	}
	f.held[id] = &flight{print: print}
	return nil
}

func (f *flights) leave(now clock.Millis, id string) {
	x := f.held[id]
	if x == nil {
		return
	}
	delete(f.held, id)
	f.gate.Handle(now, suspect.NewEnded(x.print))
}

// lost reports whether the crash that ended a request is declared already.
func (f *flights) lost(id string) bool {
	x := f.held[id]
	return x == nil || x.lost
}

// breakOff notes an answer that ended without a crash known so far.
func (f *flights) breakOff(now clock.Millis, id string) {
	if x := f.held[id]; x != nil {
		f.broken = append(f.broken, brokenAnswer{x.print, now})
		f.broken = f.broken[max(0, len(f.broken)-maxBroken):]
	}
}

// brokeRecently reports whether a broken answer waits for an explanation.
func (f *flights) brokeRecently(now clock.Millis) bool {
	f.broken = slices.DeleteFunc(f.broken, func(b brokenAnswer) bool { return now-b.at > brokenLife })
	return len(f.broken) > 0
}

// answered notes the incarnation that answers a request.
func (f *flights) answered(now clock.Millis, id string, incarnation uint64) *frame.Crash {
	if x := f.held[id]; x != nil {
		x.incarnation = incarnation
	}
	return f.see(now, incarnation)
}

// see notes the incarnation of the upstream; a change of it is a crash. It
// returns nil if there is nothing to tell.
func (f *flights) see(now clock.Millis, incarnation uint64) *frame.Crash {
	if incarnation == 0 || incarnation == f.known || slices.Contains(f.past, incarnation) {
		return nil
	}
	var m *frame.Crash
	if f.known != 0 {
		m = f.crash(now, incarnation)
	}
	f.known = incarnation
	return m
}

// crash declares that the present incarnation died, with all requests in it but
// those that its successor answers. It returns nil if there were none.
func (f *flights) crash(now clock.Millis, successor uint64) *frame.Crash {
	f.crashes++
	dead := f.base + f.crashes
	if f.known != 0 {
		dead = f.known
		f.past = append(f.past, f.known)
		f.past = f.past[max(0, len(f.past)-maxPast):]
	}
	f.known = 0
	prints := f.takeLost(now, successor)
	if len(prints) == 0 {
		return nil
	}
	f.gate.Handle(now, suspect.NewCrashed(prints))
	numbers := make([]uint64, 0, len(prints))
	for _, p := range prints {
		numbers = append(numbers, uint64(p))
	}
	return frame.NewCrash(dead, numbers)
}

// takeLost returns the requests that a crash ends, each once and in order.
func (f *flights) takeLost(now clock.Millis, successor uint64) []fingerprint.Fingerprint {
	var prints []fingerprint.Fingerprint
	if f.brokeRecently(now) {
		for _, b := range f.broken {
			prints = append(prints, b.print)
		}
		f.broken = nil
	}
	for _, x := range f.held {
		if x.lost || successor != 0 && x.incarnation == successor {
			continue
		}
		x.lost = true
		prints = append(prints, x.print)
	}
	slices.Sort(prints)
	return slices.Compact(prints)
}
