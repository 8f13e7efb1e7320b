package http1

import (
	"io"
	"net/http"
	"time"

	"goldcrestshore/core/process/clock"
)

const (
	// maxDiscardBytes is how much of a body is read so that its connection can be reused.
	maxDiscardBytes = 256 << 10
	// discardTime is how long a response waits for such a body.
	discardTime clock.Millis = 100
	// lingerTime is how long a connection that ends is still read from after the response:
	// closing it with unread bytes resets it, and the caller may lose the response.
	lingerTime = clock.Second
)

// EndUnread prepares the refusal of a request whose body has not been read. The rest of a short body
// that arrives at once is discarded. Otherwise the connection ends with the response: the HTTP library
// would wait for the body before it sends the response, for as long as the caller likes.
func EndUnread(w http.ResponseWriter, q *http.Request) {
	if discard(w, q) {
		return
	}
	w.Header().Set("Connection", "close")
	setReadDeadline(w, lingerTime)
}

// discard reads the body of a request and reports whether it is complete. It does not ask a caller
// for a body that waits to be asked.
func discard(w http.ResponseWriter, q *http.Request) bool {
	if q.Header.Get("Expect") != "" || q.ContentLength > maxDiscardBytes {
		return false
	}
	setReadDeadline(w, discardTime)
	_, err := io.CopyN(io.Discard, q.Body, maxDiscardBytes)
	if err != io.EOF {
		return false
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{}) // as in setReadDeadline
	return true
}

func setReadDeadline(w http.ResponseWriter, d clock.Millis) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d.Duration())) // only response writers of tests have no deadlines
}
