package event

import (
	"bytes"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// stuck is an output whose reader takes nothing until it is released.
type stuck struct {
	release chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(b []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(b)
}

// Guards against a request that waits for the reader of the log.
func TestAStuckReaderDelaysNothing(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
	s := NewSink(out)
	log, err := NewLog(s, "info", "entry", "e1")
	check.NoError(t, "NewLog", err)
	for range 2 * sinkLines {
		log.Emit(RequestAnswered, nil)
	}
	if s.Dropped() == 0 {
		t.Errorf("dropped lines: got 0, want some")
	}
	close(out.release)
	s.Close(10 * clock.Second)
}

// Guards against failures that are displaced by lines on successes.
func TestFailuresGoBeforeSuccesses(t *testing.T) {
	var out bytes.Buffer
	s := NewSink(&out)
	log, err := NewLog(s, "info", "entry", "e1")
	check.NoError(t, "NewLog", err)
	for range 4 * linesPerSecond {
		log.Emit(RequestAnswered, nil)
	}
	log.Emit(RequestFailed, Fields{"request": "r1"})
	s.Close(10 * clock.Second)
	check.Equal(t, "failure is written", strings.Contains(out.String(), `"request":"r1"`), true)
	if s.Dropped() == 0 {
		t.Errorf("dropped lines: got 0, want some")
	}
}
