package forward

import (
	"bytes"
	"iter"
	"net/http"
	"strings"
)

const eventStreamType = "text/event-stream"

// mayBeEventStream reports whether a response has the type of an event stream or none.
func mayBeEventStream(h http.Header) bool {
	contentType := h.Get("Content-Type")
	return contentType == "" || strings.HasPrefix(strings.ToLower(contentType), eventStreamType)
}

// blankLines are the line ends, twice in a row, that end an event. Lines may end with a
// line feed, a carriage return or both.
var blankLines = [][]byte{[]byte("\n\n"), []byte("\n\r\n"), []byte("\r\r")}

var idPrefix = []byte("id:")

// completeEventsLen returns the length of the complete events at the start of b.
func completeEventsLen(b []byte) int {
	n := 0
	for _, blank := range blankLines {
		if i := bytes.LastIndex(b, blank); i >= 0 {
			n = max(n, i+len(blank))
		}
	}
	return n
}

// eventLines returns the lines of events that are not blank, without their ends.
func eventLines(events []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\n' || r == '\r' })
}

// hasEvent reports whether events include more than comments.
func hasEvent(events []byte) bool {
	for line := range eventLines(events) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// firstEvent returns the first of the complete events that is more than comments, or nil if
// there is none.
func firstEvent(events []byte) []byte {
	for len(events) > 0 {
		end := len(events)
		for _, blank := range blankLines {
			if i := bytes.Index(events, blank); i >= 0 {
				end = min(end, i+len(blank))
			}
		}
		if hasEvent(events[:end]) {
			return events[:end]
		}
		events = events[end:]
	}
	return nil
}

// lastEvent returns the last of the complete events that is more than comments, without
// the blank line at its end, or nil if there is none.
func lastEvent(events []byte) []byte {
	for len(events) > 0 {
		events = bytes.TrimRight(events, "\r\n")
		start := completeEventsLen(events)
		if hasEvent(events[start:]) {
			return events[start:]
		}
		events = events[:start]
	}
	return nil
}

// parseEventID returns the id of an event, or "" if it has none.
func parseEventID(event []byte) string {
	id := ""
	for line := range eventLines(event) {
		if rest, found := bytes.CutPrefix(line, idPrefix); found {
			id = string(bytes.TrimSpace(rest))
		}
	}
	return id
}
