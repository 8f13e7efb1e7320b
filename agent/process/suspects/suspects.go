// Package suspects runs the agent's decision on requests that crash the
// upstream. It stands before admission and before the upstream, notices crashes
// and reports them, with the requests in flight, before any of these requests
// is reported to have failed.
package suspects

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/connection/entry"
	"goldcrestshore/agent/request/upstream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/request/outcome"
)

const (
	// probes is how often the upstream is probed after a broken answer: a dying
	// process may break answers off before it stops to accept connections.
	probes       = 2
	probePause   = 20 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
)

// incarnationHeader names the engine's process in an answer.
const incarnationHeader = "X-Incarnation"

// errNotEntered ends an admission that the suspect decision refused.
var errNotEntered = errors.New("admitted request did not enter the upstream")

// Watch stands before admission and the upstream. Exported fields are set
// before use.
type Watch struct {
	Clock *clock.Clock
	Log   *event.Log
	// Gate is admission.
	Gate     entry.Gate
	Upstream entry.Upstream
	// Load asks a model engine for its load report.
	Load func(context.Context) (upstream.Load, error)
	// Reports tells whether the upstream sends load reports.
	Reports func() bool
	// Refused reports whether the upstream refuses connections.
	Refused func(context.Context) bool
	// Report tells all entries of a crash.
	Report func(*frame.Crash)
	// Incarnation is that of the agent.
	Incarnation uint64

	start   sync.Once
	probing chan struct{} // holds one token while a crash is looked for and reported
	mu      sync.Mutex
	flights *flights
}

func (w *Watch) prepare() {
	w.start.Do(func() {
		w.flights = newFlights(w.Incarnation)
		w.probing = make(chan struct{}, 1)
	})
}

// Submit implements entry.Gate. It asks the suspect decision before admission
// and again after it, since a request may have waited during a crash.
func (w *Watch) Submit(id frame.ID, m *frame.Submit, decide func(*outcome.Refusal)) {
	w.prepare()
	print := fingerprint.Of(m.Customer(), m.Call().Body())
	if r := w.ask(print); r != nil {
		decide(r)
		return
	}
	w.Gate.Submit(id, m, func(r *outcome.Refusal) {
		if r != nil {
			decide(r)
			return
		}
		r = w.enter(upstream.RequestID(id), print, m.RequestOptions().Suspect())
		if r != nil {
			w.Gate.Done(id, errNotEntered)
		}
		decide(r)
	})
}

func (w *Watch) ask(print fingerprint.Fingerprint) *outcome.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flights.ask(w.Clock.Now(), print, false)
}

func (w *Watch) enter(id string, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flights.enter(w.Clock.Now(), id, print, isSuspect)
}

// FirstByte implements entry.Gate.
func (w *Watch) FirstByte(id frame.ID) { w.Gate.FirstByte(id) }

// Done implements entry.Gate.
func (w *Watch) Done(id frame.ID, err error) {
	w.mu.Lock()
	w.flights.leave(w.Clock.Now(), upstream.RequestID(id))
	w.mu.Unlock()
	w.Gate.Done(id, err)
}

// Withdraw implements entry.Gate.
func (w *Watch) Withdraw(id frame.ID) { w.Gate.Withdraw(id) }

// Run implements entry.Upstream. After a broken answer it returns when a crash
// that explains it has been reported, or when none was found.
func (w *Watch) Run(ctx context.Context, id string, m *frame.Submit, answer upstream.ResponseWriter) error {
	err := w.Upstream.Run(ctx, id, m, &headSeen{ResponseWriter: answer, seen: func(incarnation uint64) { w.answered(id, incarnation) }})
	if errors.Is(err, upstream.ErrInterrupted) && ctx.Err() == nil {
		w.brokeOff(ctx, id)
	}
	return err
}

// Observe asks for the load report on behalf of admission and notices a change
// of the incarnation. The reports lag, so it also looks for the crash behind an
// answer that broke off shortly before.
func (w *Watch) Observe(ctx context.Context) (upstream.Load, error) {
	w.prepare()
	l, err := w.Load(ctx)
	if err == nil {
		w.exclusive(ctx, func() *frame.Crash { return w.flights.see(w.Clock.Now(), l.Incarnation()) })
		return l, nil
	}
	if errors.Is(err, upstream.ErrNotStarted) && w.unexplained() && w.Refused(ctx) {
		w.exclusive(ctx, func() *frame.Crash {
			if !w.flights.brokeRecently(w.Clock.Now()) {
				return nil
			}
			return w.flights.crash(w.Clock.Now(), 0)
		})
	}
	return l, err
}

func (w *Watch) unexplained() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flights.brokeRecently(w.Clock.Now())
}

func (w *Watch) answered(id string, incarnation uint64) {
	w.exclusive(context.Background(), func() *frame.Crash {
		return w.flights.answered(w.Clock.Now(), id, incarnation)
	})
}

// exclusive runs a decision and reports its crash. Nobody else looks for a crash
// meanwhile, so no failed answer overtakes the report.
func (w *Watch) exclusive(ctx context.Context, decide func() *frame.Crash) {
	select {
	case w.probing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.probing }()
	w.report(w.locked(decide))
}

func (w *Watch) locked(decide func() *frame.Crash) *frame.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return decide()
}

func (w *Watch) report(m *frame.Crash) {
	if m == nil {
		return
	}
	w.Log.Emit(event.UpstreamCrashed, event.Fields{"incarnation": m.Incarnation(), "inFlight": len(m.Fingerprints())})
	w.Report(m)
}

// brokeOff looks for the crash that broke an answer off.
func (w *Watch) brokeOff(ctx context.Context, id string) {
	select {
	case w.probing <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.probing }()
	for n := range probes {
		if n > 0 {
			time.Sleep(probePause)
		}
		found, m := w.probe(ctx, id)
		if found {
			w.report(m)
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.flights.breakOff(w.Clock.Now(), id)
}

// probe reports whether a crash explains the broken answer of a request, and
// returns the report of it.
func (w *Watch) probe(ctx context.Context, id string) (found bool, m *frame.Crash) {
	if w.lost(id) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.Refused(ctx) {
		return true, w.locked(func() *frame.Crash { return w.flights.crash(w.Clock.Now(), 0) })
	}
	if !w.Reports() {
		return false, nil
	}
	l, err := w.Load(ctx)
	if err != nil {
		return false, nil
	}
	m = w.locked(func() *frame.Crash { return w.flights.see(w.Clock.Now(), l.Incarnation()) })
	return m != nil, m
}

func (w *Watch) lost(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.flights.lost(id)
}

// RefusedAt returns a function that reports whether nothing listens at address.
func RefusedAt(address string) func(context.Context) bool {
	return func(ctx context.Context) bool {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		_ = c.Close()
		return false
	}
}

// headSeen reports the incarnation in the header of an answer.
type headSeen struct {
	upstream.ResponseWriter
	seen func(incarnation uint64)
}

// Head reports the incarnation and passes h on.
func (a *headSeen) Head(h *frame.ResponseHead) {
	for _, f := range h.Header() {
		if f.Name() != incarnationHeader {
			continue
		}
		if n, err := strconv.ParseUint(f.Value(), 10, 64); err == nil {
			a.seen(n)
		}
	}
	a.ResponseWriter.Head(h)
}
