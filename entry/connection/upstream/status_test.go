package upstream

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// withStatus returns a response with a status that is no number, or with more fields.
func withStatus(status, fields, body string) string {
	return fmt.Sprintf("HTTP/1.1 %s X\r\nRequest-Id: r1\r\nContent-Length: %d\r\n%s\r\n%s", status, len(body), fields, body)
}

// Guards against responses whose status can't be one: a caller gets them as they are, waits for
// another one until its deadline, or gets the bytes of their body as a response.
func TestMalformedStatus(t *testing.T) {
	answer := reply("r1", "own")
	const interim = "HTTP/1.1 100 X\r\n\r\n"
	for name, response := range map[string]string{
		"000":                            withStatus("000", "", "x"),
		"000, no body":                   withStatus("000", "", ""),
		"000, body is a response":        withStatus("000", "", answer),
		"099":                            withStatus("099", "", "x"),
		"+00":                            withStatus("+00", "", "x"),
		"101":                            withStatus("101", "Upgrade: x\r\nConnection: upgrade\r\n", "x"),
		"150":                            withStatus("150", "", "x"),
		"199, body is a response":        withStatus("199", "", answer),
		"100, body is a response":        withStatus("100", "", answer),
		"100, chunks are a response":     "HTTP/1.1 100 X\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n" + answer,
		"100, body of unknown length":    "HTTP/1.1 100 X\r\nRequest-Id: r1\r\nContent-Type: x\r\n\r\n" + answer,
		"600":                            withStatus("600", "", "x"),
		"999":                            withStatus("999", "", "x"),
		"behind another's response, 000": reply("r0", "old") + withStatus("000", "", "x"),
		"behind an interim response":     interim + withStatus("000", "", "x"),
		"another's response with 000":    strings.Replace(withStatus("000", "", "x"), "r1", "r0", 1) + answer,
		"interim responses":              strings.Repeat(interim, 4) + answer,
	} {
		t.Run(name, func(t *testing.T) {
			address := endless(t, response, "", time.Hour) // the connection stays open
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			r := request("r1")
			r.HeadTimeout = 0
			start := time.Now()
			_, err := (&Pool{Clock: clock.System()}).Exchange(ctx, address, r)
			check.Is(t, "exchange", err, ErrMalformed)
			check.Is(t, "exchange", err, ErrBroken)
			check.AtMost(t, "ms until the failure", time.Since(start).Milliseconds(), 500)
		})
	}
}

// Guards against sound responses that fail because interim ones come first, which are not counted
// with late responses to other requests.
func TestInterimResponses(t *testing.T) {
	for name, before := range map[string]string{
		"continue":        "HTTP/1.1 100 Continue\r\n\r\n",
		"processing":      "HTTP/1.1 102 Processing\r\n\r\n",
		"early hints":     "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
		"three":           strings.Repeat("HTTP/1.1 103 X\r\n\r\n", 3),
		"before a late":   strings.Repeat("HTTP/1.1 100 X\r\n\r\n", 2) + reply("r0", "old"),
		"behind two late": reply("r0", "old") + reply("r0", "old") + "HTTP/1.1 100 X\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := serve(t, []string{before + reply("r1", "own")})
			got, err := exchange(&Pool{Clock: clock.System()}, p.listener.Addr().String(), "r1")
			check.NoError(t, "exchange", err)
			check.Equal(t, "body", got, "own")
		})
	}
}
