package metric

import (
	"context"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the admin endpoints.
const (
	adminHeaderTimeout  = 5 * time.Second
	adminMaxHeaderBytes = 16 << 10
)

// Serve serves the admin endpoints and the runtime profiles on address until ctx
// is done. It returns immediately if address is empty.
func Serve(ctx context.Context, address string, endpoints map[string]http.Handler) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	for path, handler := range endpoints {
		mux.Handle(path, handler)
	}
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: adminHeaderTimeout, MaxHeaderBytes: adminMaxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve admin endpoints")
	}
	return nil
}
