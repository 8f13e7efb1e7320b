package network

import (
	"context"
	"io"
	"net"
	"testing"

	"goldcrestshore/core/process/check"
)

func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func startNetwork(t *testing.T) (*Network, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, "Listen", err)
	n := &Network{Target: startEchoServer(t)}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = n.Run(ctx, l) }()
	return n, l.Addr().String()
}

func exchange(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	check.NoError(t, "Dial", err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = c.Write([]byte("abc"))
	check.NoError(t, "Write", err)
	got := make([]byte, 3)
	_, err = io.ReadFull(c, got)
	check.NoError(t, "ReadFull", err)
	check.Equal(t, "echo", string(got), "abc")
	return c
}

func TestCutEndsPresentConnectionsOnly(t *testing.T) {
	n, address := startNetwork(t)
	c := exchange(t, address)
	n.Cut()
	_, err := io.ReadAll(c)
	check.NoError(t, "ReadAll", err)
	exchange(t, address)
}

// Guards against a blackholed connection that returns an error to its client,
// and against a blackhole that affects new connections.
func TestBlackholeAffectsPresentConnectionsOnly(t *testing.T) {
	n, address := startNetwork(t)
	blackholed := exchange(t, address)
	n.Blackhole()
	_, err := blackholed.Write([]byte("lost"))
	check.NoError(t, "Write", err)
	exchange(t, address)
}
