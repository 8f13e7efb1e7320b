package quarantines

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/entry/request/quarantine"
)

const (
	// minBackoff and maxBackoff bound the delay after a failed call to the store.
	minBackoff clock.Millis = 250
	maxBackoff              = 4 * clock.Second
	// minDecisionDelay keeps a decision that is not taken from being tried without pause.
	minDecisionDelay clock.Millis = 10
	// maxConflictDelay spreads the entries that report the same crash.
	maxConflictDelay clock.Millis = 20
)

// Run shares the state with the other entries, and decides what is due, until ctx is done.
func (s *Service) Run(ctx context.Context) {
	s.mu.Lock()
	wakeUp := s.wakeSignal()
	s.mu.Unlock()
	for {
		due, stop := s.decisionTimer()
		select {
		case <-ctx.Done():
			stop()
			return
		case <-wakeUp:
		case <-due:
			s.decide()
		}
		stop()
		if s.takeUnshared() {
			s.share(ctx)
		}
	}
}

// takeUnshared reports whether there is something to share, and marks it as shared.
func (s *Service) takeUnshared() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	unshared := s.unshared
	s.unshared = false
	return unshared
}

// decisionTimer returns a channel that receives when a decision is due. The caller must
// call stop.
func (s *Service) decisionTimer() (due <-chan time.Time, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := s.tracker.DecideAt()
	if at == 0 {
		return nil, func() {}
	}
	timer := time.NewTimer(max(at-s.Clock.Now(), minDecisionDelay).Duration())
	return timer.C, func() { timer.Stop() }
}

// decide takes the decision that is due.
func (s *Service) decide() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Decide(s.Clock.Now())
	s.applyDecisions()
	s.reporting = s.reporting && s.tracker.DecideAt() != 0
}

// share merges the state into the stored one, until that succeeds or ctx is done.
func (s *Service) share(ctx context.Context) {
	backoff := minBackoff
	for {
		err := s.shareOnce(ctx)
		delay := rand.N(maxConflictDelay)
		switch {
		case err == nil || ctx.Err() != nil:
			return
		case !errors.Is(err, ErrConflict):
			s.Log.Error(event.PlatformFailed, err, nil)
			delay = backoff
			backoff = min(2*backoff, maxBackoff)
		}
		if !clock.Sleep(ctx, delay) {
			return
		}
	}
}

func (s *Service) shareOnce(ctx context.Context) error {
	raw, at, err := s.Store.Load(ctx)
	if err != nil {
		return err
	}
	var stored quarantine.State
	if at.Revision != 0 {
		if stored, err = quarantine.Decode(raw); err != nil {
			s.Log.Error(event.ObjectSkipped, err, nil) // the object is replaced
		}
	}
	before, err := stored.Encode()
	if err != nil {
		return err
	}
	after, err := s.merged(stored).Encode()
	if err != nil || bytes.Equal(before, after) {
		return err
	}
	return s.Store.Save(ctx, after, at)
}

// merged merges a stored state and returns the state of the entry.
func (s *Service) merged(stored quarantine.State) quarantine.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	s.tracker.Merge(now, stored)
	s.applyDecisions()
	return s.tracker.State(now)
}
