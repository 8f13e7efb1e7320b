// Package stream holds the bytes of one answer between the upstream and the
// entry, bounded by a credit window, across connections.
package stream

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
)

const (
	// WindowBytes is how far an answer may run ahead of what the caller took. At
	// the measured 2 ms between entry and agent it allows 2 MB/s for one answer.
	WindowBytes = frame.WindowBytes
	// chunkBytes is the largest data frame, so that credit returns in parts of
	// a window.
	chunkBytes = WindowBytes / 4
)

// Errors of a stream.
var (
	ErrCancelled = errors.New("stream is cancelled")
	ErrOffset    = errors.New("stream no longer holds the wanted offset")
)

// Sink sends frames to the entry; its error means that the connection is lost.
type Sink interface {
	Send(id frame.ID, m frame.Message) error
}

// Stream is one answer. The upstream's goroutine writes; the connection's calls
// Attach, Ack and Cancel. There is no goroutine for sending, because the window
// is all that is ever unsent: whoever adds a frame sends it.
type Stream struct {
	id frame.ID

	mu       sync.Mutex
	changed  *sync.Cond
	head     *frame.AnswerHead
	end      *frame.End
	base     int64 // offset of the first retained byte
	retained []byte
	digest   *xxhash.Digest

	sink     Sink
	headSent bool
	endSent  bool
	next     int64 // offset of the next byte to send on sink

	sending   bool // a goroutine is in flush
	cancelled bool
}

// New returns the empty answer to the request id, to be sent on sink.
func New(id frame.ID, sink Sink) *Stream {
	s := &Stream{id: id, sink: sink, digest: xxhash.New()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Head sets the status line and header.
func (s *Stream) Head(head *frame.AnswerHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	s.flush()
}

// Write appends body bytes and waits while the window is full. It returns
// ErrCancelled when nobody wants the answer any more.
func (s *Stream) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for len(p) > 0 {
		for len(s.retained) >= WindowBytes && !s.cancelled {
			s.changed.Wait()
		}
		if s.cancelled {
			return written, ErrCancelled
		}
		n := min(len(p), WindowBytes-len(s.retained))
		s.retained = append(s.retained, p[:n]...)
		_, _ = s.digest.Write(p[:n])
		p = p[n:]
		written += n
		s.flush()
	}
	return written, nil
}

// Close ends the answer; code names the reason when ok is false.
func (s *Stream) Close(ok bool, code string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end != nil {
		return
	}
	s.end = frame.NewEnd(s.base+int64(len(s.retained)), s.digest.Sum64(), ok, code)
	s.flush()
}

// Ack releases the bytes before offset.
func (s *Stream) Ack(offset int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset <= s.base {
		return nil
	}
	if offset > s.base+int64(len(s.retained)) {
		return errors.Wrapf(ErrOffset, "credit for %d, written %d", offset, s.base+int64(len(s.retained)))
	}
	s.retained = append(s.retained[:0], s.retained[offset-s.base:]...)
	s.base = offset
	s.next = max(s.next, offset)
	s.changed.Broadcast()
	return nil
}

// Attach sends the answer from offset on, on a new connection.
func (s *Stream) Attach(sink Sink, offset int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < s.base || offset > s.base+int64(len(s.retained)) {
		return errors.Wrapf(ErrOffset, "resume at %d, retained from %d", offset, s.base)
	}
	s.sink, s.next = sink, offset
	s.headSent, s.endSent = false, false
	// The caller is the goroutine that reads from sink and must not wait for it.
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.flush()
	}()
	return nil
}

// Detach stops sending on sink, whose connection has ended.
func (s *Stream) Detach(sink Sink) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sink == sink {
		s.sink = nil
	}
}

// Attached tells whether the answer has a connection.
func (s *Stream) Attached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sink != nil
}

// Cancel drops the retained bytes and ends a waiting Write.
func (s *Stream) Cancel() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancelled = true
	s.retained = nil
	s.changed.Broadcast()
}

// RetainedBytes returns the number of retained bytes.
func (s *Stream) RetainedBytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.retained)
}

// flush sends what can be sent. It must be called with mu held, which it
// releases while it sends; frames added meanwhile are sent by the same call.
func (s *Stream) flush() {
	if s.sending {
		return
	}
	s.sending = true
	defer func() { s.sending = false }()
	for !s.cancelled {
		m := s.nextFrame()
		if m == nil {
			return
		}
		sink := s.sink
		s.mu.Unlock()
		err := sink.Send(s.id, m)
		s.mu.Lock()
		if err != nil && s.sink == sink {
			s.sink = nil
		}
	}
}

// nextFrame returns nil when there is nothing to send now.
func (s *Stream) nextFrame() frame.Message {
	if s.sink == nil {
		return nil
	}
	if !s.headSent && s.head != nil {
		s.headSent = true
		return s.head
	}
	if m := s.nextData(); m != nil {
		return m
	}
	if s.end != nil && !s.endSent && (s.headSent || s.head == nil) {
		s.endSent = true
		return s.end
	}
	return nil
}

func (s *Stream) nextData() frame.Message {
	available := s.base + int64(len(s.retained)) - s.next
	if !s.headSent || available <= 0 {
		return nil
	}
	n := min(available, chunkBytes)
	start := s.next - s.base
	data := append([]byte(nil), s.retained[start:start+n]...)
	m := frame.NewData(s.next, data)
	s.next += n
	return m
}
