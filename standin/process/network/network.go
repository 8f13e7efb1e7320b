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
	pipes map[*pipe]bool
}

// pipe is one passed connection.
type pipe struct {
	near, far net.Conn
	silent    atomic.Bool
}

// Run accepts connections from l until ctx is done.
func (n *Network) Run(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		n.Cut()
	})
	defer stop()
	for {
		near, err := l.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go n.pass(ctx, near)
	}
}

func (n *Network) pass(ctx context.Context, near net.Conn) {
	defer near.Close()
	var dialer net.Dialer
	far, err := dialer.DialContext(ctx, "tcp", n.Target)
	if err != nil {
		return
	}
	defer far.Close()
	p := &pipe{near: near, far: far}
	n.add(p)
	defer n.remove(p)
	done := make(chan struct{}, 2)
	go p.copy(far, near, done)
	go p.copy(near, far, done)
	<-done
}

// copy passes data on until either side ends. A silent pipe reads on and drops
// what it reads, and tells neither side.
func (p *pipe) copy(to, from net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, copyBytes)
	for {
		count, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.silent.Load() {
			continue
		}
		if _, err := to.Write(buffer[:count]); err != nil {
			return
		}
	}
}

func (n *Network) add(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.pipes == nil {
		n.pipes = map[*pipe]bool{}
	}
	n.pipes[p] = true
}

func (n *Network) remove(p *pipe) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.pipes, p)
}

// Cut closes every present connection.
func (n *Network) Cut() {
	n.each(func(p *pipe) {
		_ = p.near.Close()
		_ = p.far.Close()
	})
}

// Silence lets every present connection go silent for good.
func (n *Network) Silence() { n.each(func(p *pipe) { p.silent.Store(true) }) }

func (n *Network) each(f func(*pipe)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.pipes {
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
			n.Silence()
		}
		if f.Cut {
			n.Cut()
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
