package metric

import "net/http"

// Ready serves 200 while ready returns true and 503 otherwise, for the
// platform's load balancer and for operators.
func Ready(ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}
