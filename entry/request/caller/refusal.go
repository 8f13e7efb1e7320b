package caller

import (
	"encoding/json"
	"net/http"
	"strconv"

	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
)

// statusByCode maps refusal codes to HTTP statuses. Codes not listed map to 503.
var statusByCode = map[outcome.Code]int{
	outcome.BadRequest:       http.StatusBadRequest,
	outcome.Unauthorized:     http.StatusUnauthorized,
	outcome.NoRoute:          http.StatusNotFound,
	outcome.CustomerLimit:    http.StatusTooManyRequests,
	outcome.TooLarge:         http.StatusRequestEntityTooLarge,
	outcome.ClaimPending:     http.StatusConflict,
	outcome.ClaimMismatch:    http.StatusUnprocessableEntity,
	outcome.ClaimUnresolved:  http.StatusConflict,
	outcome.Quarantined:      http.StatusUnprocessableEntity,
	outcome.DeadlineExceeded: http.StatusGatewayTimeout,
	outcome.UpstreamFailed:   http.StatusBadGateway,
	outcome.ConnectionLost:   http.StatusBadGateway,
}

// refusalBody is the JSON form of a refusal.
type refusalBody struct {
	Code    outcome.Code `json:"code"`
	Event   int          `json:"event"`
	Message string       `json:"message"`
}

// writeRefusal writes the refusal that err wraps as the response.
func writeRefusal(w http.ResponseWriter, err error) {
	r := outcome.As(err)
	status, ok := statusByCode[r.Code()]
	if !ok {
		status = http.StatusServiceUnavailable
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(outcome.Header, string(r.Outcome()))
	if r.RetryAfterMs() > 0 {
		// Retry-After is in whole seconds; round up.
		header.Set("Retry-After", strconv.FormatInt((r.RetryAfterMs()+999)/1000, 10))
	}
	w.WriteHeader(status)
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(refusalBody{r.Code(), event.RequestRefused.Number(), err.Error()})
}
