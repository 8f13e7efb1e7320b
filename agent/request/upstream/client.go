// Package upstream sends requests to the engine or plain service next to the
// agent.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/httpservice"
)

// Errors of Run.
var (
	// ErrNotStarted reports a call that cannot have reached the upstream.
	ErrNotStarted = errors.New("upstream did not receive the call")
	// ErrInterrupted reports a response that ended before it was complete, or a
	// call that failed after it may have reached the upstream.
	ErrInterrupted = errors.New("upstream response was interrupted")
	// ErrMalformed reports an event stream that does not follow its format.
	ErrMalformed = errors.New("upstream sent a malformed event stream")
)

const (
	dialTimeout     = 1 * time.Second
	copyBufferBytes = 4 << 10
	// transportBufferBytes is the size of the read and write buffers of
	// http.Transport for each connection. A slow reader keeps them in use.
	transportBufferBytes = 1 << 10
)

// Headers of the engine's interface.
const (
	requestIDHeader    = "X-Request-Id"
	priorityHeader     = "X-Priority"
	resumeHeader       = "X-Resume-Offset"
	incarnationHeader  = "X-Incarnation"
	eventStreamType    = "text/event-stream"
	contentTypeHeader  = "Content-Type"
	contentLenHeader   = "Content-Length"
	idempotencyHeader  = "Idempotency-Key"
	idempotencyHeaderX = "X-Idempotency-Key"
)

// hopHeaders apply to a single connection and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, contentLenHeader: true,
}

// ResponseWriter receives the response of the upstream.
type ResponseWriter interface {
	Head(head *frame.ResponseHead)
	io.Writer
}

// Client calls one upstream.
type Client struct {
	address string
	service httpc.Service
}

// New returns a client of the upstream at address, an IP address and a port.
//
// No connection is used twice. A response does not name its call, so that one which an engine
// writes once more would be taken for that of the next call; and on a reused connection
// http.Transport may send a request a second time by itself.
func New(address string) *Client {
	name := "upstream " + address
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, DisableKeepAlives: true,
		ReadBufferSize: transportBufferBytes, WriteBufferSize: transportBufferBytes,
	}
	return &Client{address: address, service: httpservice.New(name, &http.Client{CheckRedirect: noRedirect}, transport)}
}

// noRedirect returns a redirect to the caller; following it could run the call
// a second time.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Run performs the call of m as request id and copies the response to w. An
// event stream that is interrupted is resumed if the engine still holds it.
func (c *Client) Run(ctx context.Context, id string, m *frame.Submit, w ResponseWriter) error {
	response, err := c.send(ctx, id, m, resumption{})
	if err != nil {
		return err
	}
	w.Head(frame.NewResponseHead(response.StatusCode, forwardHeader(response.Header)))
	if !isEventStream(response) {
		defer response.Body.Close()
		return copyBody(w, response)
	}
	return c.copyEvents(ctx, id, m, w, response)
}

// resumption is the point at which an event stream is resumed. An engine of
// another incarnation refuses it, so that a request that has crashed the engine
// is not sent to its replacement.
type resumption struct {
	events      int
	incarnation string
}

func (c *Client) send(ctx context.Context, id string, m *frame.Submit, r resumption) (*http.Response, error) {
	request, err := c.newRequest(ctx, id, m, r)
	if err != nil {
		return nil, errors.Wrapf(ErrNotStarted, "build request: %v", err)
	}
	response, err := c.service.DoRequest(request)
	if err != nil {
		return nil, classify(err)
	}
	return response, nil
}

func (c *Client) newRequest(ctx context.Context, id string, m *frame.Submit, r resumption) (*http.Request, error) {
	call := m.Call()
	url := "http://" + c.address + call.Path()
	request, err := http.NewRequestWithContext(ctx, call.Method(), url, bytes.NewReader(call.Body()))
	if err != nil {
		return nil, err
	}
	for _, f := range call.Header() {
		request.Header.Add(f.Name(), f.Value())
	}
	request.Header.Set(requestIDHeader, id)
	request.Header.Set(priorityHeader, strconv.Itoa(m.RequestOptions().Priority()))
	if r.events > 0 {
		request.Header.Set(resumeHeader, strconv.Itoa(r.events))
		request.Header.Set(incarnationHeader, r.incarnation)
	}
	if !m.RequestOptions().Idempotent() {
		request.GetBody = nil
		request.Header.Del(idempotencyHeader)
		request.Header.Del(idempotencyHeaderX)
	}
	return request, nil
}

// classify distinguishes a call that never reached the upstream from one that
// may have reached it.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return errors.Wrapf(ErrNotStarted, "%v", err)
	}
	return errors.Wrapf(ErrInterrupted, "%v", err)
}

func forwardHeader(h http.Header) []frame.Field {
	var fields []frame.Field
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, frame.NewField(name, v))
		}
	}
	return fields
}

func isEventStream(r *http.Response) bool {
	return strings.HasPrefix(r.Header.Get(contentTypeHeader), eventStreamType)
}

func copyBody(w ResponseWriter, r *http.Response) error {
	n, err := io.CopyBuffer(writerOnly{w}, r.Body, make([]byte, copyBufferBytes))
	if err != nil {
		return errors.Wrapf(ErrInterrupted, "after %d bytes: %v", n, err)
	}
	return nil
}

// writerOnly hides the other methods of a ResponseWriter from io.CopyBuffer.
type writerOnly struct{ io.Writer }

// RequestID formats a request ID for the header of a call.
func RequestID(id frame.ID) string {
	return fmt.Sprintf("%016x-%d", id.Incarnation(), id.Sequence())
}
