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

// bodyBudget bounds the total memory of the request bodies of all callers, from
// the start of reading a body until its request ends.
type bodyBudget struct {
	free *semaphore.Weighted
}

func newBodyBudget(maxBytes int64) *bodyBudget {
	return &bodyBudget{semaphore.NewWeighted(maxBytes)}
}

// read returns the body of req and a function that releases its memory. A body of
// unknown length reserves MaxBodyBytes until it has been read.
func (b *bodyBudget) read(w http.ResponseWriter, req *http.Request) ([]byte, func(), error) {
	if req.ContentLength > MaxBodyBytes {
		return nil, nil, errors.Wrapf(refuse(outcome.BadRequest), "body of %d bytes", req.ContentLength)
	}
	reserved := req.ContentLength
	if reserved < 0 {
		reserved = MaxBodyBytes
	}
	if !b.free.TryAcquire(reserved) {
		return nil, nil, outcome.Refuse(outcome.Overloaded, outcome.NotRun, int64(clock.Second))
	}
	body, err := readBody(w, req, reserved)
	if err != nil {
		b.free.Release(reserved)
		return nil, nil, err
	}
	retained := int64(len(body))
	b.free.Release(reserved - retained)
	return body, func() { b.free.Release(retained) }, nil
}

func readBody(w http.ResponseWriter, req *http.Request, sizeHint int64) ([]byte, error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout.Duration()))
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	var body bytes.Buffer
	if req.ContentLength > 0 {
		body.Grow(int(sizeHint))
	}
	if _, err := io.Copy(&body, http.MaxBytesReader(w, req.Body, MaxBodyBytes)); err != nil {
		return nil, errors.Wrapf(refuse(outcome.BadRequest), "read body: %v", err)
	}
	return body.Bytes(), nil
}
