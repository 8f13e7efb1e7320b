package watch

import (
	"context"
	"math/rand/v2"

	"goldcrestshore/core/process/clock"
)

const (
	// minBackoff and maxBackoff bound the delay before a call is repeated.
	minBackoff clock.Millis = 100
	maxBackoff clock.Millis = 800
	// backoffJitter is the width of the random factor of the delay. It keeps
	// entries whose calls fail at the same time from retrying at the same time.
	backoffJitter = 0.5
)

// backoff is a delay that doubles with each pause. The zero value is ready to use.
type backoff struct {
	next clock.Millis
	// skipped is set once pauseUnlessFirst has skipped its pause.
	skipped bool
}

// reset starts again with the shortest delay.
func (b *backoff) reset() { *b = backoff{} }

// pause waits for the delay. It returns false if ctx is done.
func (b *backoff) pause(ctx context.Context) bool {
	delay := max(b.next, minBackoff)
	b.next = min(2*delay, maxBackoff)
	jitter := 1 + backoffJitter*(rand.Float64()-0.5)
	return clock.Sleep(ctx, clock.Millis(float64(delay)*jitter))
}

// pauseUnlessFirst returns at once when it is called for the first time since reset, and
// pauses otherwise.
func (b *backoff) pauseUnlessFirst(ctx context.Context) bool {
	if !b.skipped {
		b.skipped = true
		return ctx.Err() == nil
	}
	return b.pause(ctx)
}
