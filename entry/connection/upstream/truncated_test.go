package upstream

import (
	"strconv"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against a response that is taken for complete although the upstream stopped within
// its head, or within its body where the head states a length.
func TestTruncatedResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Signature: s\r\n"
	for name, response := range map[string]string{
		"length":                        head + "Content-Length: 12\r\n\r\nall of a bod",
		"empty body":                    head + "Content-Length: 0\r\n\r\n",
		"chunks":                        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n",
		"ends with the connection":      head + "\r\n",
		"folded header line":            head + "X-Long: a\r\n b\r\n\r\n",
		"interim response":              "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 0\r\n\r\n",
		"behind another's response":     reply("r0", "old") + head + "Content-Length: 0\r\n\r\n",
		"line feeds alone as line ends": "HTTP/1.1 200 OK\nRequest-Id: r1\nContent-Length: 0\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			for n := range len(response) {
				p := serve(t, []string{response[:n]})
				body, err := exchange(&Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1")
				check.Equal(t, "fails after "+strconv.Itoa(n)+" bytes, body "+strconv.Quote(body), err != nil, true)
			}
			p := serve(t, []string{response})
			_, err := exchange(&Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1")
			check.NoError(t, "whole response", err)
		})
	}
}
