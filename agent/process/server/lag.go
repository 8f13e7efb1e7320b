package server

import (
	"sync"

	"goldcrestshore/core/process/clock"
)

// propagationLimit is the time within which an accepted configuration is in force
// everywhere.
const propagationLimit = 3 * clock.Second

// configLag watches whether this process is behind the configuration of its peers. A
// short configLag is usual after each change and must not cost requests a retry.
type configLag struct {
	mu          sync.Mutex
	behindSince clock.Millis // 0 while not behind
}

// exceedsLimit tells whether the process has held an older version than a peer for
// longer than inForceLimit.
func (l *configLag) exceedsLimit(now clock.Millis, ownVersion, peerVersion uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ownVersion >= peerVersion {
		l.behindSince = 0
		return false
	}
	if l.behindSince == 0 {
		l.behindSince = now
	}
	return now-l.behindSince > propagationLimit
}
