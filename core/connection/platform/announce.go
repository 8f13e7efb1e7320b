package platform

import (
	"context"

	"goldcrestshore/core/process/clock"
)

const (
	minAnnounceWait = 100 * clock.Millis(1)
	maxAnnounceWait = 5 * clock.Second
	// departTimeout bounds the last platform call of a process that stops.
	departTimeout = 2 * clock.Second
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
		if !clock.Sleep(ctx, wait) {
			return
		}
		wait = min(2*wait, maxAnnounceWait)
	}
}

// Depart takes an instance off the list before its process stops. A failure is
// passed to failed; the platform then finds out by itself.
func Depart(ctx context.Context, c *Client, name string, failed func(error)) {
	ctx, cancel := context.WithTimeout(ctx, departTimeout.Duration())
	defer cancel()
	if err := c.Deregister(ctx, name); err != nil {
		failed(err)
	}
}
