package stored

import "goldcrestshore/core/connection/frame"

// MaxResponseBytes is the size of the largest response that agents keep and the
// claim log stores.
const MaxResponseBytes = 4 << 10

// Capture copies a small response while it is forwarded. The zero value is empty.
type Capture struct {
	status   int
	header   []frame.Field
	body     []byte
	tooLarge bool
}

// Head discards the captured response and begins a new one.
func (c *Capture) Head(status int, header []frame.Field) {
	*c = Capture{status: status, header: header}
}

// Add captures the next body bytes unless the response is too large.
func (c *Capture) Add(p []byte) {
	if c.tooLarge || len(c.body)+len(p) > MaxResponseBytes {
		c.tooLarge, c.body = true, nil
		return
	}
	c.body = append(c.body, p...)
}

// TooLarge reports whether the response is too large to be kept.
func (c *Capture) TooLarge() bool { return c.tooLarge }

// Response returns the captured response. Its status is 0 if the response was too
// large or has not begun.
func (c *Capture) Response() Response {
	if c.tooLarge {
		return Response{}
	}
	return New(c.status, c.header, c.body)
}
