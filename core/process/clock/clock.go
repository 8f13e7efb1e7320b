// Package clock provides a clock with a resolution of milliseconds that tests can
// replace by a manual one.
package clock

import (
	"sync"
	"time"
)

// Millis is a point in time or a duration in milliseconds. A point in time counts
// from the Unix epoch on a system clock, and from a chosen start on a manual clock.
type Millis int64

// Common durations.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m to a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d, truncating it to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Clock provides the current time. The zero value is not usable; call System or
// NewManual.
type Clock struct {
	mu     sync.Mutex
	manual bool
	now    Millis
	start  time.Time
	epoch  Millis
}

// System returns a clock that follows the monotonic clock of the machine, so that
// adjustments of the wall clock do not shift deadlines.
func System() *Clock {
	start := time.Now()
	return &Clock{start: start, epoch: Millis(start.UnixMilli())}
}

// NewManual returns a clock that only changes through Advance.
func NewManual(start Millis) *Clock {
	return &Clock{manual: true, now: start}
}

// Now returns the current time.
func (c *Clock) Now() Millis {
	if !c.manual {
		return c.epoch + Millis(time.Since(c.start).Milliseconds())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves a manual clock forward by d and returns the new time.
func (c *Clock) Advance(d Millis) Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	return c.now
}
