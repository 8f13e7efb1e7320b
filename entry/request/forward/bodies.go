package forward

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// errBodiesFull means that the bodies of all requests take the room they may.
var errBodiesFull = errors.New("request bodies take all the memory that they may")

// defaultBodyBytes bounds all bodies when the server has no setting.
const defaultBodyBytes = 64 << 20

// bodies counts the bytes of the request bodies that an entry holds.
type bodies struct {
	held atomic.Int64
}

// bodyReader counts what is read from a body against a limit over all bodies.
type bodyReader struct {
	from  io.Reader
	all   *bodies
	limit int64
	// taken is what this body holds; it is returned when the request ends.
	taken int64
}

// Read implements io.Reader and fails with errBodiesFull.
func (r *bodyReader) Read(b []byte) (int, error) {
	n, err := r.from.Read(b)
	r.taken += int64(n)
	if r.all.held.Add(int64(n)) > r.limit {
		return n, errBodiesFull
	}
	return n, err
}

// release returns what the body has taken.
func (r *bodyReader) release() { r.all.held.Add(-r.taken) }
