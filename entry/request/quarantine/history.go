package quarantine

import (
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/recent"
)

const (
	// historyAge is the time for which arrivals and successes are remembered at least.
	historyAge = clock.Minute
	// maxHistory bounds the fingerprints of half of the history.
	maxHistory = 8192
	// warmupTime is how long after the first success it is known which fingerprints are
	// sound, and coldTime how long after the first request if none succeeds. Before, even
	// the most frequent one may have no success yet.
	warmupTime = 10 * clock.Second
	coldTime   = 30 * clock.Second
)

// history holds what an entry has seen of fingerprints lately.
type history struct {
	activities recent.Map[Fingerprint, activity]
	// firstArrival and firstSuccess are 0 before the first one.
	firstArrival, firstSuccess clock.Millis
}

// activity counts the requests with a fingerprint.
type activity struct {
	arrivals  int
	succeeded bool
}

func (h *history) arrived(now clock.Millis, request Request) {
	h.update(now, &h.firstArrival, request, func(a *activity) { a.arrivals++ })
}

func (h *history) recordSuccess(now clock.Millis, request Request) {
	h.update(now, &h.firstSuccess, request, func(a *activity) { a.succeeded = true })
}

// update changes the activity of fingerprints, and sets first unless it is set.
func (h *history) update(now clock.Millis, first *clock.Millis, request Request, change func(*activity)) {
	h.expire(now)
	if *first == 0 {
		*first = now
	}
	for _, f := range request.fingerprints {
		h.activities.Update(now, f, change)
	}
}

// expire drops what is too old. A history that holds nothing any more begins anew.
func (h *history) expire(now clock.Millis) {
	h.activities.Age, h.activities.MaxEntries = historyAge, maxHistory
	if anew := h.activities.Expire(now); anew {
		h.firstArrival, h.firstSuccess = 0, 0
	}
}

// warmAt returns from when on it is known which fingerprints are sound. It is not known
// when that will be before the first request.
func (h *history) warmAt() (at clock.Millis, known bool) {
	at = h.firstArrival + coldTime
	if h.firstSuccess != 0 {
		at = min(at, h.firstSuccess+warmupTime)
	}
	return at, h.firstArrival != 0
}

// arrivals returns the number of recent requests with the fingerprint.
func (h *history) arrivals(f Fingerprint) int {
	newer, older, _ := h.activities.Values(f)
	return newer.arrivals + older.arrivals
}

// succeeded reports whether a recent request with the fingerprint has succeeded.
func (h *history) succeeded(f Fingerprint) bool {
	newer, older, _ := h.activities.Values(f)
	return newer.succeeded || older.succeeded
}
