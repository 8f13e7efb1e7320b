// Package network stands in for the network between two processes: it passes
// TCP data on, and on request cuts its connections or lets them go silent while
// new ones work.
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

// Network passes connections on. Exported fields are set before Run.
type Network struct {
	// Target is the address to which connections are passed.
	Target string

	mu    sync.Mutex
	conns map[*proxiedConn]bool
}

// proxiedConn is one passed connection.
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

// copy passes data on until either side ends. A silent pipe reads on and drops
// what it reads, and tells neither side.
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

// Cut closes every present connection.
func (n *Network) Cut() {
	n.each(func(p *proxiedConn) {
		_ = p.client.Close()
		_ = p.target.Close()
	})
}

// Blackhole lets every present connection go silent for good.
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
