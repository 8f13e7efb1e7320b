package entry

import (
	"sync"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
)

const (
	// crashTTL is how long a crash is reported to entries that connect later.
	// It is several times the time to replace an unresponsive connection.
	crashTTL = 30 * clock.Second
	// maxRecentCrashes limits the crashes retained for entries that connect
	// later.
	maxRecentCrashes = 4
	// reportTimeout limits the wait for a connection whose send queue is full.
	// Failed responses are delayed for that long.
	reportTimeout = 200 * time.Millisecond
)

// recentCrash is a crash that was reported, retained until it expires.
type recentCrash struct {
	expires clock.Millis
	message *frame.Crash
}

// crashBroadcaster tracks the connections that crashes are reported to and the
// recent crashes.
type crashBroadcaster struct {
	mu     sync.Mutex
	conns  map[*peer.Conn]bool
	recent []recentCrash
}

// subscribe adds a connection and returns the recent crashes that it may have
// missed.
func (c *crashBroadcaster) subscribe(conn *peer.Conn, now clock.Millis) []*frame.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns == nil {
		c.conns = map[*peer.Conn]bool{}
	}
	c.conns[conn] = true
	var missed []*frame.Crash
	for _, p := range c.recent {
		if p.expires > now {
			missed = append(missed, p.message)
		}
	}
	return missed
}

func (c *crashBroadcaster) unsubscribe(conn *peer.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// add stores a crash and returns the connections to report it to.
func (c *crashBroadcaster) add(m *frame.Crash, now clock.Millis) []*peer.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, recentCrash{now + crashTTL, m})
	c.recent = c.recent[max(0, len(c.recent)-maxRecentCrashes):]
	conns := make([]*peer.Conn, 0, len(c.conns))
	for conn := range c.conns {
		conns = append(conns, conn)
	}
	return conns
}

// ReportCrash reports a crash to every connected entry and to those that
// connect within crashTTL. It returns once the frame is queued on all
// connections, so that an end frame sent afterwards follows it, or after
// reportTimeout.
func (s *Server) ReportCrash(m *frame.Crash) {
	var queued sync.WaitGroup
	for _, conn := range s.crashBroadcaster.add(m, s.Clock.Now()) {
		queued.Go(func() { _ = conn.Send(frame.ID{}, m) })
	}
	done := make(chan struct{})
	go func() {
		queued.Wait()
		close(done)
	}()
	timer := time.NewTimer(reportTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// subscribeCrashes reports recent crashes to a new connection, and later ones
// until the returned function is called.
func (s *Server) subscribeCrashes(c *peer.Conn) (stop func()) {
	for _, m := range s.crashBroadcaster.subscribe(c, s.Clock.Now()) {
		_ = c.Send(frame.ID{}, m)
	}
	return func() { s.crashBroadcaster.unsubscribe(c) }
}
