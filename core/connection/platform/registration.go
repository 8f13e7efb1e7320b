package platform

import (
	"context"

	"goldcrestshore/core/process/clock"
)

const (
	minRegisterBackoff = 100 * clock.Millis(1)
	maxRegisterBackoff = 5 * clock.Second
	// deregisterTimeout bounds the platform call that a process makes before it stops.
	deregisterTimeout = 2 * clock.Second
)

// RegisterWithRetry registers an instance and retries with exponential backoff
// until it succeeds or ctx is done. Each failure is passed to onError.
func RegisterWithRetry(ctx context.Context, c *Client, i Instance, onError func(error)) {
	backoff := minRegisterBackoff
	for {
		err := c.Register(ctx, i)
		if err == nil || ctx.Err() != nil {
			return
		}
		onError(err)
		if !clock.Sleep(ctx, backoff) {
			return
		}
		backoff = min(2*backoff, maxRegisterBackoff)
	}
}

// DeregisterOnStop removes an instance from the list before its process stops. A
// failure is passed to onError; the platform then detects the stop by itself.
func DeregisterOnStop(ctx context.Context, c *Client, name string, onError func(error)) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTimeout.Duration())
	defer cancel()
	if err := c.Deregister(ctx, name); err != nil {
		onError(err)
	}
}
