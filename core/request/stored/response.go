// Package stored defines the small responses that are kept for callers that
// retry with the same idempotency key.
package stored

import "goldcrestshore/core/connection/frame"

// Response is a complete response of an upstream.
type Response struct {
	status int
	header []frame.Field
	body   []byte
}

// New returns a Response.
func New(status int, header []frame.Field, body []byte) Response {
	return Response{status, header, body}
}

// Status returns the HTTP status. 0 means that no response is stored.
func (r Response) Status() int { return r.status }

// Header returns the header lines.
func (r Response) Header() []frame.Field { return r.header }

// Body returns the body.
func (r Response) Body() []byte { return r.body }

// Size returns the number of bytes that the response takes in memory and in the
// claim log.
func (r Response) Size() int {
	n := len(r.body)
	for _, f := range r.header {
		n += len(f.Name()) + len(f.Value())
	}
	return n
}
