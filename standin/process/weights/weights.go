// Package weights is a stand-in for the rate-limited weight store.
package weights

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"
)

// chunkBytes is the unit in which readers share the transfer rate.
const chunkBytes = 16 << 10

// Options are the properties of the store.
type Options struct {
	// BytesPerSecond is shared by all readers.
	BytesPerSecond int64
	// ObjectBytes is the size of an object when the query parameter bytes is
	// absent.
	ObjectBytes int64
}

// Calls counts the reads and the bytes sent.
type Calls struct {
	Reads uint64 `json:"reads"`
	Bytes uint64 `json:"bytes"`
}

// Fault describes the failure to inject.
type Fault struct {
	// Down refuses every read.
	Down bool `json:"down"`
	// BytesPerSecond replaces the transfer rate; 0 keeps the current rate.
	BytesPerSecond int64 `json:"bytesPerSecond"`
}

// Weights is the stand-in. Create it with New.
type Weights struct {
	options Options
	limiter *rate.Limiter
	mux     *http.ServeMux

	mu    sync.Mutex
	down  bool
	calls Calls
}

// New returns a store that has an object for every name.
func New(o Options) *Weights {
	w := &Weights{options: o, limiter: rate.NewLimiter(rate.Limit(o.BytesPerSecond), chunkBytes), mux: http.NewServeMux()}
	w.mux.HandleFunc("GET /weights/{name}", w.get)
	w.mux.HandleFunc("PUT /fault", w.putFault)
	w.mux.HandleFunc("GET /calls", w.getCalls)
	return w
}

// ServeHTTP serves GET /weights/{name} and the stand-in's control endpoints.
func (w *Weights) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.mux.ServeHTTP(rw, r) }

// Content returns the bytes of an object from offset on: repetitions of the
// xxhash64 of its name.
func Content(name string, offset int64, out []byte) {
	hash := xxhash.Sum64String(name)
	for i := range out {
		out[i] = byte(hash >> (8 * ((offset + int64(i)) % 8)))
	}
}

func (w *Weights) get(rw http.ResponseWriter, r *http.Request) {
	if !w.recordRead() {
		http.Error(rw, "the weight store is down", http.StatusServiceUnavailable)
		return
	}
	size := w.options.ObjectBytes
	if text := r.URL.Query().Get("bytes"); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || n < 0 {
			http.Error(rw, "malformed query parameter bytes", http.StatusBadRequest)
			return
		}
		size = n
	}
	rw.Header().Set("Content-Type", "application/octet-stream")
	rw.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	w.send(r.Context(), rw, r.PathValue("name"), size)
}

// send writes an object at the rate that the limiter allows.
func (w *Weights) send(ctx context.Context, rw http.ResponseWriter, name string, size int64) {
	buffer := make([]byte, chunkBytes)
	for offset := int64(0); offset < size; {
		part := buffer[:min(chunkBytes, size-offset)]
		if err := w.limiter.WaitN(ctx, len(part)); err != nil {
			panic(http.ErrAbortHandler)
		}
		Content(name, offset, part)
		if _, err := rw.Write(part); err != nil {
			return
		}
		offset += int64(len(part))
		w.recordBytes(len(part))
	}
}

func (w *Weights) recordRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls.Reads++
	return !w.down
}

func (w *Weights) recordBytes(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls.Bytes += uint64(n)
}

// SetFault applies f; a transfer rate set earlier stays when f has none.
func (w *Weights) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = f.Down
	if f.BytesPerSecond > 0 {
		w.limiter.SetLimit(rate.Limit(f.BytesPerSecond))
	}
}

func (w *Weights) putFault(rw http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetFault(f)
	rw.WriteHeader(http.StatusNoContent)
}

func (w *Weights) getCalls(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	c := w.calls
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(c)
}
