package stored

import "goldcrestshore/core/connection/frame"

// MaxResponseBytes is the largest answer that agents keep and the claim log stores.
const MaxResponseBytes = 4 << 10

// Capture keeps a small answer while it passes. The zero value is empty.
type Capture struct {
	status   int
	header   []frame.Field
	body     []byte
	tooLarge bool
}

// Head begins a fresh answer.
func (c *Capture) Head(status int, header []frame.Field) {
	*c = Capture{status: status, header: header}
}

// Add keeps the next body bytes unless the answer has become too large.
func (c *Capture) Add(p []byte) {
	if c.tooLarge || len(c.body)+len(p) > MaxResponseBytes {
		c.tooLarge, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// TooLarge tells that the answer is too large to be kept.
func (c *Capture) TooLarge() bool { return c.tooLarge }

// Answer returns what was kept; its status is 0 if the answer was too large or
// has not begun.
func (c *Capture) Answer() Answer {
	if c.tooLarge {
		return Answer{}
	}
	return New(c.status, c.header, c.body)
}
