package connlimit

import (
	"container/list"
	"net"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// errNotTCP means that a connection has no such option.
var errNotTCP = errors.New("not a TCP connection")

// Conn is a connection of a Set.
type Conn struct {
	net.Conn
	set *Set

	// The fields below are guarded by the mutex of set. place is nil once the connection has left
	// the set.
	state        State
	since, limit clock.Millis
	place        *list.Element
}

// SetState sets what the connection waits for, and how long it may until CloseOverdue closes it, 0 for
// any time. Setting the state that it has counts as a new wait.
func (c *Conn) SetState(state State, limit clock.Millis) {
	s := c.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.place == nil {
		return
	}
	s.order[c.state].Remove(c.place)
	c.state, c.since, c.limit = state, s.Clock.Now(), limit
	c.place = s.order[state].PushBack(c)
}

// Close implements net.Conn. The connection leaves the set.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	c.set.remove(c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends what is sent to the peer and leaves the connection open for reading.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errNotTCP
	}
	return tcp.CloseWrite()
}

// SetLinger sets what Close does with bytes that the peer has not acknowledged, as for net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errNotTCP
	}
	return tcp.SetLinger(seconds)
}
