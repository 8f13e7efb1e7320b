package platform

import (
	"context"
	"time"

	"goldcrestshore/core/process/clock"
)

const (
	minAnnounceWait = 100 * clock.Millis(1)
	maxAnnounceWait = 5 * clock.Second
)

// Announce registers an instance and retries with a growing wait until it
// succeeds or ctx is done. Each failure is passed to failed.
func Announce(ctx context.Context, c *Client, i Instance, failed func(error)) {
	wait := minAnnounceWait
	for {
		err := c.Register(ctx, i)
		if err == nil || ctx.Err() != nil {
			return
		}
		failed(err)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.Duration()):
		}
		wait = min(2*wait, maxAnnounceWait)
	}
}
