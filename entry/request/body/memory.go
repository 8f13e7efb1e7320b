// Package body holds the bodies of requests and responses while they are read and forwarded, and
// bounds the memory of all of them together.
package body

import (
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of Buffer.Fill, for use with errors.Is.
var (
	// ErrMemoryFull means that the body gave way because all bodies together exceed their
	// limit.
	ErrMemoryFull = errors.New("bodies exceed their total memory limit")
	// ErrTooLarge means that the body itself exceeds its limit.
	ErrTooLarge = errors.New("body exceeds its limit")
)

// Memory counts the memory of buffers. When they exceed the limit, the largest one that is still
// being filled gives way: a peer that sends without end, and not one of its neighbours, whose
// bodies are small. The zero value is ready to use. It is safe for concurrent use.
type Memory struct {
	mu    sync.Mutex
	inUse int64
	// filling holds the buffers that are being filled.
	filling map[*Buffer]bool
}

// InUse returns the memory of all buffers in bytes.
func (m *Memory) InUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// NewBuffer returns an empty buffer. Reserving memory for it fails or makes others give way once all
// buffers exceed limit bytes. giveWay ends a read in progress; it is called at most once, from any
// goroutine.
func (m *Memory) NewBuffer(limit int64, giveWay func()) *Buffer {
	return &Buffer{memory: m, limit: limit, giveWay: giveWay}
}

// begin marks a buffer as being filled.
func (m *Memory) begin(b *Buffer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.filling == nil {
		m.filling = make(map[*Buffer]bool)
	}
	m.filling[b] = true
}

// end marks a buffer as filled, so that it no longer gives way. It reports false if it has given
// way already.
func (m *Memory) end(b *Buffer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.filling, b)
	return !b.gaveWay
}

// reserve counts n more bytes for a buffer that is being filled. It reports false if the buffer
// has to give way, or has given way.
func (m *Memory) reserve(b *Buffer, n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if b.gaveWay {
		return false
	}
	b.reserved += n
	m.inUse += n
	for m.inUse > b.limit {
		largest := m.largest(b)
		m.remove(largest)
		if largest == b {
			return false
		}
		largest.giveWay()
	}
	return true
}

// largest returns the largest buffer that is being filled, b among equals. It must be called with mu
// held.
func (m *Memory) largest(b *Buffer) *Buffer {
	out := b
	for other := range m.filling {
		if other.reserved > out.reserved {
			out = other
		}
	}
	return out
}

// remove makes a buffer give way. Its memory is free once its read has ended, and no longer counts
// from now on. It must be called with mu held.
func (m *Memory) remove(b *Buffer) {
	delete(m.filling, b)
	b.gaveWay = true
	m.inUse -= b.reserved
	b.reserved = 0
}

// release no longer counts a buffer.
func (m *Memory) release(b *Buffer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.filling, b)
	m.inUse -= b.reserved
	b.reserved = 0
}
