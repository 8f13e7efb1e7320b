// Package suspects applies the agent's decision on requests that crash the
// upstream. It wraps admission and the upstream, detects crashes and reports
// them, with the requests in flight, before any of these requests is reported
// as failed.
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
	// probeAttempts is how often the upstream is probed after an interrupted
	// response: a crashing process may close connections before its listener.
	probeAttempts = 2
	probeInterval = 20 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
)

// incarnationHeader carries the incarnation of the engine in a response.
const incarnationHeader = "X-Incarnation"

// errSuspectRefused ends the admission of a request that the suspect decision
// refused afterwards.
var errSuspectRefused = errors.New("admitted request refused as a crash suspect")

// Watcher wraps admission and the upstream. Exported fields are set before use.
type Watcher struct {
	Clock *clock.Clock
	Log   *event.Log
	// Gate is the admission gate.
	Gate     entry.Gate
	Upstream entry.Upstream
	// Load requests the load report of a model engine.
	Load func(context.Context) (upstream.Load, error)
	// SendsReports reports whether the upstream sends load reports.
	SendsReports func() bool
	// RefusesConnections reports whether the upstream refuses connections.
	RefusesConnections func(context.Context) bool
	// NotifyCrash reports a crash to all entries.
	NotifyCrash func(*frame.Crash)
	// Incarnation is the incarnation of the agent.
	Incarnation uint64

	once     sync.Once
	probeSem chan struct{} // semaphore, held while a crash is detected and reported
	mu       sync.Mutex
	tracker  *tracker
}

func (w *Watcher) initialize() {
	w.once.Do(func() {
		w.tracker = newTracker(w.Incarnation)
		w.probeSem = make(chan struct{}, 1)
	})
}

// Submit implements entry.Gate. It checks the request before admission and again
// after it, since the upstream may have crashed while the request waited.
func (w *Watcher) Submit(id frame.ID, m *frame.Submit, onDecision func(*outcome.Refusal)) {
	w.initialize()
	print := fingerprint.Of(m.Customer(), m.Call().Body())
	if r := w.checkSuspect(print); r != nil {
		onDecision(r)
		return
	}
	w.Gate.Submit(id, m, func(r *outcome.Refusal) {
		if r != nil {
			onDecision(r)
			return
		}
		r = w.add(upstream.RequestID(id), print, m.RequestOptions().Suspect())
		if r != nil {
			w.Gate.Done(id, errSuspectRefused)
		}
		onDecision(r)
	})
}

func (w *Watcher) checkSuspect(print fingerprint.Fingerprint) *outcome.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.checkSuspect(w.Clock.Now(), print, false)
}

func (w *Watcher) add(id string, print fingerprint.Fingerprint, isSuspect bool) *outcome.Refusal {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.add(w.Clock.Now(), id, print, isSuspect)
}

// FirstByte implements entry.Gate.
func (w *Watcher) FirstByte(id frame.ID) { w.Gate.FirstByte(id) }

// Done implements entry.Gate.
func (w *Watcher) Done(id frame.ID, err error) {
	w.mu.Lock()
	w.tracker.remove(w.Clock.Now(), upstream.RequestID(id))
	w.mu.Unlock()
	w.Gate.Done(id, err)
}

// Withdraw implements entry.Gate.
func (w *Watcher) Withdraw(id frame.ID) { w.Gate.Withdraw(id) }

// Run implements entry.Upstream. After an interrupted response it returns once
// the crash that caused it has been reported, or once no crash was detected.
func (w *Watcher) Run(ctx context.Context, id string, m *frame.Submit, response upstream.ResponseWriter) error {
	err := w.Upstream.Run(ctx, id, m, &headObserver{ResponseWriter: response, onIncarnation: func(incarnation uint64) { w.recordResponder(id, incarnation) }})
	if errors.Is(err, upstream.ErrInterrupted) && ctx.Err() == nil {
		w.findCrash(ctx, id)
	}
	return err
}

