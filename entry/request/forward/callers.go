package forward

import (
	"cmp"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/entry/version/config"
)

// Limits of callers that the configuration does not state.
const (
	// serverMaxHeaderBytes bounds a request head whatever the configuration allows. The
	// memory of all heads together is bounded besides.
	serverMaxHeaderBytes = 1 << 20
	// sendBufferBytes is the send buffer of a caller's connection. A larger one makes no caller
	// faster, and those of callers that do not read add up.
	sendBufferBytes = 64 << 10
	// defaultMaxHeadMemoryBytes applies when Server.MaxHeadMemoryBytes is 0.
	defaultMaxHeadMemoryBytes = 64 << 20
	// defaultHeaderTimeout and defaultIdleTimeout are the time limits of callers while no
	// configuration states any.
	defaultHeaderTimeout = 5 * clock.Second
	defaultIdleTimeout   = 15 * clock.Second
)

// Conns returns the number of open connections of callers.
func (s *Server) Conns() int { return s.callers.Conns() }

// limitCallers sets the limits of the server for callers.
func (s *Server) limitCallers() {
	c := &s.callers
	c.Clock, c.Handler, c.Timeouts, c.OnClose = s.Clock, s, s.timeouts, s.Metrics.countClosed
	c.MaxConns, c.SendBufferBytes = s.MaxConns, sendBufferBytes
	c.MaxHeadBytes, c.MaxHeadMemoryBytes = serverMaxHeaderBytes, cmp.Or(s.MaxHeadMemoryBytes, defaultMaxHeadMemoryBytes)
}

// timeouts returns the time limits of callers by the current configuration. A caller that reads nothing
// is idle as well.
func (s *Server) timeouts() http1.Timeouts {
	var limits config.Limits
	if cfg := s.State.View().Config(); cfg != nil {
		limits = cfg.Limits()
	}
	idle := cmp.Or(limits.IdleTimeout, defaultIdleTimeout)
	return http1.Timeouts{Head: cmp.Or(limits.HeaderTimeout, defaultHeaderTimeout), Idle: idle, Write: idle}
}
