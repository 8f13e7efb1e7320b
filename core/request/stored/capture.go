package stored

import "goldcrestshore/core/connection/frame"

// MaxBytes is the largest answer that agents keep and the claim log stores.
const MaxBytes = 4 << 10

// Capture keeps a small answer while it passes. The zero value is empty.
type Capture struct {
	status int
	header []frame.Field
	body   []byte
	large  bool
}

// Head begins a fresh answer.
func (c *Capture) Head(status int, header []frame.Field) {
	*c = Capture{status: status, header: header}
}

// Add keeps the next body bytes unless the answer has become too large.
func (c *Capture) Add(p []byte) {
	if c.large || len(c.body)+len(p) > MaxBytes {
		c.large, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// Large tells that the answer is too large to be kept.
func (c *Capture) Large() bool { return c.large }

// Answer returns what was kept; its status is 0 if the answer was too large or
// has not begun.
func (c *Capture) Answer() Answer {
	if c.large {
		return Answer{}
	}
	return New(c.status, c.header, c.body)
}
