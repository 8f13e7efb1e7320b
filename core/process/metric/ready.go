package metric

import "net/http"

// Ready returns a handler that responds with 200 while ready returns true and with
// 503 otherwise, for the platform's load balancer and for operators.
func Ready(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
