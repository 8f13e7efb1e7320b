package frame

import (
	"bytes"
	"context"
	"net"
)

// MaxDatagramBytes is the largest size of a frame sent as a datagram.
const MaxDatagramBytes = 1400

// ServeDatagrams passes each received message of type M to handle until ctx is
// done. It calls onMalformed with the sender of any other datagram. The caller
// must close c when ctx is done, to interrupt a blocked read.
func ServeDatagrams[M Message](ctx context.Context, c net.PacketConn, onMalformed func(from net.Addr), handle func(id ID, from net.Addr, m M)) {
	buffer := make([]byte, MaxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := c.ReadFrom(buffer)
		if err != nil {
			continue // the loop ends when ctx is done
		}
		id, message, err := Read(bytes.NewReader(buffer[:n]))
		m, ok := message.(M)
		if err != nil || !ok {
			onMalformed(from)
			continue
		}
		handle(id, from, m)
	}
}
