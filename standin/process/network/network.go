// Package network is a TCP proxy that stands in for the network between two
// processes. On request it closes the present connections or discards all their
// further data, while new connections work.
package network

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const copyBytes = 16 << 10

// Network is the proxy. Exported fields must be set before Run.
type Network struct {
	// Target is the address to which connections are forwarded.
	Target string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is a client connection and its connection to the target. While
// blackholed is set, data in both directions is discarded.
type proxiedConn struct {
	client, target net.Conn
	blackholed     atomic.Bool
}

// Run accepts connections from l until ctx is done.
func (n *Network) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		n.Cut()
	})
	defer stop()
	for {
		client, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go n.proxy(ctx, client)
	}
}

func (n *Network) proxy(ctx context.Context, client net.Conn) {
	defer client.Close()
	var dialer net.Dialer
	target, err := dialer.DialContext(ctx, "tcp", n.Target)
	if err != nil {
		return
	}
	defer target.Close()
	p := &proxiedConn{client: client, target: target}
	n.add(p)
	defer n.remove(p)
	done := make(chan struct{}, 2)
	go p.copy(target, client, done)
	go p.copy(client, target, done)
	<-done
}

// copy forwards data until a read or write fails. A blackholed connection is
// still read, but its data is discarded and neither side sees an error.
func (p *proxiedConn) copy(dst, src net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, copyBytes)
	for {
		count, err := src.Read(buffer)
		if err != nil {
			return
		}
		if p.blackholed.Load() {
			continue
		}
		if _, err := dst.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (n *Network) add(p *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.conns == nil {
		n.conns = map[*proxiedConn]bool{}
	}
	n.conns[p] = true
}

func (n *Network) remove(p *proxiedConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, p)
}

// Cut closes all present connections.
func (n *Network) Cut() {
	n.each(func(p *proxiedConn) {
		_ = p.client.Close()
		_ = p.target.Close()
	})
}

// Blackhole discards all further data of the present connections, permanently.
func (n *Network) Blackhole() { n.each(func(p *proxiedConn) { p.blackholed.Store(true) }) }

func (n *Network) each(f func(*proxiedConn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		f(p)
	}
}

// fault is the body of PUT /fault.
type fault struct {
	Cut    bool `json:"cut"`
	Silent bool `json:"silent"`
}

// Control serves PUT /fault.
func (n *Network) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /fault", func(w http.ResponseWriter, r *http.Request) {
		var f fault
		if err := json.NewDecoder(io.LimitReader(r.Body, copyBytes)).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if f.Silent {
			n.Blackhole()
		}
		if f.Cut {
			n.Cut()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
