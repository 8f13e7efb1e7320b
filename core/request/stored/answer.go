// Package stored has the small answers that are kept for callers who send a key
// again.
package stored

import "goldcrestshore/core/connection/frame"

// Answer is a whole answer of an upstream.
type Answer struct {
	status int
	header []frame.Field
	body   []byte
}

// New returns an answer.
func New(status int, header []frame.Field, body []byte) Answer { return Answer{status, header, body} }

// Status returns the HTTP status; 0 means that no answer is stored.
func (a Answer) Status() int { return a.status }

// Header returns the header lines.
func (a Answer) Header() []frame.Field { return a.header }

// Body returns the body.
func (a Answer) Body() []byte { return a.body }

// Size returns the bytes that the answer takes in memory and in the claim log.
func (a Answer) Size() int {
	n := len(a.body)
	for _, f := range a.header {
		n += len(f.Name()) + len(f.Value())
	}
	return n
}
