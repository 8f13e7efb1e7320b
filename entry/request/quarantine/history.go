package quarantine

import "goldcrestshore/core/process/clock"

const (
	// historyAge is the time for which arrivals and successes are remembered at least;
	// they are forgotten after twice that time.
	historyAge = clock.Minute
	// maxHistory bounds the fingerprints of half of the history.
	maxHistory = 8192
)

// history holds what an entry has seen of fingerprints lately. It has two halves and drops
// the older one when the newer is full or old enough.
type history struct {
	newer, older map[Fingerprint]activity
	startedAt    clock.Millis
}

// activity counts the requests with a fingerprint.
type activity struct {
	arrivals  int
	succeeded bool
}

// update changes the activity of a fingerprint.
func (h *history) update(now clock.Millis, f Fingerprint, change func(*activity)) {
	h.expire(now)
	a := h.newer[f]
	change(&a)
	h.newer[f] = a
}

func (h *history) expire(now clock.Millis) {
	switch {
	case h.newer == nil || now-h.startedAt >= 2*historyAge:
		h.newer, h.older = make(map[Fingerprint]activity), nil
	case now-h.startedAt >= historyAge || len(h.newer) >= maxHistory:
		h.newer, h.older = make(map[Fingerprint]activity), h.newer
	default:
		return
	}
	h.startedAt = now
}

// arrivals returns the number of recent requests with the fingerprint.
func (h *history) arrivals(f Fingerprint) int { return h.newer[f].arrivals + h.older[f].arrivals }

// succeeded reports whether a recent request with the fingerprint has succeeded.
func (h *history) succeeded(f Fingerprint) bool {
	return h.newer[f].succeeded || h.older[f].succeeded
}
