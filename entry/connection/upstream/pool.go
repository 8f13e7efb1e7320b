// Package upstream sends HTTP/1.1 requests to upstreams on persistent
// connections. Unlike the transport of net/http it never sends a request twice,
// reports whether a request may have been run, and detects responses that belong
// to another request.
package upstream

import (
	"context"
	"fmt"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// Errors of an exchange, for use with errors.Is.
var (
	// ErrNotSent means that the upstream has read nothing of the request.
	ErrNotSent = errors.New("request was not sent")
	// ErrBroken means that the connection failed after the request may have
	// been read; the upstream may have run it.
	ErrBroken = errors.New("connection to the upstream failed after the request was sent")
	// ErrStalled means that the upstream was unresponsive while others were not.
	ErrStalled = errors.New("upstream is stalled")
	// ErrMalformed means that the upstream sent bytes that are not a response to
	// the request.
	ErrMalformed = errors.New("upstream sent a malformed response")
)

const (
	dialTimeout = 400 * clock.Millis(1)
	// defaultIdleTimeout applies to connections without a Keep-Alive header.
	defaultIdleTimeout = 3 * clock.Second
	// maxIdlePerAddress bounds the idle connections to one address; an upstream
	// may accept only a few dozen from all entries together.
	maxIdlePerAddress = 4
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// Clock must be set before use.
	Clock *clock.Clock

	mu     sync.Mutex
	idle   map[string][]*conn
	dialed int64
}

// Dialed returns the number of attempts to open a connection.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// get returns a reusable connection that has been idle for at most maxIdleTime, and
// whose last request had another ID, or nil if there is none.
func (p *Pool) get(address string, maxIdleTime clock.Millis, id string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		idleTime := p.Clock.Now() - c.idleSince
		if idleTime <= min(c.idleTimeout, maxIdleTime) && c.lastID != id && c.reusable() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection.
func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put adds a connection to the idle ones. If there are too many, it closes the
// one that was idle for longest.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*conn)
	}
	list := p.idle[address]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// Expire closes connections that have exceeded their idle timeout.
func (p *Pool) Expire() {
	now := p.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince > c.idleTimeout {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	p.mu.Lock()
	p.dialed++
	p.mu.Unlock()
	dialer := net.Dialer{Timeout: dialTimeout.Duration(), KeepAlive: -1}
	c, err := dialer.DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, fmt.Errorf("%w: connect to %s: %w", ErrNotSent, address, err)
	}
	return newConn(c), nil
}
