package claims

import (
	"testing"
	"testing/synctest"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// TestResolveTimeout guards against a request that receives no response until its
// caller's deadline because the agent that its grant names has terminated.
func TestResolveTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Call{service: &Service{done: make(chan struct{})}, steps: make(chan Step)}
		start := time.Now()
		_, err := c.next(t.Context())
		check.Equal(t, "waited", clock.FromDuration(time.Since(start)), resolveTimeout)
		check.Equal(t, "code", outcome.As(err).Code(), outcome.ClaimUnresolved)
		check.Equal(t, "outcome", outcome.As(err).Outcome(), outcome.Unknown)
	})
}
