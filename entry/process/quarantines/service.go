// Package quarantines applies the quarantine of package quarantine at an entry and shares
// its state with the other entries through an object of the platform's store.
package quarantines

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
	"goldcrestshore/entry/request/quarantine"
)

// Errors, for use with errors.Is.
var (
	// ErrQuarantined is the cause of the end of a context of Track.
	ErrQuarantined = errors.New("request is quarantined")
	// ErrConflict means that another entry has changed the stored state.
	ErrConflict = errors.New("state of the quarantine has another revision")
)

// Store holds the shared state in one object.
type Store interface {
	// Load returns the content and the position of the object, whose revision is 0 if there
	// is none.
	Load(ctx context.Context) (raw []byte, at snapshot.Position, err error)
	// Save replaces the object that has the position, or creates it at revision 0. It fails
	// with ErrConflict if the object has another one.
	Save(ctx context.Context, raw []byte, at snapshot.Position) error
}

// Service holds the quarantine of an entry. Exported fields must be set before use. It is
// safe for concurrent use.
type Service struct {
	Clock *clock.Clock
	Log   *event.Log
	Store Store

	mu      sync.Mutex
	tracker quarantine.Tracker
	running map[*runningRequest]bool
	// unshared is set while the store lacks what this entry knows of crashes that it has
	// seen itself; reporting is set from such a crash until its cause is decided.
	unshared, reporting bool
	// wakeUp has an element when Run has something to share or to decide.
	wakeUp chan struct{}
}

// runningRequest is a request whose context ends when it is quarantined.
type runningRequest struct {
	request quarantine.Request
	cancel  context.CancelCauseFunc
}

// Arrived counts a request and reports whether it is refused, and for how long.
func (s *Service) Arrived(request quarantine.Request) (remaining clock.Millis, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining, blocked = s.tracker.Arrived(s.Clock.Now(), request)
	s.applyAdded()
	return remaining, blocked
}

// Remaining returns how long requests like this one are still refused, or 0.
func (s *Service) Remaining(request quarantine.Request) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining, _ := s.tracker.Blocked(s.Clock.Now(), request)
	s.applyAdded()
	return remaining
}

// Active returns the number of fingerprints in quarantine.
func (s *Service) Active() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Active(s.Clock.Now())
}

// Track returns a context that ends with the cause ErrQuarantined when the request is
// quarantined. The caller must call stop once the request has ended.
func (s *Service) Track(ctx context.Context, request quarantine.Request) (tracked context.Context, stop func()) {
	tracked, cancel := context.WithCancelCause(ctx)
	r := &runningRequest{request, cancel}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running == nil {
		s.running = make(map[*runningRequest]bool)
	}
	s.running[r] = true
	if _, blocked := s.tracker.Blocked(s.Clock.Now(), request); blocked {
		cancel(ErrQuarantined) // since Arrived
	}
	s.applyAdded()
	return tracked, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, r)
		cancel(nil)
	}
}

// Succeeded records that an upstream has responded to a request without crashing.
func (s *Service) Succeeded(request quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Succeeded(s.Clock.Now(), request)
}

// Crashed records that an incarnation of an upstream has crashed while it was running a
// request.
func (s *Service) Crashed(upstream string, startTime int64, request quarantine.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	if !s.tracker.Crashed(now, upstream, startTime, request) {
		return
	}
	s.unshared, s.reporting = true, true
	s.applyDecisions()
	s.wake()
	if at := s.tracker.DecideAt(); at != 0 {
		s.Log.Emit(event.CrashUndecided, event.Fields{"upstream": upstream, "crashes": s.tracker.Crashes(), "decideInMs": at - now})
	}
}

// Received merges the stored state, which another entry may have changed. Content that is
// malformed is logged and skipped.
func (s *Service) Received(raw []byte) {
	state, err := quarantine.Decode(raw)
	if err != nil {
		s.Log.Error(event.ObjectSkipped, err, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Merge(s.Clock.Now(), state)
	s.applyDecisions()
	if s.tracker.DecideAt() != 0 {
		s.wake()
	}
}

// ShareAgain shares the state once more, for use after the store was restored from a backup: it
// may have lost what entries have written to it, and nobody else writes it again.
func (s *Service) ShareAgain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tracker.Empty() {
		return
	}
	s.unshared = true
	s.wake()
}

// applyAdded applies a decision that the tracker has taken for a request because it was due
// before Run could take it. It must be called with mu held.
func (s *Service) applyAdded() {
	if s.tracker.HasAdded() {
		s.applyDecisions()
	}
}

// applyDecisions logs new quarantines and ends the contexts of the requests that are in
// quarantine now. Of the entries that know of the crashes only those that have seen one
// share the decision. It must be called with mu held.
func (s *Service) applyDecisions() {
	now := s.Clock.Now()
	for r := range s.running {
		if _, blocked := s.tracker.Blocked(now, r.request); blocked {
			r.cancel(ErrQuarantined)
		}
	}
	if added := s.tracker.TakeAdded(); len(added) > 0 {
		s.Log.Emit(event.RequestQuarantined, event.Fields{"fingerprints": added})
		if s.reporting {
			s.unshared = true
			s.wake()
		}
	}
}

// wake makes Run share the state or wait for the next decision. It must be called with mu
// held.
func (s *Service) wake() {
	select {
	case s.wakeSignal() <- struct{}{}:
	default: // Run has not taken the last signal yet
	}
}

// wakeSignal returns the channel that wakes Run. It must be called with mu held.
func (s *Service) wakeSignal() chan struct{} {
	if s.wakeUp == nil {
		s.wakeUp = make(chan struct{}, 1)
	}
	return s.wakeUp
}
