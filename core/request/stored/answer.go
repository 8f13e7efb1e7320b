// Package stored defines the small responses that are kept for callers that
// retry with the same idempotency key.
package stored

import "goldcrestshore/core/connection/frame"

// Answer is a complete response of an upstream.
type Answer struct {
	status int
	header []frame.Field
	body   []byte
}

// New returns an Answer.
func New(status int, header []frame.Field, body []byte) Answer { return Answer{status, header, body} }

// Status returns the HTTP status. 0 means that no response is stored.
func (a Answer) Status() int { return a.status }

// Header returns the header lines.
func (a Answer) Header() []frame.Field { return a.header }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Size returns the number of bytes that the response takes in memory and in the
// claim log.
func (a Answer) Size() int {
	n := len(a.body)
	for _, f := range a.header {
		n += len(f.Name()) + len(f.Value())
	}
	return n
}
