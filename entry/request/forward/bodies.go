package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errBodyMemoryExhausted means that the bodies of all requests take the room they may.
var errBodyMemoryExhausted = errors.New("request bodies take all the memory that they may")

// defaultMaxTotalBodyBytes bounds all bodies when the server has no setting.
const defaultMaxTotalBodyBytes = 64 << 20

// bodyMemory counts the bytes of the request bodyMemory that an entry holds.
type bodyMemory struct {
	inUse atomic.Int64
}

// bodyReader counts what is read from a body against a limit over all bodies.
type bodyReader struct {
	source io.Reader
	memory *bodyMemory
	limit  int64
	// counted is what this body holds; it is returned when the request ends.
	counted int64
}

// Read implements io.Reader and fails with errBodiesFull.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.counted += int64(n)
	if r.memory.inUse.Add(int64(n)) > r.limit {
		return n, errBodyMemoryExhausted
	}
	return n, err
}

// release returns what the body has taken.
func (r *bodyReader) release() { r.memory.inUse.Add(-r.counted) }
