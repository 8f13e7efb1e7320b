package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errBodyMemoryExhausted means that the bodies of all requests together exceed
// their memory limit.
var errBodyMemoryExhausted = errors.New("request bodies exceed their total memory limit")

// defaultMaxTotalBodyBytes applies when Server.MaxTotalBodyBytes is 0.
const defaultMaxTotalBodyBytes = 64 << 20

// bodyMemory counts the bytes of all request bodies in memory.
type bodyMemory struct {
	inUse atomic.Int64
}

// bodyReader reads a request body and counts it against the limit on the bodies
// of all requests.
type bodyReader struct {
	source io.Reader
	memory *bodyMemory
	limit  int64
	// counted is this body's part of memory.inUse; release subtracts it.
	counted int64
}

// Read implements io.Reader. It fails with errBodyMemoryExhausted if all bodies
// together exceed the limit.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.source.Read(b)
	r.counted += int64(n)
	if r.memory.inUse.Add(int64(n)) > r.limit {
		return n, errBodyMemoryExhausted
	}
	return n, err
}

// release subtracts the body from the memory in use.
func (r *bodyReader) release() { r.memory.inUse.Add(-r.counted) }
