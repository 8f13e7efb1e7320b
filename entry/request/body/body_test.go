package body

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"goldcrestshore/core/process/check"
)

// endlessReader sends bytes without end. It stops when it is told to, like a connection that is
// closed.
type endlessReader struct{ stopped chan struct{} }

func (r *endlessReader) Read(p []byte) (int, error) {
	select {
	case <-r.stopped:
		return 0, io.ErrClosedPipe
	default:
		return len(p), nil
	}
}

// fillEndless fills a buffer from an endless reader in the background until it gives way. It returns
// a channel with the result.
func fillEndless(m *Memory, limit int64) <-chan error {
	stopped, result := make(chan struct{}), make(chan error, 1)
	b := m.NewBuffer(limit, func() { close(stopped) })
	go func() {
		defer b.Release()
		result <- b.Fill(&endlessReader{stopped}, -1, 1<<40)
	}()
	return result
}

// Guards against a body without end that takes the memory of all bodies, so that those of others are
// discarded or refused.
func TestLargestBodyGivesWay(t *testing.T) {
	const limit, small = 1 << 20, 64 << 10
	var m Memory
	for i := range 50 {
		endless := []<-chan error{fillEndless(&m, limit), fillEndless(&m, limit)}
		b := m.NewBuffer(limit, func() { t.Error("small body: got told to give way, want the endless ones to") })
		check.NoError(t, fmt.Sprint("small body ", i), b.Fill(iotest.OneByteReader(strings.NewReader(strings.Repeat("x", small))), -1, small))
		check.Equal(t, "length", b.Len(), small)
		for _, result := range endless {
			check.Is(t, "endless body", <-result, ErrMemoryFull)
		}
		b.Release()
	}
	check.Equal(t, "memory in use at the end", m.InUse(), 0)
}

// Guards against bodies that are cut, mixed up or too long, and against memory that is not counted
// or not released.
func TestFill(t *testing.T) {
	const maxBytes = 100_000
	content := strings.Repeat("0123456789", maxBytes/10)
	broken := errors.New("broken")
	for _, tc := range []struct {
		name   string
		source io.Reader
		length int64
		want   error
	}{
		{"known length", strings.NewReader(content), maxBytes, nil},
		{"unknown length", iotest.HalfReader(strings.NewReader(content)), -1, nil},
		{"end with the last bytes", iotest.DataErrReader(strings.NewReader(content)), maxBytes, nil},
		{"announced too long", strings.NewReader(""), maxBytes + 1, ErrTooLarge},
		{"too long", strings.NewReader(content + "x"), -1, ErrTooLarge},
		{"longer than announced", strings.NewReader(content + "x"), 10, ErrTooLarge},
		{"broken", io.MultiReader(strings.NewReader("x"), iotest.ErrReader(broken)), -1, broken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var m Memory
			b := m.NewBuffer(10*maxBytes, func() {})
			err := b.Fill(tc.source, tc.length, maxBytes)
			check.Is(t, "Fill", err, tc.want)
			if tc.want == nil {
				check.Equal(t, "content is unchanged", bytes.Equal(bytes.Join(b.Parts(), nil), []byte(content)), true)
				check.Equal(t, "all memory counts", m.InUse() >= b.Len(), true)
				check.AtMost(t, "memory in use", m.InUse(), 2*b.Len())
			}
			b.Release()
			check.Equal(t, "memory in use at the end", m.InUse(), 0)
		})
	}
}

// Guards against a filled body that gives way while it is being forwarded.
func TestFilledBodyStays(t *testing.T) {
	const limit = 10_000
	var m Memory
	filled := m.NewBuffer(limit, func() { t.Error("filled body: got told to give way") })
	check.NoError(t, "first body", filled.Fill(strings.NewReader(strings.Repeat("x", 9000)), 9000, limit))
	b := m.NewBuffer(limit, func() {})
	check.Is(t, "second body", b.Fill(strings.NewReader(strings.Repeat("x", 2000)), 2000, limit), ErrMemoryFull)
	b.Release()
	check.Equal(t, "length of the first body", filled.Len(), 9000)
	filled.Release()
	check.Equal(t, "memory in use at the end", m.InUse(), 0)
}
