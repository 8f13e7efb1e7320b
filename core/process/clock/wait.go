package clock

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx is done.
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

// Sleep waits for d or until ctx is done. It reports whether d elapsed.
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
