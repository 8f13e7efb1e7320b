package watch

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/snapshot"
)

const (
	// maxStaleness is how long, in milliseconds, a view counts as current after its
	// calls began to fail or after the last contact with a mirror.
	maxStaleness = 1500
	// ageCheckInterval is the time between two checks of the ages of what is known.
	ageCheckInterval clock.Millis = 100
)

// Current reports whether every kind has been read and none has been failing for
// longer than maxStaleness, or another entry has reported the store's content within
// that time. A view that is not current may lack newer routes and keys.
func (w *Watcher) Current(now clock.Millis) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.kinds == nil {
		return false
	}
	if w.mirroredAt > 0 && now-w.mirroredAt <= maxStaleness {
		return true
	}
	for _, k := range w.kinds {
		if k.failingSince > 0 && now-k.failingSince > maxStaleness {
			return false
		}
	}
	return true
}

// StoreAvailable reports whether the store itself responds to the calls of every kind.
func (w *Watcher) StoreAvailable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.kinds {
		if k.failingSince > 0 {
			return false
		}
	}
	return w.kinds != nil
}

// RecordMirror records that another entry, to which the store responds, has just
// reported the store's content.
func (w *Watcher) RecordMirror() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mirroredAt = w.Clock.Now()
}

// recordSuccess records the position up to which a response has shown the changes of a kind. It
// confirms the kinds that are at that position already.
func (w *Watcher) recordSuccess(k *kind, at snapshot.Position, changed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k.failingSince > 0 {
		w.Log.Emit(event.StoreRecovered, event.Fields{"kind": k.source.Name()})
	}
	if k.listed {
		w.isComparable = w.isComparable || (!changed && k.at.Before(at))
		k.relists.reset()
	}
	k.failures.reset()
	k.failingSince, k.failed = 0, false
	k.at, k.listed = at, true
	now := w.Clock.Now()
	if w.latest.Before(at) {
		w.latest, w.movedAt = at, now
	}
	for _, other := range w.kinds {
		if other == k || (w.isComparable && other.listed && !other.at.Before(at)) {
			other.confirmedAt, other.overdue = now, false
		}
	}
}

func (w *Watcher) recordFailure(k *kind, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if k.failingSince == 0 {
		k.failingSince = w.Clock.Now()
		w.Log.Error(event.StoreUnavailable, err, event.Fields{"kind": k.source.Name()})
	}
}

// Ages returns by the name of each kind how long ago a response last showed that no change of it
// has been missed. It is empty before Run.
func (w *Watcher) Ages(now clock.Millis) map[string]clock.Millis {
	w.mu.Lock()
	defer w.mu.Unlock()
	ages := make(map[string]clock.Millis, len(w.kinds))
	for _, k := range w.kinds {
		ages[k.source.Name()] = now - k.confirmedAt
	}
	return ages
}

// checkAges logs each kind of which changes may have been missed for longer than its MaxDelay, once
// until the next response that shows otherwise.
func (w *Watcher) checkAges() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	for _, k := range w.kinds {
		age, limit := now-k.confirmedAt, k.source.MaxDelay()
		if age <= limit || k.overdue {
			continue
		}
		k.overdue = true
		w.Log.Emit(event.ViewOverdue, event.Fields{"kind": k.source.Name(), "ageMs": age, "maxDelayMs": limit})
	}
}
