package upstream

import (
	"io"
	"testing"

	"goldcrestshore/core/process/check"
)

// repeatedLine sends a line again and again, without an end of the event.
type repeatedLine struct {
	line []byte
	sent int
}

func (r *repeatedLine) Read(p []byte) (int, error) {
	if r.sent > 64<<20 {
		return 0, io.ErrUnexpectedEOF // ends the test if nothing else does
	}
	n := 0
	for len(p)-n >= len(r.line) {
		n += copy(p[n:], r.line)
	}
	r.sent += n
	return n, nil
}

// Guards against an event without end that fills the memory of an agent: each of its lines is short
// enough.
func TestEndlessEvent(t *testing.T) {
	for _, line := range []string{"data: {\"a\":1}\n", ": comment\n"} {
		source := &repeatedLine{line: []byte(line)}
		events, err := copyEventsOnce(&responseRecorder{}, source)
		check.Is(t, "error for "+line, err, ErrMalformed)
		check.Equal(t, "events", events, 0)
		check.AtMost(t, "bytes read", source.sent, 4*maxEventBytes)
	}
}
