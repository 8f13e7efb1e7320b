package upstream

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the request target, path and query, as the caller sent it.
	Target string
	Host   string
	Header http.Header
	// Body holds the body in parts.
	Body [][]byte
	// IDHeader names the header that carries the request ID; an upstream
	// echoes it in its response.
	IDHeader string
	ID       string
	// MaxIdleTime bounds how long a reused connection may have been idle. The peer
	// may have closed an older one, and a request that is lost that way might not
	// be allowed to be sent again.
	MaxIdleTime clock.Millis
	// HeadTimeout bounds the time until the head of the response arrives. With 0
	// only the context bounds it.
	HeadTimeout clock.Millis
	// ShouldFailOver, if set, is called every stallCheckInterval while no byte of
	// a response has arrived. If it returns true, the exchange fails with
	// ErrStalled.
	ShouldFailOver func() bool
}

// stallCheckInterval is the time between two calls of ShouldFailOver.
const stallCheckInterval clock.Millis = 100

// maxCopiedBodyBytes is the size up to which a body is copied behind the head of its request, so
// that both are written at once.
const maxCopiedBodyBytes = 16 << 10

// bodyLen returns the length of the body.
func (r *Request) bodyLen() int {
	n := 0
	for _, part := range r.Body {
		n += len(part)
	}
	return n
}

// HasBody reports whether the body is not empty.
func (r *Request) HasBody() bool { return r.bodyLen() > 0 }

// encode returns the request in its wire format in parts, of which the first one begins with the
// head.
func (r *Request) encode() [][]byte {
	var b bytes.Buffer
	length := r.bodyLen()
	b.Grow(512 + min(length, maxCopiedBodyBytes))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if length > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	b.WriteString("\r\n")
	if length > maxCopiedBodyBytes {
		return append([][]byte{b.Bytes()}, r.Body...)
	}
	for _, part := range r.Body {
		b.Write(part)
	}
	return [][]byte{b.Bytes()}
}

// Exchange sends a request and returns its response once the head has arrived.
// The connection is reset if ctx ends before the body was read. A request without an
// ID gets a connection of its own, since any late response would pass for its own.
func (p *Pool) Exchange(ctx context.Context, address string, r *Request) (*ResponseReader, error) {
	var c *conn
	if r.ID != "" {
		c = p.get(address, r.MaxIdleTime, r.ID)
	}
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if err := ctx.Err(); err != nil {
		p.put(address, c)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c.lastID = r.ID
	stopAbort := context.AfterFunc(ctx, c.abort)
	resp, err := p.send(c, r)
	if err != nil {
		stopAbort()
		c.abort()
		return nil, errors.Wrapf(err, "upstream %s", address)
	}
	resp.pool, resp.address, resp.conn, resp.stopAbort = p, address, c, stopAbort
	return resp, nil
}

func (p *Pool) send(c *conn, r *Request) (*ResponseReader, error) {
	_ = c.SetDeadline(time.Time{})
	if r.HeadTimeout > 0 {
		_ = c.SetDeadline(time.Now().Add(r.HeadTimeout.Duration()))
	}
	if err := write(c, r.encode()); err != nil {
		return nil, err
	}
	resp, err := readResponse(c, r)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return resp, nil
}

// write writes the parts of a request.
func write(c *conn, parts [][]byte) error {
	for i, part := range parts {
		n, err := c.Write(part)
		switch {
		case err != nil && i == 0 && n == 0:
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		case err != nil:
			return fmt.Errorf("%w: %w", ErrBroken, err)
		}
	}
	return nil
}
