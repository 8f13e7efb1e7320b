package frame

import (
	"bytes"
	"encoding/binary"
	"io"
	"testing"

	"goldcrestshore/core/process/check"
)

func mustEncode(t testing.TB, m Message) []byte {
	t.Helper()
	b, err := Append(nil, NewID(7, 9), m)
	check.NoError(t, "Append", err)
	return b
}

// Guards against a field that is lost when a message is encoded and decoded.
func TestRoundTrip(t *testing.T) {
	sent := NewSubmit("asistente", "taller",
		NewCall("POST", "/v1/chat/completions", []Field{NewField("Accept", "text/event-stream")}, []byte("{}")),
		NewRequestOptions(1500, 2, true, true, "k"), NewSize(10, 20), 4)
	id, m, err := Read(bytes.NewReader(mustEncode(t, sent)))
	check.NoError(t, "Read", err)
	check.Equal(t, "id", id, NewID(7, 9))
	got, ok := m.(*Submit)
	if !ok {
		t.Fatalf("message: got %T, want *Submit", m)
	}
	check.Equal(t, "service", got.Service(), "asistente")
	check.Equal(t, "body", string(got.Call().Body()), "{}")
	check.Equal(t, "header", got.Call().Header()[0], NewField("Accept", "text/event-stream"))
	check.Equal(t, "options", got.RequestOptions(), sent.RequestOptions())
	check.Equal(t, "size", got.Size(), sent.Size())
}

// Guards against invalid frames that crash the decoder, make it allocate without
// bound, or are decoded as another message.
func TestReadRefuses(t *testing.T) {
	valid := mustEncode(t, NewData(3, []byte("abc")))
	edit := func(f func(b []byte)) []byte {
		b := bytes.Clone(valid)
		f(b)
		return b
	}
	cases := []struct {
		name string
		in   []byte
		want error
	}{
		{"unknown version", edit(func(b []byte) { b[4] = 9 }), ErrVersion},
		{"oversized", edit(func(b []byte) { binary.BigEndian.PutUint32(b, MaxBodyBytes+1) }), ErrTooLarge},
		{"unknown kind", edit(func(b []byte) { b[5] = 200 }), ErrUnknownKind},
		{"malformed body", edit(func(b []byte) { b[HeaderBytes] = 0xc1 }), ErrMalformed},
		{"truncated header", valid[:10], io.ErrUnexpectedEOF},
		{"truncated body", valid[:len(valid)-1], io.ErrUnexpectedEOF},
		{"empty", nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := Read(bytes.NewReader(c.in))
			check.Is(t, "Read", err, c.want)
		})
	}
}

// Guards against a decoder that loses the frame boundary after an unknown kind.
func TestUnknownKindIsSkipped(t *testing.T) {
	first := mustEncode(t, NewData(3, []byte("abc")))
	first[5] = 200
	r := bytes.NewReader(append(first, mustEncode(t, NewCredit(8))...))
	_, _, err := Read(r)
	check.Is(t, "first Read", err, ErrUnknownKind)
	_, m, err := Read(r)
	check.NoError(t, "second Read", err)
	check.Equal(t, "offset", m.(*Credit).Offset(), 8)
}

// FuzzRead guards against input that makes the decoder panic or accept a frame
// that does not encode to itself.
func FuzzRead(f *testing.F) {
	f.Add(mustEncode(f, NewHello("entry", "e1", "bilbao", 1, []byte{1})))
	f.Add(mustEncode(f, NewData(3, []byte("abc"))))
	f.Add(mustEncode(f, NewEnd(3, 4, true, "")))
	f.Add([]byte{0, 0, 0, 1, 1, 8})
	f.Fuzz(func(t *testing.T, in []byte) {
		id, m, err := Read(bytes.NewReader(in))
		if err != nil {
			return
		}
		reencoded, err := Append(nil, id, m)
		check.NoError(t, "Append of a decoded frame", err)
		id2, _, err := Read(bytes.NewReader(reencoded))
		check.NoError(t, "Read of an encoded frame", err)
		check.Equal(t, "id", id2, id)
	})
}
