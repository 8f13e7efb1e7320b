package upstream

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/httpstatus"
	"goldcrestshore/core/process/clock"
)

// maxUnmatchedResponses is the number of responses to other requests after which an
// exchange fails.
const maxUnmatchedResponses = 3

// ResponseReader has the head of an upstream's response and reads its body, which
// must be read to the end or closed.
type ResponseReader struct {
	Status int
	Header http.Header
	// Length is the length of the body, negative if the head does not state it.
	Length int64

	pool      *Pool
	address   string
	conn      *conn
	body      io.ReadCloser
	stopAbort func() bool
	close     bool
	ended     bool
	framing   Framing
}

// Framing is how a response marks the end of its body.
type Framing string

// Framings of a body.
const (
	// FramedByLength means that the length of the body is known from its head.
	FramedByLength Framing = "length"
	// FramedByChunks means that the last chunk ends the body.
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with the connection. Its end then does not
	// show that it is complete.
	FramedByClose Framing = "close"
)

// Framing returns how the end of the body is marked.
func (r *ResponseReader) Framing() Framing { return r.framing }

// Read reads the body. Any error but io.EOF means that the response is
// incomplete.
func (r *ResponseReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	switch {
	case err == io.EOF:
		r.finish()
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return n, err
}

// SetReadTimeout bounds the time that further reads of the body may take in
// total.
func (r *ResponseReader) SetReadTimeout(timeout clock.Millis) {
	_ = r.conn.SetReadDeadline(time.Now().Add(timeout.Duration()))
}

// finish returns the connection to the pool after a complete response, unless
// the upstream closes it, the context has ended, or unread bytes are left.
func (r *ResponseReader) finish() {
	if r.ended {
		return
	}
	r.ended = true
	stopped := r.stopAbort()
	if r.close || !stopped || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	_ = r.conn.SetDeadline(time.Time{})
	r.conn.updateIdleTimeout(r.Header)
	r.pool.put(r.address, r.conn)
}

// Close discards the rest of the response and resets its connection, which makes
// the upstream stop.
func (r *ResponseReader) Close() {
	if r.ended {
		return
	}
	r.ended = true
	r.stopAbort()
	r.conn.abort()
}

// Abort ends a read in progress. Unlike the other methods it may be called from any goroutine.
func (r *ResponseReader) Abort() { r.conn.abort() }

// readResponse reads responses up to the one that matches the request; one to an
// earlier request may arrive late.
func readResponse(c *conn, r *Request) (*ResponseReader, error) {
	for range maxUnmatchedResponses {
		resp, err := readFinal(c, r)
		if err != nil {
			return nil, err
		}
		if id := resp.Header.Get(r.IDHeader); r.ID == "" || id == r.ID {
			return newResponseReader(resp), nil
		}
		if err := discardBody(resp.Body); err != nil || resp.Close {
			break
		}
	}
	return nil, fmt.Errorf("%w: %w: response belongs to another request", ErrBroken, ErrMalformed)
}

// readFinal reads the next response and the interim ones before it.
func readFinal(c *conn, r *Request) (*http.Response, error) {
	for interim := 1; ; interim++ {
		if err := awaitResponse(c, r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		resp, err := readHead(c, r)
		if err != nil {
			return nil, malformed(err)
		}
		if httpstatus.IsFinal(resp.StatusCode) {
			if err := httpstatus.CheckFinal(resp.StatusCode); err != nil {
				return nil, malformed(err)
			}
			return resp, nil
		}
		if err := checkInterim(resp, interim); err != nil {
			return nil, malformed(err)
		}
	}
}

// malformed returns the error of an exchange whose response is malformed.
func malformed(err error) error { return fmt.Errorf("%w: %w: %w", ErrBroken, ErrMalformed, err) }

// checkInterim checks an interim response, whose chunked encoding is not in its header any more.
func checkInterim(resp *http.Response, count int) error {
	if len(resp.TransferEncoding) > 0 {
		resp.Header.Set("Transfer-Encoding", resp.TransferEncoding[0])
	}
	return httpstatus.CheckInterim(resp.StatusCode, resp.Header, count)
}

// readHead reads the head of a response whose first byte has arrived. It bounds the
// bytes of the head and the time until its end; the read deadline then holds for a body
// that is discarded, too.
func readHead(c *conn, r *Request) (*http.Response, error) {
	_ = c.SetReadDeadline(time.Now().Add(headCompletionTimeout.Duration())) // a closed connection fails the read
	c.source.remaining = maxHeadBytes
	defer func() { c.source.remaining = unbounded }()
	return http.ReadResponse(c.reader, &http.Request{Method: r.Method})
}

// awaitResponse waits for the first byte of a response.
func awaitResponse(c *conn, r *Request) error {
	var headDeadline time.Time // zero for none
	if r.HeadTimeout > 0 {
		headDeadline = time.Now().Add(r.HeadTimeout.Duration())
	}
	if r.ShouldFailOver == nil {
		_ = c.SetReadDeadline(headDeadline) // a closed connection fails the read
		_, err := c.reader.Peek(1)
		return err
	}
	for {
		checkDeadline := time.Now().Add(stallCheckInterval.Duration())
		if r.HeadTimeout > 0 && checkDeadline.After(headDeadline) {
			checkDeadline = headDeadline
		}
		_ = c.SetReadDeadline(checkDeadline)
		_, err := c.reader.Peek(1)
		expired := r.HeadTimeout > 0 && !time.Now().Before(headDeadline)
		if !errors.Is(err, os.ErrDeadlineExceeded) || expired {
			return err
		}
		if r.ShouldFailOver() {
			return ErrStalled
		}
	}
}

func newResponseReader(resp *http.Response) *ResponseReader {
	out := &ResponseReader{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, close: resp.Close, framing: framingOf(resp),
	}
	if resp.Body == http.NoBody {
		out.Length = 0 // the head of a response to HEAD states the length for GET
	}
	return out
}

func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return FramedByChunks
	case resp.ContentLength >= 0:
		return FramedByLength
	}
	return FramedByClose
}
