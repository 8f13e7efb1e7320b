// Package frame encodes the messages between goldcrestshore processes as
// length-prefixed TCP frames with msgpack bodies.
package frame

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"
)

// Sizes of a frame in bytes.
const (
	HeaderBytes = 24
	// MaxBodyBytes fits the largest request body of a caller and its envelope.
	MaxBodyBytes = 4<<20 + 64<<10
	// WindowBytes is the flow-control window: how many bytes of a response may
	// be unacknowledged.
	WindowBytes = 4 << 10
	// chunkBytes bounds the memory allocated ahead of received data, so that a
	// peer that sends a forged length cannot make the receiver allocate much
	// more than the peer itself sends.
	chunkBytes = 64 << 10
)

// ProtocolVersion is the protocol version that this program implements.
const ProtocolVersion = 1

// Errors of the decoder. A connection must not be used after any of them except
// ErrUnknownKind.
var (
	ErrTooLarge    = errors.New("frame body exceeds the limit")
	ErrVersion     = errors.New("frame has an unknown protocol version")
	ErrUnknownKind = errors.New("frame has an unknown kind")
	ErrMalformed   = errors.New("frame body is malformed")
)

// ID identifies a request across connections.
type ID struct {
	incarnation uint64
	sequence    uint64
}

// NewID returns the ID of request number sequence of a process incarnation.
func NewID(incarnation, sequence uint64) ID { return ID{incarnation, sequence} }

// Incarnation returns the incarnation of the process that issued the ID.
func (id ID) Incarnation() uint64 { return id.incarnation }

// Sequence returns the number of the request within the incarnation.
func (id ID) Sequence() uint64 { return id.sequence }

// Message is one of the message types of this package.
type Message interface {
	frameKind() byte
	msgp.Marshaler
}

type decoder[T any] interface {
	*T
	msgp.Unmarshaler
}

// Append appends to b the frame that encodes m for request id.
func Append(b []byte, id ID, m Message) ([]byte, error) {
	start := len(b)
	b = append(b, make([]byte, HeaderBytes)...)
	b, err := m.MarshalMsg(b)
	if err != nil {
		return b[:start], errors.Wrap(err, "encode frame body")
	}
	length := len(b) - start - HeaderBytes
	if length > MaxBodyBytes {
		return b[:start], errors.Wrapf(ErrTooLarge, "%d bytes", length)
	}
	header := b[start : start+HeaderBytes]
	binary.BigEndian.PutUint32(header[0:], uint32(length))
	header[4] = ProtocolVersion
	header[5] = m.frameKind()
	binary.BigEndian.PutUint64(header[8:], id.incarnation)
	binary.BigEndian.PutUint64(header[16:], id.sequence)
	return b, nil
}

// Read decodes the next frame. After ErrUnknownKind, r is positioned at the
// following frame.
func Read(r io.Reader) (ID, Message, error) {
	return read(r, func(int) error { return nil })
}

// ReadAtMost decodes the next frame like Read. The error is ErrTooLarge if its body has more than maxBytes.
func ReadAtMost(r io.Reader, maxBytes int) (ID, Message, error) {
	return read(r, func(length int) error {
		if length > maxBytes {
			return errors.Wrapf(ErrTooLarge, "%d bytes", length)
		}
		return nil
	})
}

// read decodes the next frame, unless admit returns an error for the length of its body.
func read(r io.Reader, admit func(length int) error) (ID, Message, error) {
	var header [HeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return ID{}, nil, err
	}
	if header[4] != ProtocolVersion {
		return ID{}, nil, errors.Wrapf(ErrVersion, "version %d", header[4])
	}
	length := binary.BigEndian.Uint32(header[0:])
	if length > MaxBodyBytes {
		return ID{}, nil, errors.Wrapf(ErrTooLarge, "%d bytes", length)
	}
	if err := admit(int(length)); err != nil {
		return ID{}, nil, err
	}
	id := ID{binary.BigEndian.Uint64(header[8:]), binary.BigEndian.Uint64(header[16:])}
	body, err := readBody(r, int(length))
	if err != nil {
		return id, nil, err
	}
	m, err := decode(header[5], body)
	return id, m, err
}

// readBody reads length bytes. Its buffer grows only as data arrives.
func readBody(r io.Reader, length int) ([]byte, error) {
	body := make([]byte, 0, min(length, chunkBytes))
	for len(body) < length {
		n := min(length-len(body), chunkBytes)
		start := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return nil, errors.Wrap(err, "read frame body")
		}
	}
	return body, nil
}
