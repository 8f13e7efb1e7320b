package httpservice

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
)

// freshTransport closes its idle connections when a call gets no response in time, so that the
// next call opens a connection: whatever made one connection silent may have made its idle
// neighbours silent, and only a call on each would show it.
type freshTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *freshTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(q)
	t.check(err)
	if err == nil {
		resp.Body = &freshBody{resp.Body, t}
	}
	return resp, err
}

// check closes idle connections if err means that a response is missing.
func (t *freshTransport) check(err error) {
	if errors.Is(err, context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
}

// freshBody is the body of a response of a freshTransport.
type freshBody struct {
	io.ReadCloser
	transport *freshTransport
}

// Read implements io.Reader.
func (b *freshBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.transport.check(err)
	return n, err
}
