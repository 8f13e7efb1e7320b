// Package entry serves the entries' connections: it takes submitted requests,
// sends answers, and resumes them on new connections.
package entry

import (
	"context"
	"sync"

	"goldcrestshore/agent/request/stream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// detachedTTL is how long an answer is kept for an entry that has lost its
	// connection; a new connection takes at most the silence bound and a dial.
	detachedTTL = 10 * clock.Second
	// tombstoneTTL is how long a removed id is remembered by itself; afterwards
	// its entry's horizon covers it.
	tombstoneTTL = 60 * clock.Second
)

// request is one submitted request.
type request struct {
	submit     *frame.Submit
	response   *stream.Stream
	cancel     context.CancelFunc
	admitted   bool
	detachedAt clock.Millis // 0 while a connection is attached
}

// tombstone remembers an id that is not held any more, or never was.
type tombstone struct {
	expires clock.Millis
	ran     bool
}

// table holds the requests of this agent by id.
type table struct {
	mu         sync.Mutex
	requests   map[frame.ID]*request
	tombstones map[frame.ID]tombstone
	// maxEvicted is, for each incarnation of an entry, the highest sequence among
	// the admitted requests that are no longer in removed. An unknown id at or
	// below it may have run, however long the entry was paused.
	maxEvicted map[uint64]uint64
}

func newTable() *table {
	return &table{requests: map[frame.ID]*request{}, tombstones: map[frame.ID]tombstone{}, maxEvicted: map[uint64]uint64{}}
}

// insertResult tells what to do with a submitted id.
type insertResult int

const (
	insertOK insertResult = iota
	insertDuplicate
	insertRefused
)

// insert adds r unless its id is held or was removed.
func (t *table) insert(id frame.ID, r *request) insertResult {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, exists := t.requests[id]; exists {
		return insertDuplicate
	}
	if _, ran := t.removedState(id); ran {
		return insertDuplicate
	}
	if _, ok := t.tombstones[id]; ok {
		return insertRefused
	}
	t.requests[id] = r
	return insertOK
}

func (t *table) get(id frame.ID) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.requests[id]
}

// admit marks a request as started. It returns false when the request was
// removed while it waited; it must not start then.
func (t *table) admit(id frame.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil {
		return false
	}
	r.admitted = true
	return true
}

// getOrRefuse returns the held request, or refuses id from now on and tells whether
// it was admitted before.
func (t *table) getOrRefuse(id frame.ID, now clock.Millis) (found *request, ran bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.requests[id]; r != nil {
		return r, r.admitted
	}
	known, ran := t.removedState(id)
	if !known {
		t.tombstones[id] = tombstone{expires: now + tombstoneTTL}
	}
	return nil, ran
}

// removedState tells what is known of an id that is not held.
func (t *table) removedState(id frame.ID) (known, ran bool) {
	if removed, ok := t.tombstones[id]; ok {
		return true, removed.ran
	}
	maxEvicted, ok := t.maxEvicted[id.Incarnation()]
	mayHaveRun := ok && id.Sequence() <= maxEvicted
	return mayHaveRun, mayHaveRun
}

// remove forgets a request; a late duplicate of its submit is refused.
func (t *table) remove(id frame.ID, now clock.Millis) *request {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.requests[id]
	if r == nil {
		return nil
	}
	delete(t.requests, id)
	t.tombstones[id] = tombstone{expires: now + tombstoneTTL, ran: r.admitted}
	return r
}

// expire forgets removed ids whose time is over and returns the requests that
// have been without a connection for too long.
func (t *table) expire(now clock.Millis) []frame.ID {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, removed := range t.tombstones {
		if removed.expires > now {
			continue
		}
		delete(t.tombstones, id)
		if removed.ran {
			t.maxEvicted[id.Incarnation()] = max(t.maxEvicted[id.Incarnation()], id.Sequence())
		}
	}
	var abandoned []frame.ID
	for id, r := range t.requests {
		switch {
		case r.response.Attached():
			r.detachedAt = 0
		case r.detachedAt == 0:
			r.detachedAt = now
		case now-r.detachedAt >= detachedTTL:
			abandoned = append(abandoned, id)
		}
	}
	return abandoned
}

// all returns the held requests.
func (t *table) all() []*request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*request, 0, len(t.requests))
	for _, r := range t.requests {
		out = append(out, r)
	}
	return out
}

// len returns the number of held requests.
func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}
