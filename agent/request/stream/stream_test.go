package stream

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
)

type recorder struct{ frames chan frame.Message }

func newRecorder() *recorder { return &recorder{make(chan frame.Message, 64)} }

func (r *recorder) Send(_ frame.ID, m frame.Message) error {
	r.frames <- m
	return nil
}

func start(t *testing.T) (*Stream, *recorder) {
	t.Helper()
	sink := newRecorder()
	s := New(frame.NewID(1, 1), sink)
	t.Cleanup(s.Cancel)
	return s, sink
}

// readUntilEnd acknowledges each data frame and returns the whole body.
func readUntilEnd(t *testing.T, s *Stream, sink *recorder, from int64) ([]byte, *frame.End) {
	t.Helper()
	var body []byte
	for m := range sink.frames {
		switch m := m.(type) {
		case *frame.Data:
			check.Equal(t, "offset", m.Offset(), from+int64(len(body)))
			body = append(body, m.Bytes()...)
			check.NoError(t, "Ack", s.Ack(from+int64(len(body))))
		case *frame.End:
			return body, m
		}
	}
	return nil, nil
}

func TestWholeResponse(t *testing.T) {
	s, sink := start(t)
	want := bytes.Repeat([]byte("0123456789"), 10*WindowBytes/10)
	go func() {
		s.Head(frame.NewResponseHead(200, nil))
		_, _ = s.Write(want)
		s.Close(true, "")
	}()
	got, end := readUntilEnd(t, s, sink, 0)
	check.Equal(t, "body", bytes.Equal(got, want), true)
	check.Equal(t, "length", end.Length(), int64(len(want)))
	check.Equal(t, "checksum", end.Checksum(), xxhash.Sum64(want))
}

// Guards against memory use that grows while the caller does not read.
func TestRetainedBytesStayWithinTheWindow(t *testing.T) {
	s, sink := start(t)
	s.Head(frame.NewResponseHead(200, nil))
	wrote := make(chan error, 1)
	go func() { _, err := s.Write(make([]byte, 4*WindowBytes)); wrote <- err }()
	for range 1 + WindowBytes/chunkBytes {
		<-sink.frames
	}
	check.AtMost(t, "retained bytes", s.RetainedBytes(), WindowBytes)
	s.Cancel()
	check.Is(t, "Write", <-wrote, ErrCancelled)
}

// Guards against a response that loses or repeats bytes when its connection is
// replaced in the middle.
func TestResume(t *testing.T) {
	s, first := start(t)
	s.Head(frame.NewResponseHead(200, nil))
	want := bytes.Repeat([]byte("abcdefgh"), WindowBytes/16)
	_, err := s.Write(want)
	check.NoError(t, "Write", err)
	<-first.frames
	<-first.frames
	check.NoError(t, "Ack", s.Ack(100))
	second := newRecorder()
	check.Is(t, "Attach before the acknowledged bytes", s.Attach(second, 99), ErrOffset)
	check.NoError(t, "Attach", s.Attach(second, 100))
	s.Close(true, "")
	got, end := readUntilEnd(t, s, second, 100)
	check.Equal(t, "rest", bytes.Equal(got, want[100:]), true)
	check.Equal(t, "checksum", end.Checksum(), xxhash.Sum64(want))
}

// Guards against an acknowledgement of bytes that were never written.
func TestAckBeyondTheEnd(t *testing.T) {
	s, _ := start(t)
	check.Is(t, "Ack", s.Ack(1), ErrOffset)
}
