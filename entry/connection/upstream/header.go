package upstream

import (
	"bytes"
	"net/http"
	"slices"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// EndToEnd returns the headers of a message without the hop-by-hop ones.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	connectionValues := h["Connection"]
	for name, values := range h {
		if slices.Contains(hopByHopHeaders, name) || listedInConnection(connectionValues, name) {
			continue
		}
		out[name] = values
	}
	return out
}

// listedInConnection reports whether a Connection header lists the header name.
func listedInConnection(values []string, name string) bool {
	for _, v := range values {
		for _, token := range bytes.Split([]byte(v), []byte{','}) {
			if http.CanonicalHeaderKey(string(bytes.TrimSpace(token))) == name {
				return true
			}
		}
	}
	return false
}
