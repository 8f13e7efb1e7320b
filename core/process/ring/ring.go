// Package ring provides the bounded queue that joins two goroutines.
package ring

import "github.com/cockroachdb/errors"

// ErrFull reports that a ring has no room for another item.
var ErrFull = errors.New("ring is full")

// Ring is a bounded queue of T, safe for many producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer appends v, or returns ErrFull without waiting.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put appends v, waiting for room until done is closed. It reports whether v
// was appended.
func (r *Ring[T]) Put(done <-chan struct{}, v T) bool {
	select {
	case r.items <- v:
		return true
	case <-done:
		return false
	}
}

// Items returns the receiving end, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
