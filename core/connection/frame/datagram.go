package frame

import (
	"bytes"
	"context"
	"net"
)

// MaxDatagramBytes bounds a frame that travels as a datagram.
const MaxDatagramBytes = 1400

// ServeDatagrams passes each datagram that holds a message of type M to handle until
// ctx is done and the connection closed; others are passed to malformed.
func ServeDatagrams[M Message](ctx context.Context, c net.PacketConn, onMalformed func(from net.Addr), handle func(id ID, from net.Addr, m M)) {
	buffer := make([]byte, MaxDatagramBytes)
	for ctx.Err() == nil {
		n, from, err := c.ReadFrom(buffer)
		if err != nil {
			continue // ends with ctx
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
