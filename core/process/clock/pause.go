package clock

import (
	"context"

	"golang.org/x/sys/unix"
)

// pauseCheckInterval is the time between two looks for a gap.
const pauseCheckInterval Millis = 200

// WatchPauses calls f after the process stood still for at least least: after a
// suspension of the machine, which the monotonic clock does not count, or a
// pause of the process. What rests on having heard something lately must be
// checked again then.
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

// bootTime is the time since the machine's start, suspensions included.
func bootTime() Millis {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0 // a machine without this clock shows no gaps
	}
	return Millis(t.Nano() / 1e6)
}
