// Package clock provides the project's only clock type, in milliseconds.
package clock

import (
	"sync"
	"time"
)

// Millis is an instant or a span of time in milliseconds. An instant counts
// from the Unix epoch on a system clock, from the chosen start on a manual one.
type Millis int64

// Common spans.
const (
	Second Millis = 1000
	Minute        = 60 * Second
	Hour          = 60 * Minute
)

// Duration converts m for use with the standard library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// FromDuration converts d, rounding down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d.Milliseconds()) }

// Clock tells the time. The zero value is not usable; call System or NewManual.
type Clock struct {
	mu     sync.Mutex
	manual bool
	now    Millis
	start  time.Time
	epoch  Millis
}

// System returns a clock that follows the machine's monotonic clock, so that
// a step of the wall clock moves no deadline.
func System() *Clock {
	start := time.Now()
	return &Clock{start: start, epoch: Millis(start.UnixMilli())}
}

// NewManual returns a clock that moves only by Advance.
func NewManual(start Millis) *Clock {
	return &Clock{manual: true, now: start}
}

// Now returns the present instant.
func (c *Clock) Now() Millis {
	if !c.manual {
		return c.epoch + Millis(time.Since(c.start).Milliseconds())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// Advance moves a manual clock forward by d and returns the new instant.
func (c *Clock) Advance(d Millis) Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now += d
	return c.now
}
