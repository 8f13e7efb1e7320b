package caller

import (
	"net"

	"golang.org/x/sys/unix"

	"goldcrestshore/core/process/clock"
)

const (
	// sendBufferBytes is what the kernel holds for a slow reader; the kernel
	// doubles the value for its own bookkeeping.
	sendBufferBytes = 8 << 10
	// tcpUserTimeout ends a connection whose peer takes nothing for so long. A read
	// deadline would cut callers that only wait.
	tcpUserTimeout = 60 * clock.Second
)

// setSocketLimits sets the limits of a caller's connection. A connection for which
// they cannot be set is still served.
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
