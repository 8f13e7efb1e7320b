package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against a large body that takes its memory again while it is sent, and against parts that
// are lost or swapped.
func TestBodyIsNotCopied(t *testing.T) {
	const partBytes, partCount = 256 << 10, 16
	got := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		got = 0
		part := make([]byte, partBytes)
		for i := 0; ; i++ {
			n, err := io.ReadFull(q.Body, part)
			if err != nil {
				break
			}
			got += n
			check.Equal(t, "part is in its place", bytes.Count(part, []byte{byte(i)}), partBytes)
		}
		w.Header().Set("Request-Id", "r1")
	}))
	defer server.Close()
	r := request("r1")
	for i := range partCount {
		r.Body = append(r.Body, bytes.Repeat([]byte{byte(i)}, partBytes))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	resp, err := (&Pool{Clock: clock.System()}).Exchange(context.Background(), server.Listener.Addr().String(), r)
	runtime.ReadMemStats(&after)
	check.NoError(t, "Exchange", err)
	resp.Close()
	check.Equal(t, "received bytes", got, partBytes*partCount)
	check.AtMost(t, "allocated bytes", after.TotalAlloc-before.TotalAlloc, partBytes*partCount/2)
}
