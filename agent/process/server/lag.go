package server

import (
	"sync"

	"goldcrestshore/core/process/clock"
)

// propagationLimit is the time within which an accepted configuration must be in
// force in all processes.
const propagationLimit = 3 * clock.Second

// configLag tracks how long this process has had an older configuration than its
// peers. A short lag is usual after each change and must not cause retries.
type configLag struct {
	mu          sync.Mutex
	behindSince clock.Millis // 0 while not behind
}

// exceedsLimit reports whether the process has had an older version than a peer
// for longer than propagationLimit.
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
