package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxy forwards connections to the store. It can lose responses of the store.
type proxy struct {
	target string

	mu sync.Mutex
	// loseUntil is the end of the time in which one response in loseEvery is lost.
	loseUntil time.Time
	responses int
}

// loseEvery is how many responses there are for each that is lost.
const loseEvery = 3

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target}
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
	go func() {
		_, _ = io.Copy(target, caller)
		_ = target.Close()
	}()
	b := make([]byte, 64<<10)
	silent := false
	for {
		n, err := target.Read(b)
		silent = silent || (n > 0 && p.loses())
		if n > 0 && !silent {
			_, _ = caller.Write(b[:n])
		}
		if err != nil {
			return
		}
	}
}

// loses reports whether a response that has come from the store is lost. Its connection then
// returns nothing further.
func (p *proxy) loses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.loseUntil) {
		return false
	}
	p.responses++
	return p.responses%loseEvery == 1
}

// lose makes one response in loseEvery of the store be lost for a time, beginning with the next.
func (p *proxy) lose(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loseUntil, p.responses = time.Now().Add(d), 0
}

// lost returns how many of the responses were lost, and how many there were in that time.
func (p *proxy) lost() (lost, responses int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.responses + loseEvery - 1) / loseEvery, p.responses
}
