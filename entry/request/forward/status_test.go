package forward

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
)

// malformedStatus returns a signed response with a status that is none, whose body is a response.
func malformedStatus(status string) responder {
	return func(q *http.Request) string {
		body := respondOK("foreign")(q)
		return fmt.Sprintf("HTTP/1.1 %s X\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: %d\r\n\r\n%s", status, q.Header.Get("X-Id"), len(body), body)
	}
}

// Guards against callers that get a response whose status is none, that wait until their deadline
// for another one, or that get its body as a response.
func TestMalformedStatus(t *testing.T) {
	const atOnce = time.Second
	for _, status := range []string{"000", "099", "+00", "100", "101", "199", "600", "999"} {
		for _, tc := range []struct {
			path string
			then []responder
			want int
			body string
		}{
			{"/once/", nil, http.StatusBadGateway, ""},
			{"/again/", []responder{respondOK("own")}, http.StatusOK, "own"},
			{"/stream/", []responder{respondEvents(true, eventOne)}, http.StatusOK, eventOne},
		} {
			t.Run(status+", "+tc.path, func(t *testing.T) {
				s := newTestEntry(t, append([]responder{malformedStatus(status)}, tc.then...)...)
				start := time.Now()
				got := s.call(t, tc.path, nil)
				check.NoError(t, "call", got.err)
				check.Equal(t, "status", got.status, tc.want)
				check.Equal(t, "signature of a failure", got.status != http.StatusOK && got.header.Get("X-Signature") != "", false)
				check.Equal(t, "own response", got.body == tc.body || tc.want != http.StatusOK, true)
				check.AtMost(t, "ms", time.Since(start).Milliseconds(), atOnce.Milliseconds())
			})
		}
		t.Run(status+", resumed stream", func(t *testing.T) {
			s := newTestEntry(t, closing([]responder{respondEvents(false, eventOne), malformedStatus(status)})...)
			got := s.call(t, "/stream/", nil)
			check.Equal(t, "body", got.body, eventOne)
			check.Equal(t, "response looks complete", got.err == nil, false)
		})
	}
}
