package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to the store. It can make open ones go silent.
type proxy struct {
	target string

	mu    sync.Mutex
	flows map[*flow]bool
}

// flow is a connection through the proxy.
type flow struct {
	mu     sync.Mutex
	last   time.Time
	silent bool
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, flows: make(map[*flow]bool)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
	return p, nil
}

func (p *proxy) forward(caller net.Conn) {
	defer caller.Close()
	target, err := net.Dial("tcp4", p.target)
	if err != nil {
		return
	}
	defer target.Close()
	f := &flow{last: time.Now()}
	p.mu.Lock()
	p.flows[f] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.flows, f)
		p.mu.Unlock()
	}()
	var copying sync.WaitGroup
	copying.Go(func() { f.copy(target, caller) })
	copying.Go(func() { f.copy(caller, target) })
	copying.Wait()
}

// copy forwards bytes until an end closes the connection. A silent flow drops them, and neither
// end learns that the other one has closed it.
func (f *flow) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		f.mu.Lock()
		f.last = time.Now()
		silent := f.silent
		f.mu.Unlock()
		if n > 0 && !silent {
			_, _ = to.Write(b[:n])
		}
		if err != nil {
			if !silent {
				_ = to.Close()
			}
			return
		}
	}
}

// silenceIdle makes the open connections silent on which nothing was sent for a time, and returns
// their number and that of the others.
func (p *proxy) silenceIdle(idle time.Duration) (silenced, others int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for f := range p.flows {
		f.mu.Lock()
		if time.Since(f.last) > idle {
			f.silent = true
			silenced++
		} else {
			others++
		}
		f.mu.Unlock()
	}
	return silenced, others
}
