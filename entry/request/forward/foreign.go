package forward

import (
	"bytes"
	"net/textproto"
)

// statusLinePrefix begins the head of each response.
var statusLinePrefix = []byte("HTTP/1.")

// anotherResponse returns where the head of another response begins in the body of a response to the
// request with an id, or -1. An upstream in trouble may write a second response, and a body that ends
// with its connection does not show where it ends.
//
// A head of which that can be said for sure has a status line, wherever that begins, and names the
// request in the header idHeader. In a stream a line that begins like a status line is enough, since no
// line of an event does. A body that only quotes a response, or the head of one to another request, is
// content.
func anotherResponse(body []byte, isStream bool, idHeader, id string) int {
	for start := 0; ; {
		i := bytes.Index(body[start:], statusLinePrefix)
		if i < 0 {
			return -1
		}
		at := start + i
		beginsLine := at == 0 || body[at-1] == '\n' || body[at-1] == '\r'
		if (isStream && beginsLine) || namesRequest(body[at:], idHeader, id) {
			return at
		}
		start = at + len(statusLinePrefix)
	}
}

// namesRequest reports whether a head of a response, which may be followed by more, names a request.
func namesRequest(head []byte, idHeader, id string) bool {
	_, rest, found := bytes.Cut(head, []byte("\n"))
	for found && id != "" {
		var line []byte
		line, rest, found = bytes.Cut(rest, []byte("\n"))
		name, value, isField := bytes.Cut(line, []byte(":"))
		if !isField {
			return false // the end of the head, or no head
		}
		if textproto.CanonicalMIMEHeaderKey(string(name)) == textproto.CanonicalMIMEHeaderKey(idHeader) && string(bytes.TrimSpace(value)) == id {
			return true
		}
	}
	return false
}
