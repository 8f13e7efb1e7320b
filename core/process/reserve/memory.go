// Package reserve bounds the memory that many holders take together.
package reserve

import "sync"

// Memory counts the memory of shares. When they exceed the limit, the largest one that still grows
// gives way: a peer that sends without end, and not one of its neighbours, which send little. The zero
// value is ready to use. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	inUse int64
	// growing holds the shares that may still grow.
	growing map[*Share]bool
}

// Share is the memory of one holder. It is safe for concurrent use.
type Share struct {
	memory  *Memory
	limit   int64
	giveWay func()

	// size is the memory that counts for the share, and gaveWay is set once it had to give way.
	// Both are guarded by the mutex of memory.
	size    int64
	gaveWay bool
}

// InUse returns the memory of all shares in bytes.
func (m *Memory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// NewShare returns an empty share that does not grow yet. Growing it fails or makes others give way once
// all shares exceed limit bytes. giveWay makes the holder free its memory; it is called at most once,
// from any goroutine, and must not call methods of a share.
func (m *Memory) NewShare(limit int64, giveWay func()) *Share {
	return &Share{memory: m, limit: limit, giveWay: giveWay}
}

// Begin marks the share as growing.
func (s *Share) Begin() {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.growing == nil {
		m.growing = make(map[*Share]bool)
	}
	if !s.gaveWay {
		m.growing[s] = true
	}
}

// End marks the share as complete, so that it no longer gives way. It reports false if it has given
// way already.
func (s *Share) End() bool {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.growing, s)
	return !s.gaveWay
}

// Grow counts n more bytes for a share that is growing. It reports false if the share has to give way,
// or has given way. giveWay is not called for the share itself.
func (s *Share) Grow(n int64) bool {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.gaveWay {
		return false
	}
	s.size += n
	m.inUse += n
	for m.inUse > s.limit {
		largest := m.largest(s)
		m.remove(largest)
		if largest == s {
			return false
		}
		largest.giveWay()
	}
	return true
}

// Release no longer counts the share, which may be used again unless it has given way.
func (s *Share) Release() {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.growing, s)
	m.inUse -= s.size
	s.size = 0
}

// largest returns the largest share that grows, s among equals. It must be called with mu held.
func (m *Memory) largest(s *Share) *Share {
	out := s
	for other := range m.growing {
		if other.size > out.size {
			out = other
		}
	}
	return out
}

// remove makes a share give way. Its memory is free once its holder has reacted, and no longer counts
// from now on. It must be called with mu held.
func (m *Memory) remove(s *Share) {
	delete(m.growing, s)
	s.gaveWay = true
	m.inUse -= s.size
	s.size = 0
}
