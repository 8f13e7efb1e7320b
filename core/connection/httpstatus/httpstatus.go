// Package httpstatus checks the statuses of HTTP responses that other processes send. The HTTP
// library takes any three digits for a status, and any from 100 to 199 for that of an interim
// response, which another one follows.
package httpstatus

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// ErrMalformed means that no HTTP response has such a head.
var ErrMalformed = errors.New("malformed head of a response")

// MaxInterim is the number of interim responses before a final one after which a call fails.
const MaxInterim = 3

const (
	minFinal = 200
	maxFinal = 599
)

// CheckFinal returns ErrMalformed unless a final response can have a status.
func CheckFinal(status int) error {
	if status < minFinal || status > maxFinal {
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	return nil
}

// IsFinal reports whether a response is not an interim one. It may still be malformed.
func IsFinal(status int) bool { return status < http.StatusContinue || status >= minFinal }

// contentHeaders state a body, which an interim response does not have. A response with a body
// whose status is read as that of an interim response would let its body pass for the next head.
var contentHeaders = []string{"Content-Length", "Transfer-Encoding", "Content-Type"}

// CheckInterim returns ErrMalformed unless an interim response can have a status and a header, and
// is at most the MaxInterim-th one. No caller asks for other protocols, so that 101 is none.
func CheckInterim(status int, header http.Header, count int) error {
	if count > MaxInterim {
		return errors.Wrapf(ErrMalformed, "more than %d interim responses", MaxInterim)
	}
	switch status {
	case http.StatusContinue, http.StatusProcessing, http.StatusEarlyHints:
	default:
		return errors.Wrapf(ErrMalformed, "status %03d", status)
	}
	for _, name := range contentHeaders {
		if header.Get(name) != "" {
			return errors.Wrapf(ErrMalformed, "status %d with %s", status, name)
		}
	}
	return nil
}
