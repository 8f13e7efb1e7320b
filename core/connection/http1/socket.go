package http1

import (
	"net"

	"golang.org/x/sys/unix"
)

// setSocketLimits bounds what the kernel holds for a caller, and how long it waits for a caller that
// is gone. A connection on which the limits cannot be set is still served.
func (s *Server) setSocketLimits(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if s.SendBufferBytes > 0 {
		_ = tcp.SetWriteBuffer(s.SendBufferBytes)
	}
	raw, err := tcp.SyscallConn()
	if err != nil || s.UserTimeout == 0 {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(s.UserTimeout)) // in milliseconds, as the clock
	})
}
