package httpservice

import (
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"goldcrestshore/core/connection/httpstatus"
)

// statusTransport fails calls whose response has no status of the protocol, which the HTTP
// library does not check. The errors are httpstatus.ErrMalformed.
type statusTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t *statusTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	interim := 0
	trace := &httptrace.ClientTrace{Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
		interim++
		return httpstatus.CheckInterim(status, http.Header(header), interim)
	}}
	resp, err := t.next.RoundTrip(q.WithContext(httptrace.WithClientTrace(q.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := httpstatus.CheckFinal(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // the response is of no use
		return nil, err
	}
	return resp, nil
}
