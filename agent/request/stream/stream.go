// Package stream buffers the bytes of one response between the upstream and the
// entry. The buffer is bounded by a credit window and outlives a connection to
// the entry.
package stream

import (
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/connection/frame"
)

const (
	// WindowBytes is how far a response may run ahead of what the caller has
	// read. At 2 ms between entry and agent it allows 2 MB/s for one response.
	WindowBytes = frame.WindowBytes
	// chunkBytes is the size of the largest data frame, so that credit returns
	// in parts of a window.
	chunkBytes = WindowBytes / 4
)

// Errors of a stream.
var (
	ErrCancelled = errors.New("stream is cancelled")
	ErrOffset    = errors.New("offset is outside the retained range of the stream")
)

// Sink sends frames to the entry; an error means that the connection is lost.
type Sink interface {
	Send(id frame.ID, m frame.Message) error
}

// Stream is one response. The goroutine of the upstream call writes; the
// goroutine of the connection calls Attach, Ack and Cancel. No goroutine is
// dedicated to sending, because at most one window is unsent: whoever adds a
// frame sends it.
type Stream struct {
	id frame.ID

	mu       sync.Mutex
	changed  *sync.Cond
	head     *frame.ResponseHead
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

// New returns an empty stream for the response to the request id, to be sent on
// sink.
func New(id frame.ID, sink Sink) *Stream {
	s := &Stream{id: id, sink: sink, digest: xxhash.New()}
	s.changed = sync.NewCond(&s.mu)
	return s
}

// Head sets the status and the header.
func (s *Stream) Head(head *frame.ResponseHead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.head = head
	s.flush()
}

// Write appends body bytes and blocks while the window is full. It returns
// ErrCancelled once the stream is cancelled.
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

// Close ends the response; code states the reason when ok is false.
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
		return errors.Wrapf(ErrOffset, "acknowledge offset %d, written up to %d", offset, s.base+int64(len(s.retained)))
	}
	s.retained = append(s.retained[:0], s.retained[offset-s.base:]...)
	s.base = offset
	s.next = max(s.next, offset)
	s.changed.Broadcast()
	return nil
}

// Attach sends the response on a new connection, starting at offset.
func (s *Stream) Attach(sink Sink, offset int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if offset < s.base || offset > s.base+int64(len(s.retained)) {
		return errors.Wrapf(ErrOffset, "resume at offset %d, retained from %d", offset, s.base)
	}
	s.sink, s.next = sink, offset
	s.headSent, s.endSent = false, false
	// The caller is the goroutine that reads from the connection of sink and
	// must not block on sending.
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

// Attached reports whether the stream has a connection.
func (s *Stream) Attached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sink != nil
}

// Cancel discards the retained bytes and unblocks a waiting Write.
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

// flush sends the frames that can be sent. It must be called with mu locked and
// unlocks it while it sends; frames added meanwhile are sent by the same call.
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

// nextFrame returns nil when there is nothing to send at present.
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
