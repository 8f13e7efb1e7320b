package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

// maxStrayAnswers bounds the answers to other requests that are skipped before
// that to the own one.
const maxStrayAnswers = 3

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// IDHeader names the header that carries the request's id; an upstream
	// repeats it in its answer.
	IDHeader string
	ID       string
	// MaxIdle bounds how long a kept connection may have been idle. The peer may
	// have closed an older one, and a request that is lost that way may not be
	// sent again.
	MaxIdle clock.Millis
	// HeadTimeout bounds the time until the head of the answer arrives; 0 for
	// no bound but that of the context.
	HeadTimeout clock.Millis
	// Stalled is asked each stallCheck while no byte of an answer has arrived, if
	// set. When it returns true the exchange ends with ErrStalled.
	Stalled func() bool
}

// stallCheck is the time between two questions whether an upstream is stalled.
const stallCheck clock.Millis = 100

// encode returns the request as it is sent.
func (r *Request) encode() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}

// Answer is the answer of an upstream. Its body must be read to the end or
// closed.
type Answer struct {
	Status int
	Header http.Header

	pool    *Pool
	address string
	conn    *conn
	body    io.ReadCloser
	release func() bool
	close   bool
	ended   bool
}

// Read reads the body. Any error but io.EOF means that the answer is not whole.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	switch {
	case err == io.EOF:
		a.finish()
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return n, err
}

// ReadWithin sets the time until which further reads of the body may wait.
func (a *Answer) ReadWithin(d clock.Millis) { _ = a.conn.SetReadDeadline(time.Now().Add(d.Duration())) }

// finish keeps the connection when the answer is complete and the upstream
// leaves it open.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	stopped := a.release()
	if a.close || !stopped || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.conn.learnIdle(a.Header)
	a.pool.put(a.address, a.conn)
}

// Close gives up the rest of the answer and closes its connection, which tells
// the upstream to stop.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.release()
	a.conn.abort()
}

// Exchange sends a request and returns the head of its answer. The connection
// is closed when ctx ends before the body was read.
func (p *Pool) Exchange(ctx context.Context, address string, r *Request) (*Answer, error) {
	c := p.take(address, r.MaxIdle)
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
	release := context.AfterFunc(ctx, c.abort)
	a, err := p.send(c, r)
	if err != nil {
		release()
		c.abort()
		return nil, errors.Wrapf(err, "upstream %s", address)
	}
	a.pool, a.address, a.conn, a.release = p, address, c, release
	return a, nil
}

func (p *Pool) send(c *conn, r *Request) (*Answer, error) {
	_ = c.SetDeadline(time.Time{})
	if r.HeadTimeout > 0 {
		_ = c.SetDeadline(time.Now().Add(r.HeadTimeout.Duration()))
	}
	n, err := c.Write(r.encode())
	if err != nil {
		if n == 0 {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	a, err := readAnswer(c, r)
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Time{})
	return a, nil
}

// readAnswer reads answers until that to the request: one to an earlier request
// may arrive late.
func readAnswer(c *conn, r *Request) (*Answer, error) {
	for range maxStrayAnswers {
		if err := awaitByte(c, r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fmt.Errorf("%w: %w: %w", ErrBroken, ErrMalformed, err)
		}
		if resp.StatusCode < 200 {
			continue
		}
		if id := resp.Header.Get(r.IDHeader); r.ID == "" || id == r.ID {
			return newAnswer(resp), nil
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w: answer belongs to another request", ErrBroken, ErrMalformed)
}

// awaitByte waits until a byte of an answer has arrived.
func awaitByte(c *conn, r *Request) error {
	if r.Stalled == nil {
		_, err := c.reader.Peek(1)
		return err
	}
	end := time.Now().Add(r.HeadTimeout.Duration())
	for {
		next := time.Now().Add(stallCheck.Duration())
		if next.After(end) {
			next = end
		}
		_ = c.SetReadDeadline(next) // a closed connection fails the read
		_, err := c.reader.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(end) {
			_ = c.SetReadDeadline(end)
			return err
		}
		if r.Stalled() {
			return ErrStalled
		}
	}
}

func newAnswer(resp *http.Response) *Answer {
	return &Answer{Status: resp.StatusCode, Header: resp.Header, body: resp.Body, close: resp.Close}
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns the headers of a message that are meant for its receiver.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := h["Connection"]
	for name, values := range h {
		if slices.Contains(hopHeaders, name) || namedByConnection(named, name) {
			continue
		}
		out[name] = values
	}
	return out
}

func namedByConnection(values []string, name string) bool {
	for _, v := range values {
		for _, token := range bytes.Split([]byte(v), []byte{','}) {
			if http.CanonicalHeaderKey(string(bytes.TrimSpace(token))) == name {
				return true
			}
		}
	}
	return false
}
