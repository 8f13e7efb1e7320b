package metric

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits of the admin endpoints.
const (
	adminHeaderTimeout  = 5 * time.Second
	adminMaxHeaderBytes = 16 << 10
)

// Serve answers the admin endpoints on their own address until ctx is done. An
// empty address serves nothing.
func Serve(ctx context.Context, address string, endpoints map[string]http.Handler) error {
	if address == "" {
		return nil
	}
	mux := http.NewServeMux()
	for path, handler := range endpoints {
		mux.Handle(path, handler)
	}
	server := &http.Server{Addr: address, Handler: mux, ReadHeaderTimeout: adminHeaderTimeout, MaxHeaderBytes: adminMaxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve admin endpoints")
	}
	return nil
}
