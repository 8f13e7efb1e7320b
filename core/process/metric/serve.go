package metric

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"sync"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
)

// Limits of the admin endpoints, which few callers use.
const (
	adminMaxConns           = 32
	adminMaxHeaderBytes     = 16 << 10
	adminMaxHeadMemoryBytes = 4 << 20
)

// adminTimeouts are the time limits of the callers of the admin endpoints.
var adminTimeouts = http1.Timeouts{Head: 5 * clock.Second, Idle: 15 * clock.Second, Write: 10 * clock.Second}

// ProfilesPath is the path below which Profiles serves.
const ProfilesPath = "/debug/pprof/"

// Profiles returns a handler that serves the profiles of the runtime, one at a time: a profile holds
// a line for each connection of the process.
func Profiles() http.Handler {
	var running sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if q.URL.Query().Has("seconds") {
			http.Error(w, "profiles over a time are not served", http.StatusBadRequest)
			return
		}
		if !running.TryLock() {
			http.Error(w, "another profile is being served", http.StatusServiceUnavailable)
			return
		}
		defer running.Unlock()
		pprof.Index(w, q)
	})
}

// Paths of the admin endpoints beside the profiles.
const (
	metricsPath = "/metrics"
	// ReadyPath is where processes that take requests tell whether they do.
	ReadyPath = "/ready"
)

// Endpoints returns the admin endpoints that each process has: its metrics and the profiles of the
// runtime.
func (r *Registry) Endpoints() map[string]http.Handler {
	return map[string]http.Handler{metricsPath: r.Handler(), ProfilesPath: Profiles()}
}

// Serve serves the admin endpoints on address until ctx is done. It returns immediately if address
// is empty.
func Serve(ctx context.Context, address string, endpoints map[string]http.Handler) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	for path, handler := range endpoints {
		mux.Handle(path, handler)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for callers of admin endpoints")
	}
	server := &http1.Server{
		Clock: clock.System(), Handler: withoutBodies(mux), Timeouts: func() http1.Timeouts { return adminTimeouts },
		MaxConns: adminMaxConns, MaxHeadBytes: adminMaxHeaderBytes, MaxHeadMemoryBytes: adminMaxHeadMemoryBytes,
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() }) // Serve returns, whatever this returns
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve admin endpoints")
	}
	return nil
}

// withoutBodies passes requests on to a handler that reads no bodies.
func withoutBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		http1.EndUnread(w, q)
		next.ServeHTTP(w, q)
	})
}
