package forward

import (
	"net/http"
	"strconv"

	"goldcrestshore/core/connection/http1"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
)

// refusal is a response that the entry itself sends in place of an upstream's.
type refusal struct {
	status     int
	reason     string
	retryAfter clock.Millis
	fields     event.Fields
}

// refuse counts, logs and writes a refusal. It ends the connection of a caller that has sent its next
// request ahead: such a caller returns without waiting, and one of them takes the turns of many others.
func (s *Server) refuse(w http.ResponseWriter, q *http.Request, r *request, f *refusal) {
	http1.EndAhead(w, q)
	fields := event.Fields{"request": r.id, "route": r.routeName(), "customer": r.customer, "status": f.status, "reason": f.reason, "ms": s.Clock.Now() - r.arrived, "config": r.configVersion}
	for k, v := range f.fields {
		fields[k] = v
	}
	s.Metrics.countOutcome(f.reason)
	if f.status == http.StatusServiceUnavailable {
		fields["retryAfterMs"] = f.retryAfter
		w.Header().Set("Retry-After", formatSeconds(f.retryAfter))
	}
	if f.status == http.StatusBadGateway || f.status == http.StatusGatewayTimeout {
		s.Log.Emit(event.RequestFailed, fields)
	} else {
		s.Log.Emit(event.RequestRejected, fields)
	}
	if r.id != "" {
		w.Header().Set(s.Headers.RequestID, r.id)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(f.status)
	_, _ = w.Write([]byte(f.reason + "\n")) // an error means that the caller disconnected; nothing else is written
}

// formatSeconds formats a duration as seconds with three decimal places.
func formatSeconds(m clock.Millis) string {
	return strconv.FormatFloat(float64(m)/float64(clock.Second), 'f', 3, 64)
}
