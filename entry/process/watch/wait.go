package watch

import "goldcrestshore/core/process/clock"

const (
	// ResponseMargin is how long after the end of its wait a watch may still respond. A store
	// that is slow takes some hundred milliseconds.
	ResponseMargin clock.Millis = 500
	// repeatTime is the time for the call that follows a lost response, on a new connection, and
	// for what is still under way by the state before it.
	repeatTime clock.Millis = 350
	// minWait and maxWait bound the wait of a watch. Each watch is a call that has a price, and
	// the store keeps its history for a limited time.
	minWait clock.Millis = 20
	maxWait              = 20 * clock.Second
	// renewInterval is the time between two checks of which watches to renew.
	renewInterval clock.Millis = 100
)

// waitFor returns how long a watch waits for changes that must be applied within maxDelay, even if
// the response that has them is lost: in the worst case a change comes at the beginning of
// batchDelay, and the response to the watch that follows is lost.
func waitFor(maxDelay clock.Millis) clock.Millis {
	return min(max(maxDelay-batchDelay-ResponseMargin-repeatTime, minWait), maxWait)
}

// nextWait returns how long the next watch of a kind waits. While the store does not change, a kind
// may wait for long, since renewWatches ends the wait in time. Only the watch that states the
// position of the store for all kinds is always short.
func (w *Watcher) nextWait(k *kind) clock.Millis {
	maxDelay := k.source.MaxDelay()
	if w.shortestDelay() == k {
		return waitFor(maxDelay)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	isCalm := w.Clock.Now()-w.movedAt >= maxDelay
	if !w.isComparable || !isCalm || k.renewed || k.at.Before(w.latest) {
		return waitFor(maxDelay)
	}
	return maxWait
}

// shortestDelay returns the kind whose changes must be applied first.
func (w *Watcher) shortestDelay() *kind {
	out := w.kinds[0]
	for _, k := range w.kinds[1:] {
		if k.source.MaxDelay() < out.source.MaxDelay() {
			out = k
		}
	}
	return out
}

// renewWatches ends the wait of each kind of which changes may have been missed for about as long
// as its MaxDelay allows. The next watch returns them from the same position.
func (w *Watcher) renewWatches() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.Clock.Now()
	for _, k := range w.kinds {
		if k.waitsLong && now-k.confirmedAt >= k.source.MaxDelay()-repeatTime-renewInterval {
			k.waitsLong, k.renewed = false, true
			k.cancel()
		}
	}
}
