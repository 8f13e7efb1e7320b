package entry

import (
	"sync"
	"time"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/peer"
	"goldcrestshore/core/process/clock"
)

const (
	// crashTTL is how long a crash is told to entries that connect later. It
	// covers the replacement of a silent connection several times.
	crashTTL = 30 * clock.Second
	// maxRecentCrashes bounds the crashes kept for entries that connect later.
	maxRecentCrashes = 4
	// reportTimeout bounds the wait for a connection whose queue is full. Failed
	// answers are held back for as long.
	reportTimeout = 200 * time.Millisecond
)

// recentCrash is a crash that was reported before.
type recentCrash struct {
	expires clock.Millis
	message *frame.Crash
}

// crashBroadcaster holds the connections that are told of a crash.
type crashBroadcaster struct {
	mu     sync.Mutex
	conns  map[*peer.Conn]bool
	recent []recentCrash
}

// subscribe adds a connection and returns the crashes it may have missed.
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

// add keeps a crash and returns the connections to tell.
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

// ReportCrash tells every connected entry of a crash, and those that connect
// soon. It returns when the frame is queued everywhere, so that an end frame
// sent afterwards follows it, or after reportTimeout.
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

// subscribeCrashes tells a new connection of recent crashes and of later ones until
// the returned function is called.
func (s *Server) subscribeCrashes(c *peer.Conn) (stop func()) {
	for _, m := range s.crashBroadcaster.subscribe(c, s.Clock.Now()) {
		_ = c.Send(frame.ID{}, m)
	}
	return func() { s.crashBroadcaster.unsubscribe(c) }
}
