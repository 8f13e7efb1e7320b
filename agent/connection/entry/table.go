// Package entry serves the connections of entries: it accepts submitted
// requests, streams responses, and resumes them on new connections.
package entry

import (
	"context"
	"sync"

	"goldcrestshore/agent/request/stream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
)

const (
	// detachedTTL is how long a response is retained for an entry that has lost
	// its connection. A new connection takes at most the idle timeout of the old
	// one plus a dial.
	detachedTTL = 10 * clock.Second
	// tombstoneTTL is how long a removed ID has a tombstone; afterwards
	// maxEvicted covers it.
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

// tombstone records an ID that was removed, or refused before it was submitted.
type tombstone struct {
	expires clock.Millis
	ran     bool
}

// table holds the requests of this agent by ID. It is safe for concurrent use.
type table struct {
	mu         sync.Mutex
	requests   map[frame.ID]*request
	tombstones map[frame.ID]tombstone
	// maxEvicted is the highest sequence among the admitted requests whose
	// tombstone has expired, for each incarnation of an entry. An unknown ID at
	// or below it may have run, however long the entry was paused.
	maxEvicted map[uint64]uint64
}

func newTable() *table {
	return &table{requests: map[frame.ID]*request{}, tombstones: map[frame.ID]tombstone{}, maxEvicted: map[uint64]uint64{}}
}

// insertResult is the result of submitting an ID.
type insertResult int

const (
	insertOK insertResult = iota
	insertDuplicate
	insertRefused
)

// insert adds r unless its ID is present or was removed.
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

// admit marks a request as started. It returns false if the request was removed
// while it waited; it must not start then.
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

// getOrRefuse returns the request with the ID. If there is none, it refuses the
// ID from now on. ran reports whether the request may have run.
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

// removedState reports whether an absent ID was removed, and whether it may have
// run.
func (t *table) removedState(id frame.ID) (known, ran bool) {
	if removed, ok := t.tombstones[id]; ok {
		return true, removed.ran
	}
	maxEvicted, ok := t.maxEvicted[id.Incarnation()]
	mayHaveRun := ok && id.Sequence() <= maxEvicted
	return mayHaveRun, mayHaveRun
}

// remove removes a request and leaves a tombstone, so that a late duplicate of
// its Submit frame does not run.
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

// expire removes expired tombstones and returns the requests that have had no
// connection for detachedTTL.
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

// all returns all requests.
func (t *table) all() []*request {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*request, 0, len(t.requests))
	for _, r := range t.requests {
		out = append(out, r)
	}
	return out
}

// len returns the number of requests.
func (t *table) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.requests)
}
