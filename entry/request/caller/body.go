package caller

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
)

// bodies bounds the memory that the request bodies of all callers take
// together, while they are read and until their requests end.
type bodies struct {
	free *semaphore.Weighted
}

func newBodies(bytes int64) *bodies { return &bodies{semaphore.NewWeighted(bytes)} }

// read returns the body of q and a function that gives its memory back. A body
// of unknown length takes the largest size until it has been read.
func (b *bodies) read(w http.ResponseWriter, q *http.Request) ([]byte, func(), error) {
	if q.ContentLength > MaxBodyBytes {
		return nil, nil, errors.Wrapf(refuse(outcome.BadRequest), "body of %d bytes", q.ContentLength)
	}
	reserved := q.ContentLength
	if reserved < 0 {
		reserved = MaxBodyBytes
	}
	if !b.free.TryAcquire(reserved) {
		return nil, nil, outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(clock.Second))
	}
	body, err := readBody(w, q, reserved)
	if err != nil {
		b.free.Release(reserved)
		return nil, nil, err
	}
	kept := int64(len(body))
	b.free.Release(reserved - kept)
	return body, func() { b.free.Release(kept) }, nil
}

func readBody(w http.ResponseWriter, q *http.Request, size int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout.Duration()))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var body bytes.Buffer
	if q.ContentLength > 0 {
		body.Grow(int(size))
	}
	if _, err := io.Copy(&body, http.MaxBytesReader(w, q.Body, MaxBodyBytes)); err != nil {
		return nil, errors.Wrapf(refuse(outcome.BadRequest), "read body: %v", err)
	}
	return body.Bytes(), nil
}
