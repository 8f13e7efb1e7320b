// Package body holds the bodies of requests and responses while they are read and forwarded, and
// bounds the memory of all of them together.
package body

import (
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/reserve"
)

// Errors of Buffer.Fill, for use with errors.Is.
var (
	// ErrMemoryFull means that the body gave way because all bodies together exceed their
	// limit.
	ErrMemoryFull = errors.New("bodies exceed their total memory limit")
	// ErrTooLarge means that the body itself exceeds its limit.
	ErrTooLarge = errors.New("body exceeds its limit")
)

// Memory counts the memory of buffers. The zero value is ready to use. It is safe for concurrent use.
type Memory struct{ reserve.Memory }

// NewBuffer returns an empty buffer. Reserving memory for it fails or makes others give way once all
// buffers exceed limit bytes. giveWay ends a read in progress; it is called at most once, from any
// goroutine.
func (m *Memory) NewBuffer(limit int64, giveWay func()) *Buffer {
	return &Buffer{share: m.NewShare(limit, giveWay)}
}
