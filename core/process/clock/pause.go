package clock

import (
	"context"

	"golang.org/x/sys/unix"
)

// pauseCheckInterval is the interval of the checks for a pause.
const pauseCheckInterval Millis = 200

// WatchPauses calls onPause after the process was stalled for at least minPause:
// because the process was paused, or because the machine was suspended, which the
// monotonic clock does not count. State that is assumed fresh because of recently
// received messages must be checked again then.
func WatchPauses(ctx context.Context, minPause Millis, onPause func(pause Millis)) {
	last := bootTime()
	Every(ctx, pauseCheckInterval, func() {
		now := bootTime()
		if pause := now - last - pauseCheckInterval; pause >= minPause {
			onPause(pause)
		}
		last = now
	})
}

// bootTime returns the time since the machine booted, including suspensions.
func bootTime() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // pauses are not detected on a machine without this clock
	}
	return Millis(t.Nano() / 1e6)
}
