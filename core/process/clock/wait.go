package clock

import (
	"context"
	"time"
)

// Every calls f after each interval until ctx is done.
func Every(ctx context.Context, interval Millis, f func()) {
	ticker := time.NewTicker(interval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

// Sleep reports whether d passed before ctx was done.
func Sleep(ctx context.Context, d Millis) bool {
	timer := time.NewTimer(d.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
