package watch

import "goldcrestshore/core/process/clock"

const (
	// ResponseMargin is how long after the end of its wait a watch may still respond. A store
	// that is slow takes some hundred milliseconds.
	ResponseMargin clock.Millis = 500
	// repeatTime is the time for the list that follows a lost response, on a new connection, and
	// for what is still under way by the state before it.
	repeatTime clock.Millis = 350
	// minWait and maxWait bound the wait of a watch. Each watch is a call that has a price, and
	// the store keeps its history for a limited time.
	minWait clock.Millis = 20
	maxWait              = 20 * clock.Second
)

// waitFor returns how long a watch waits for changes that must be applied within maxDelay, even if
// the response that has them is lost: in the worst case a change comes at the beginning of
// batchDelay, and the response to the watch that follows is lost.
func waitFor(maxDelay clock.Millis) clock.Millis {
	return min(max(maxDelay-batchDelay-ResponseMargin-repeatTime, minWait), maxWait)
}
