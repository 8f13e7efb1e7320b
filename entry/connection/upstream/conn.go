package upstream

import (
	"bufio"
	"net"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"goldcrestshore/core/process/clock"
)

const (
	readBufferBytes = 4 << 10
	// unackedTimeout closes a connection whose peer has not acknowledged sent data
	// for this long, also while a request waits for its response.
	unackedTimeout = 2 * clock.Second
	// keepAliveIntervalSeconds is the interval of keep-alive probes. Together with
	// keepAliveProbes it detects connections that were lost without a reset.
	keepAliveIntervalSeconds = 1
	keepAliveProbes          = 2
	// keepAliveMargin is subtracted from the idle timeout that an upstream
	// announces, to allow for the time a request takes to reach it.
	keepAliveMargin = 500 * clock.Millis(1)
)

// conn is a persistent connection to an upstream.
type conn struct {
	net.Conn
	// source is read through reader; it bounds the bytes of a head.
	source *boundedReader
	reader *bufio.Reader
	// lastID is the ID of the last request. A second copy of its response may still
	// arrive, and could not be told from the response to a request with the same ID.
	lastID string
	// idleSince is when the connection was last added to the idle ones.
	idleSince clock.Millis
	// idleTimeout is how long the upstream keeps the connection open.
	idleTimeout clock.Millis
}

func newConn(c net.Conn) *conn {
	setSocketOptions(c)
	source := &boundedReader{source: c, remaining: unbounded}
	return &conn{Conn: c, source: source, reader: bufio.NewReaderSize(source, readBufferBytes), idleTimeout: defaultIdleTimeout}
}

// setSocketOptions bounds the time until an unresponsive connection is detected.
// A connection for which the options cannot be set is still used.
func setSocketOptions(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout))
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveIntervalSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveIntervalSeconds)
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPCNT, keepAliveProbes)
	})
}

// abort closes the connection with a reset. An upstream may take an ordinary close
// for a half-close and run the request although nobody receives the response.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, an ordinary close ends the exchange too
	}
	_ = c.Close()
}

// reusable reports whether the peer has neither closed the connection nor sent
// unsolicited bytes.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errno == unix.EAGAIN
		return true
	})
	return err == nil && open
}

// updateIdleTimeout sets the idle timeout from the Keep-Alive header of a
// response.
func (c *conn) updateIdleTimeout(h http.Header) {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.ParseInt(value, 10, 32)
		if err == nil {
			c.idleTimeout = max(clock.Millis(seconds)*clock.Second-keepAliveMargin, 0)
		}
	}
}
