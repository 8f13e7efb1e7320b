package httpservice

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/connection/httpstatus"
	"goldcrestshore/core/process/check"
)

// respond serves connections with the same response to each request.
func respond(t *testing.T, response string) string {
	t.Helper()
	return check.ServeConns(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, response)
		}
	}).Addr().String()
}

// Guards against calls of the platform, of upstreams and of ranks that take a response for one
// although its status is none, or the body of such a response for the next one.
func TestStatus(t *testing.T) {
	const answer = "HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nown"
	withStatus := func(status string) string {
		return fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(answer), answer)
	}
	for _, tc := range []struct {
		response string
		want     error
	}{
		{answer, nil},
		{"HTTP/1.1 100 X\r\n\r\n" + answer, nil},
		{"HTTP/1.1 103 X\r\nLink: </x>\r\n\r\n" + answer, nil},
		{strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 4) + answer, httpstatus.ErrMalformed},
		{withStatus("000"), httpstatus.ErrMalformed},
		{withStatus("099"), httpstatus.ErrMalformed},
		{withStatus("+00"), httpstatus.ErrMalformed},
		{withStatus("100"), httpstatus.ErrMalformed},
		{withStatus("101"), httpstatus.ErrMalformed},
		{withStatus("199"), httpstatus.ErrMalformed},
		{withStatus("600"), httpstatus.ErrMalformed},
		{withStatus("999"), httpstatus.ErrMalformed},
	} {
		t.Run(strings.ReplaceAll(tc.response, "\r\n", " "), func(t *testing.T) {
			service := New("test", &http.Client{Timeout: 2 * time.Second}, &http.Transport{})
			q, err := http.NewRequest(http.MethodGet, "http://"+respond(t, tc.response), nil)
			check.NoError(t, "NewRequest", err)
			resp, err := service.DoRequest(q)
			check.Is(t, "call", err, tc.want)
			if err != nil {
				return
			}
			defer resp.Body.Close()
			body, err := io.ReadAll(resp.Body)
			check.NoError(t, "body", err)
			check.Equal(t, "body", string(body), "own")
		})
	}
}
