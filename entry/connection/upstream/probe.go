package upstream

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

const (
	// probeDelay is the time until a probe: a crashing process may close connections
	// before its listener.
	probeDelay clock.Millis = 10
	// probeTimeout bounds a probe. The request whose response broke off waits for it
	// before it is retried.
	probeTimeout clock.Millis = 100
)

// RefusesConnections reports whether nothing listens on address, as after the process of
// an upstream has crashed. An address that does not respond refuses nothing.
func RefusesConnections(ctx context.Context, address string) bool {
	if !clock.Sleep(ctx, probeDelay) {
		return false
	}
	dialer := net.Dialer{Timeout: probeTimeout.Duration()}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = c.Close()
	return false
}
