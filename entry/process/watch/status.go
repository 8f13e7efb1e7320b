package watch

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

const (
	// maxStaleness is how long, in milliseconds, a view counts as current after its
	// calls began to fail or after the last contact with a mirror.
	maxStaleness = 1500
	// ageCheckInterval is the time between two checks of the ages of the last responses.
	ageCheckInterval clock.Millis = 100
)

// Current reports whether every kind has been read and none has been failing for
// longer than maxStaleness, or another entry has reported the store's content within
// that time. A view that is not current may lack newer routes and keys.
func (w *Watcher) Current(now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince == nil {
		return false
	}
	if w.mirroredAt > 0 && now-w.mirroredAt <= maxStaleness {
		return true
	}
	for _, since := range w.failingSince {
		if since > 0 && now-since > maxStaleness {
			return false
		}
	}
	return true
}

// StoreAvailable reports whether the store itself responds to the calls of every kind.
func (w *Watcher) StoreAvailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, since := range w.failingSince {
		if since > 0 {
			return false
		}
	}
	return w.failingSince != nil
}

// RecordMirror records that another entry, to which the store responds, has just
// reported the store's content.
func (w *Watcher) RecordMirror() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mirroredAt = w.Clock.Now()
}

func (w *Watcher) recordSuccess(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if since := w.failingSince[i]; since > 0 {
		w.Log.Emit(event.StoreRecovered, event.Fields{"kind": w.Sources[i].Name()})
	}
	w.failingSince[i] = 0
	w.respondedAt[i], w.overdue[i] = w.Clock.Now(), false
}

func (w *Watcher) recordFailure(i int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.failingSince[i] == 0 {
		w.failingSince[i] = w.Clock.Now()
		w.Log.Error(event.StoreUnavailable, err, event.Fields{"kind": w.Sources[i].Name()})
	}
}

// Ages returns by the name of each kind how long ago its last response arrived: changes since
// then are unknown. It returns nil before Run.
func (w *Watcher) Ages(now clock.Millis) map[string]clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.respondedAt == nil {
		return nil
	}
	ages := make(map[string]clock.Millis, len(w.Sources))
	for i, source := range w.Sources {
		ages[source.Name()] = now - w.respondedAt[i]
	}
	return ages
}

// checkAges logs each kind whose last response is longer ago than its MaxDelay, once until the
// next response.
func (w *Watcher) checkAges() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	for i, source := range w.Sources {
		age := now - w.respondedAt[i]
		if age <= source.MaxDelay() || w.overdue[i] {
			continue
		}
		w.overdue[i] = true
		w.Log.Emit(event.ViewOverdue, event.Fields{"kind": source.Name(), "ageMs": age, "maxDelayMs": source.MaxDelay()})
	}
}
