package weights

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"goldcrestshore/core/process/check"
)

func get(w *Weights, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	w.ServeHTTP(recorder, httptest.NewRequest("GET", path, nil))
	return recorder
}

func TestContent(t *testing.T) {
	w := New(Options{BytesPerSecond: 1 << 40, ObjectBytes: 3*chunkBytes + 5})
	got := get(w, "/weights/expert-7").Body.Bytes()
	want := make([]byte, 3*chunkBytes+5)
	Content("expert-7", 0, want)
	check.Equal(t, "content", string(got), string(want))
	check.Equal(t, "sized by the caller", get(w, "/weights/a?bytes=9").Body.Len(), 9)
	check.Equal(t, "malformed query parameter bytes", get(w, "/weights/a?bytes=x").Code, http.StatusBadRequest)
	w.SetFault(Fault{Down: true})
	check.Equal(t, "down", get(w, "/weights/a").Code, http.StatusServiceUnavailable)
}

// Guards against a store that exceeds its transfer rate. The test queries the
// limiter for the delay of a second chunk, so it does not depend on real time.
func TestRate(t *testing.T) {
	w := New(Options{BytesPerSecond: chunkBytes, ObjectBytes: chunkBytes})
	now := time.Now()
	check.Equal(t, "burst", w.limiter.ReserveN(now, chunkBytes).DelayFrom(now), 0)
	check.Equal(t, "second chunk waits", w.limiter.ReserveN(now, chunkBytes).DelayFrom(now), time.Second)
}

// Guards against a canceled read that still uses the shared transfer rate.
func TestCanceledReadStops(t *testing.T) {
	w := New(Options{BytesPerSecond: 1, ObjectBytes: 2 * chunkBytes})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer func() { check.Equal(t, "aborted", recover(), any(http.ErrAbortHandler)) }()
	w.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, "GET", "/weights/a", nil))
}
