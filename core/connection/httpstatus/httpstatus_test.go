package httpstatus

import (
	"fmt"
	"net/http"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a status that callers get although it is none, and against sound responses that
// are refused.
func TestCheckFinal(t *testing.T) {
	for status, want := range map[int]error{
		-1: ErrMalformed, 0: ErrMalformed, 99: ErrMalformed, 100: ErrMalformed, 199: ErrMalformed,
		200: nil, 204: nil, 299: nil, 404: nil, 421: nil, 503: nil, 599: nil, 600: ErrMalformed, 999: ErrMalformed,
	} {
		t.Run(fmt.Sprint(status), func(t *testing.T) { check.Is(t, "CheckFinal", CheckFinal(status), want) })
	}
}

// Guards against a final response that passes for an interim one, so that its body is read as the
// next response.
func TestCheckInterim(t *testing.T) {
	for _, tc := range []struct {
		status int
		header string
		count  int
		want   error
	}{
		{100, "X-Any", 1, nil},
		{102, "X-Any", MaxInterim, nil},
		{103, "Link", 1, nil},
		{100, "X-Any", MaxInterim + 1, ErrMalformed},
		{101, "Upgrade", 1, ErrMalformed},
		{104, "X-Any", 1, ErrMalformed},
		{199, "X-Any", 1, ErrMalformed},
		{100, "Content-Length", 1, ErrMalformed},
		{100, "Transfer-Encoding", 1, ErrMalformed},
		{103, "Content-Type", 1, ErrMalformed},
	} {
		t.Run(fmt.Sprint(tc.status, " ", tc.header, " ", tc.count), func(t *testing.T) {
			check.Is(t, "CheckInterim", CheckInterim(tc.status, http.Header{tc.header: {"x"}}, tc.count), tc.want)
			check.Equal(t, "is final", IsFinal(tc.status), false)
		})
	}
	for _, status := range []int{0, 99, 200, 600} {
		check.Equal(t, fmt.Sprint(status, " is final"), IsFinal(status), true)
	}
}
