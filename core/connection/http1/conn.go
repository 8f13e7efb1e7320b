package http1

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"goldcrestshore/core/connection/connlimit"
	"goldcrestshore/core/process/reserve"
)

// Memory of one head.
const (
	// fieldBytes is the memory of one field of a head: its strings, and its place in the maps of
	// the request that arrives and of the one that is sent on.
	fieldBytes = 256
	// freeHeadBytes is the memory of a head that is not counted. It is part of what a connection
	// takes, and ordinary heads take no more.
	freeHeadBytes = 16 << 10
)

// writePieceBytes is how much a caller has to read within the time limit for reading.
const writePieceBytes = 16 << 10

// conn is the connection of a caller.
type conn struct {
	*connlimit.Conn
	server *Server
	phase  atomic.Int32
	// head is the memory of the current head.
	head *reserve.Share

	// mu guards the fields below: while a request is being served, the library reads a byte to see
	// whether the caller is still there.
	mu     sync.Mutex
	framer framer
	// ahead holds bytes that have arrived but belong to the next part.
	ahead []byte
	// sentAhead is set once bytes of the next request have been read before the response was sent.
	sentAhead bool
	// counted is the memory that counts for head.
	counted int64
}

func newConn(s *Server, c *connlimit.Conn) *conn {
	out := &conn{Conn: c, server: s}
	out.head = s.headMemory.NewShare(s.MaxHeadMemoryBytes, out.giveWay)
	out.enter(phaseNew)
	return out
}

// connKey is the key of a request's conn in its context.
type connKey struct{}

// connOf returns the connection of a request, nil if its server is none of this package.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Received tells that the request with this context has been received completely. From then on its
// connection is not closed in favour of others.
func Received(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.head.End()
		c.enter(phaseServing)
	}
}

// CloseUnread closes the connection of the request with this context, because what its caller has not
// read yet takes memory that others need.
func CloseUnread(ctx context.Context) {
	if c := connOf(ctx); c != nil {
		c.server.count(ClosedUnread)
		_ = c.Close() // the caller sees a response that is not complete, whatever this returns
	}
}

// giveWay closes a connection whose head takes memory that others need.
func (c *conn) giveWay() {
	c.server.count(ClosedHeadMemory)
	_ = c.Close() // the caller sees a closed connection, whatever this returns
}

// enter starts a phase.
func (c *conn) enter(p phase) {
	c.phase.Store(int32(p))
	c.SetState(p.state(), p.limit(c.server.Timeouts()))
}

// Read implements net.Conn. It returns no bytes beyond the end of the current part of a request.
func (c *conn) Read(p []byte) (int, error) {
	p, n := c.readAhead(p)
	var err error
	if n == 0 {
		n, err = c.Conn.Read(p)
	}
	n, ok := c.take(p[:n])
	if !ok {
		c.giveWay()
		return 0, net.ErrClosed
	}
	return n, err
}

// readAhead moves bytes that have arrived before into p and returns their number. It also returns the
// part of p that may be read into.
func (c *conn) readAhead(p []byte) ([]byte, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p = p[:min(int64(len(p)), c.framer.maxRead())]
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return p, n
}

// take returns how many of the bytes that have arrived belong to the current part, and keeps the others
// for the next one. It reports whether the connection may go on.
func (c *conn) take(arrived []byte) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isHead := c.framer.part == partHead
	n := c.framer.take(arrived)
	if n < len(arrived) {
		c.ahead = slices.Concat(arrived[n:], c.ahead)
	}
	return n, n == 0 || !isHead || c.countHead()
}

// countHead counts the memory of the current head. It reports whether the connection may go on. It must
// be called with mu held.
func (c *conn) countHead() bool {
	switch phase(c.phase.Load()) {
	case phaseNew, phaseIdle:
		c.enter(phaseHead)
		c.head.Begin()
	case phaseBody, phaseServing:
		c.sentAhead = true
		return true // a byte or two, which are not worth counting
	}
	size := max(c.framer.headBytes+c.framer.headLines*fieldBytes-freeHeadBytes, 0)
	more := size - c.counted
	c.counted = size
	return more <= 0 || c.head.Grow(more)
}

// begin starts the request whose head is complete. length is that of its body, negative for chunks.
func (c *conn) begin(length int64) {
	c.mu.Lock()
	c.framer.bodyFollows(length)
	c.mu.Unlock()
	c.enter(phaseBody)
}

// EndAhead makes the response end the connection of a caller that has sent more on it than the request
// q, whose body has been read.
func EndAhead(w http.ResponseWriter, q *http.Request) {
	if c := connOf(q.Context()); c != nil && c.hasAhead() {
		w.Header().Set("Connection", "close")
	}
}

// hasAhead reports whether bytes have arrived that follow the current request.
func (c *conn) hasAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sentAhead || len(c.ahead) > 0
}

// end makes the connection idle after a response. If others wait for a connection, one whose caller
// has sent the next request ahead ends: it would never be idle.
func (c *conn) end() {
	if c.hasAhead() && c.server.conns.Crowded() {
		c.server.count(ClosedAhead)
		_ = c.Close() // the caller sees a closed connection, whatever this returns
		return
	}
	c.head.Release()
	c.mu.Lock()
	c.counted, c.sentAhead, c.framer = 0, false, framer{}
	c.mu.Unlock()
	c.enter(phaseIdle)
}

// Write implements net.Conn. It fails if the caller reads nothing for too long.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	c.SetState(connlimit.Sending, 0)
	defer func() { c.enter(phase(c.phase.Load())) }()
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		_ = c.SetWriteDeadline(time.Now().Add(c.server.Timeouts().Write.Duration())) // a closed connection fails the write
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}
