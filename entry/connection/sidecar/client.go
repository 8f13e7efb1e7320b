// Package sidecar communicates with the agents that run beside ranks: heartbeats
// use datagrams, calls by the owner of expert maps use TCP frames.
package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
)

// ErrNoReply means that an agent did not reply; it may still have carried out an
// order.
var ErrNoReply = errors.New("agent did not reply")

const dialTimeout clock.Millis = 300

// Client keeps a connection to each agent. It is safe for concurrent use.
type Client struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer is the connection to one agent. It has one outstanding call at a time.
type peer struct {
	mu       sync.Mutex
	conn     net.Conn
	reader   *bufio.Reader
	sequence uint64
}

func (c *Client) peer(address string) *peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = make(map[string]*peer)
	}
	p := c.peers[address]
	if p == nil {
		p = &peer{}
		c.peers[address] = p
	}
	return p
}

// Call sends a call to the agent at address and waits for its reply for at most
// timeout.
func (c *Client) Call(ctx context.Context, address string, call *group.Call, timeout clock.Millis) (*group.Reply, error) {
	p := c.peer(address)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply, err := p.exchange(ctx, address, call, timeout)
	if err != nil {
		p.close()
		return nil, fmt.Errorf("%w: %s: %w", ErrNoReply, address, err)
	}
	return reply, nil
}

func (p *peer) close() {
	if p.conn != nil {
		_ = p.conn.Close()
		p.conn = nil
	}
}

func (p *peer) exchange(ctx context.Context, address string, call *group.Call, timeout clock.Millis) (*group.Reply, error) {
	if p.conn == nil {
		dialer := net.Dialer{Timeout: dialTimeout.Duration()}
		conn, err := dialer.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		p.conn, p.reader = conn, bufio.NewReader(conn)
	}
	conn := p.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(timeout.Duration()))
	p.sequence++
	out, err := frame.Append(nil, frame.NewID(0, p.sequence), &frame.RankCall{Call: *call})
	if err != nil {
		return nil, err
	}
	if _, err := conn.Write(out); err != nil {
		return nil, err
	}
	id, m, err := frame.Read(p.reader)
	if err != nil {
		return nil, err
	}
	reply, ok := m.(*frame.RankReply)
	if !ok || id.Sequence() != p.sequence {
		return nil, frame.ErrMalformed
	}
	return &reply.Reply, nil
}
