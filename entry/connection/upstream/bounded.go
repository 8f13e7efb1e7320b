package upstream

import (
	"io"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
)

const (
	// maxHeadBytes bounds the head of a response. Without a bound an upstream that
	// sends a head without end fills the memory of the process.
	maxHeadBytes = 32 << 10
	// headCompletionTimeout bounds the time from the first byte of a head to its end.
	headCompletionTimeout = clock.Second
	// maxDiscardBytes bounds the body of a response to another request that is
	// discarded so that the connection can be used on.
	maxDiscardBytes = 64 << 10
	// unbounded is the value of boundedReader.remaining outside of heads.
	unbounded = -1
)

// errHeadTooLarge means that the head of a response exceeds maxHeadBytes.
var errHeadTooLarge = errors.New("head of the response is too large")

// boundedReader fails once more than remaining bytes have been read.
type boundedReader struct {
	source    io.Reader
	remaining int
}

// Read implements io.Reader.
func (r *boundedReader) Read(b []byte) (int, error) {
	if r.remaining == unbounded {
		return r.source.Read(b)
	}
	if r.remaining == 0 {
		return 0, errHeadTooLarge
	}
	n, err := r.source.Read(b[:min(len(b), r.remaining)])
	r.remaining -= n
	return n, err
}

// discardBody reads a body that nobody waits for to its end. It fails if the body
// exceeds maxDiscardBytes.
func discardBody(body io.Reader) error {
	n, err := io.Copy(io.Discard, io.LimitReader(body, maxDiscardBytes+1))
	if err == nil && n > maxDiscardBytes {
		return ErrMalformed
	}
	return err
}
