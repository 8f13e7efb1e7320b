package event

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(b []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(b)
}

// Guards against requests that wait because the reader of the log output is blocked.
func TestBlockedReaderDoesNotBlockLog(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	s := NewSink(out)
	log, err := NewLog(s, "info", "entry", "e1")
	check.NoError(t, "NewLog", err)
	for range 2 * maxQueuedLines {
		log.Emit(RequestCompleted, nil)
	}
	if s.Dropped() == 0 {
		t.Errorf("dropped lines: got 0, want some")
	}
	close(out.release)
	s.Close(10 * clock.Second)
}

// Guards against lines about failures that are dropped because lines about successful
// requests use up the rate limit.
func TestSuccessesDoNotDisplaceFailures(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	log, err := NewLog(s, "info", "entry", "e1")
	check.NoError(t, "NewLog", err)
	for range 4 * linesPerSecond {
		log.Emit(RequestCompleted, nil)
	}
	log.Emit(RequestFailed, Fields{"request": "r1"})
	s.Close(10 * clock.Second)
	check.Equal(t, "failure is written", strings.Contains(out.String(), `"request":"r1"`), true)
	if s.Dropped() == 0 {
		t.Errorf("dropped lines: got 0, want some")
	}
}

// Guards against a process that ends with a panic, after its last response, because a goroutine logs
// while it stops.
func TestLinesAfterClose(t *testing.T) {
	s := NewSink(io.Discard)
	s.Close(clock.Second)
	_, err := s.Write([]byte("late"))
	check.NoError(t, "Write", err)
	check.Equal(t, "dropped lines", s.Dropped(), 1)
}
