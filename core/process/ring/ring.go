// Package ring provides a bounded queue between goroutines.
package ring

import "github.com/cockroachdb/errors"

// ErrFull is returned when a ring has no free capacity.
var ErrFull = errors.New("ring is full")

// Ring is a bounded queue of T, safe for many producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer appends v without waiting. It returns ErrFull if the ring is full.
func (r *Ring[T]) Offer(v T) error {
	select {
	case r.items <- v:
		return nil
	default:
		return ErrFull
	}
}

// Put appends v, waiting for free capacity until done is closed. It reports
// whether v was appended.
func (r *Ring[T]) Put(done <-chan struct{}, v T) bool {
	select {
	case r.items <- v:
		return true
	case <-done:
		return false
	}
}

// Items returns the channel to receive from, for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
