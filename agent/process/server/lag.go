package server

import (
	"sync"

	"goldcrestshore/core/process/clock"
)

// inForceLimit is the time within which an accepted configuration is in force
// everywhere.
const inForceLimit = 3 * clock.Second

// lag watches whether this process is behind the configuration of its peers. A
// short lag is usual after each change and must not cost requests a retry.
type lag struct {
	mu    sync.Mutex
	since clock.Millis // 0 while not behind
}

// tooLong tells whether the process has held an older version than a peer for
// longer than inForceLimit.
func (l *lag) tooLong(now clock.Millis, own, peers uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if own >= peers {
		l.since = 0
		return false
	}
	if l.since == 0 {
		l.since = now
	}
	return now-l.since > inForceLimit
}