// FetchLoad requests the load report for admission and detects a change of the
// incarnation. Since reports lag, it also checks for a crash that interrupted a
// recent response.
func (w *Watcher) FetchLoad(ctx context.Context) (upstream.Load, error) {
	w.initialize()
	l, err := w.Load(ctx)
	if err == nil {
		w.withProbeLock(ctx, func() *frame.Crash { return w.tracker.observeIncarnation(w.Clock.Now(), l.Incarnation()) })
		return l, nil
	}
	if errors.Is(err, upstream.ErrNotStarted) && w.hasUnexplained() && w.RefusesConnections(ctx) {
		w.withProbeLock(ctx, func() *frame.Crash {
			if !w.tracker.hasInterrupted(w.Clock.Now()) {
				return nil
			}
			return w.tracker.declareCrash(w.Clock.Now(), 0)
		})
	}
	return l, err
}

func (w *Watcher) hasUnexplained() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.hasInterrupted(w.Clock.Now())
}

func (w *Watcher) recordResponder(id string, incarnation uint64) {
	w.withProbeLock(context.Background(), func() *frame.Crash {
		return w.tracker.recordResponder(w.Clock.Now(), id, incarnation)
	})
}

// withProbeLock runs detect and reports the crash that it returns. No other crash
// detection runs meanwhile, so no failed response overtakes the report.
func (w *Watcher) withProbeLock(ctx context.Context, detect func() *frame.Crash) {
	select {
	case w.probeSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.probeSem }()
	w.reportCrash(w.withLock(detect))
}

func (w *Watcher) withLock(detect func() *frame.Crash) *frame.Crash {
	w.mu.Lock()
	defer w.mu.Unlock()
	return detect()
}

func (w *Watcher) reportCrash(m *frame.Crash) {
	if m == nil {
		return
	}
	w.Log.Emit(event.UpstreamCrashed, event.Fields{"incarnation": m.Incarnation(), "inFlight": len(m.Fingerprints())})
	w.NotifyCrash(m)
}

// findCrash probes the upstream for the crash that interrupted a response and
// reports it.
func (w *Watcher) findCrash(ctx context.Context, id string) {
	select {
	case w.probeSem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-w.probeSem }()
	for n := range probeAttempts {
		if n > 0 {
			time.Sleep(probeInterval)
		}
		found, m := w.probe(ctx, id)
		if found {
			w.reportCrash(m)
			return
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.tracker.recordInterrupted(w.Clock.Now(), id)
}

// probe reports whether a crash interrupted the response to a request, and
// returns the crash unless it has been reported already.
func (w *Watcher) probe(ctx context.Context, id string) (found bool, m *frame.Crash) {
	if w.crashDeclared(id) {
		return true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if w.RefusesConnections(ctx) {
		return true, w.withLock(func() *frame.Crash { return w.tracker.declareCrash(w.Clock.Now(), 0) })
	}
	if !w.SendsReports() {
		return false, nil
	}
	l, err := w.Load(ctx)
	if err != nil {
		return false, nil
	}
	m = w.withLock(func() *frame.Crash { return w.tracker.observeIncarnation(w.Clock.Now(), l.Incarnation()) })
	return m != nil, m
}

func (w *Watcher) crashDeclared(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.tracker.crashDeclared(id)
}

// ConnectionsRefusedBy returns a function that reports whether address refuses
// TCP connections.
func ConnectionsRefusedBy(address string) func(context.Context) bool {
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

// headObserver calls onIncarnation with the incarnation in a response header.
type headObserver struct {
	upstream.ResponseWriter
	onIncarnation func(incarnation uint64)
}

// Head calls onIncarnation and forwards h.
func (a *headObserver) Head(h *frame.ResponseHead) {
	for _, f := range h.Header() {
		if f.Name() != incarnationHeader {
			continue
		}
		if n, err := strconv.ParseUint(f.Value(), 10, 64); err == nil {
			a.onIncarnation(n)
		}
	}
	a.ResponseWriter.Head(h)
}
