package caller

import (
	"net"

	"golang.org/x/sys/unix"

	"goldcrestshore/core/process/clock"
)

const (
	// sendBufferBytes is the socket send buffer, which limits the bytes buffered
	// for a slow reader. The kernel doubles the value for its bookkeeping.
	sendBufferBytes = 8 << 10
	// tcpUserTimeout closes a connection whose peer has accepted no data for this
	// long. A read deadline would disconnect callers that are only waiting.
	tcpUserTimeout = 60 * clock.Second
)

// setSocketLimits sets the send buffer and user timeout of a caller's connection.
// A connection on which they cannot be set is still served.
func setSocketLimits(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	_ = tcp.SetWriteBuffer(sendBufferBytes)
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout))
	})
}
