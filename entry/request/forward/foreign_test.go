package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against bytes of another response that pass for the body, and against sound bodies that are
// refused because they quote a response.
func TestAnotherResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: x\r\nX-Id: r1\r\n\r\n"
	for _, tc := range []struct {
		name     string
		body     string
		isStream bool
		want     int
	}{
		{"right behind the body", "{}" + head, false, 2},
		{"in a line of its own", "a\n" + head, false, 2},
		{"the id in other letters", "{}" + strings.Replace(head, "X-Id", "x-id", 1), false, 2},
		{"line feeds alone", "{}" + strings.ReplaceAll(head, "\r\n", "\n"), false, 2},
		{"within an event", "data: x" + head, true, 7},
		{"after events", "id: 1\n\nHTTP/1.1 503 X\r\n", true, 7},
		{"status line as data of an event", "id: 1\ndata: HTTP/1.1 503 X\n\n", true, -1},
		{"a text about responses", "It begins with HTTP/1.1 200 OK\nand X-Id: r1 follows.\n", false, -1},
		{"a quoted response to another request", "{}" + strings.Replace(head, "r1", "r2", 1), false, -1},
		{"a quoted response without an id", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nX-Id: r1\r\n", false, -1},
		{"no response", "HTTP/1.1", false, -1},
	} {
		check.Equal(t, tc.name, anotherResponse([]byte(tc.body), tc.isStream, "X-Id", "r1"), tc.want)
	}
}

// Guards against callers that get a second answer as part of the first one, where the first one has no
// length and ends with its connection.
func TestSecondAnswerBehindBodyWithoutLength(t *testing.T) {
	spoiled := func(q *http.Request) string {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n", q.Header.Get("X-Id"))
		return head + "Connection: close\r\n\r\n{one}" + head + "Content-Length: 5\r\n\r\n{two}" + closeMark
	}
	quoting := func(q *http.Request) string {
		return "HTTP/1.1 200 OK\r\nX-Id: " + q.Header.Get("X-Id") + "\r\nX-Signature: s\r\nConnection: close\r\n\r\n" + aboutHTTP + closeMark
	}
	t.Run("may not run twice", func(t *testing.T) {
		got := newTestEntry(t, spoiled).call(t, "/once/", nil)
		check.Equal(t, "status", got.status, http.StatusBadGateway)
	})
	t.Run("idempotent", func(t *testing.T) {
		got := newTestEntry(t, spoiled, respondOK("whole")).call(t, "/again/", nil)
		check.Equal(t, "status", got.status, http.StatusOK)
		check.Equal(t, "body", got.body, "whole")
	})
	t.Run("sound body that quotes a response", func(t *testing.T) {
		got := newTestEntry(t, quoting).call(t, "/once/", nil)
		check.Equal(t, "status", got.status, http.StatusOK)
		check.Equal(t, "body", got.body, aboutHTTP)
	})
}

// aboutHTTP is a body that quotes a response to another request.
const aboutHTTP = "A response:\nHTTP/1.1 200 OK\r\nX-Id: 9c41\r\n\r\nis followed by its body."
