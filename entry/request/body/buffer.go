package body

import (
	"io"

	"goldcrestshore/core/process/reserve"
)

const (
	// minPartBytes and maxPartBytes bound the parts of a buffer. Parts grow with the body, so
	// that small bodies take little memory and large ones few parts.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
)

// Buffer holds one body in parts, since growing a single slice would need the memory twice. It is
// used by one goroutine.
type Buffer struct {
	share *reserve.Share
	parts [][]byte
	size  int64
}

// Fill reads a body to its end. length is its length if that is known, or negative. The error is
// ErrTooLarge for a body of more than maxBytes, ErrMemoryFull if the buffer had to give way, or that
// of the reader.
func (b *Buffer) Fill(r io.Reader, length, maxBytes int64) error {
	if length > maxBytes {
		return ErrTooLarge
	}
	b.share.Begin()
	err := b.read(r, length, maxBytes)
	if !b.share.End() {
		return ErrMemoryFull
	}
	return err
}

func (b *Buffer) read(r io.Reader, length, maxBytes int64) error {
	for {
		part, err := b.part(length)
		if err != nil {
			return err
		}
		n, err := r.Read(part[len(part):cap(part)])
		b.parts[len(b.parts)-1] = part[:len(part)+n]
		b.size += int64(n)
		switch {
		case b.size > maxBytes:
			return ErrTooLarge
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}

// part returns the last part, which has room for more bytes.
func (b *Buffer) part(length int64) ([]byte, error) {
	if n := len(b.parts); n > 0 && len(b.parts[n-1]) < cap(b.parts[n-1]) {
		return b.parts[n-1], nil
	}
	size := min(max(b.size, minPartBytes), maxPartBytes)
	if rest := length - b.size; rest >= 0 {
		size = min(rest+1, maxPartBytes) // the last byte shows the end
	}
	if !b.share.Grow(size) {
		return nil, ErrMemoryFull
	}
	part := make([]byte, 0, size)
	b.parts = append(b.parts, part)
	return part, nil
}

// MayGiveWay makes a filled buffer give way again, like one that is being filled. The function giveWay of
// NewBuffer then has to end what the buffer is used for.
func (b *Buffer) MayGiveWay() { b.share.Begin() }

// Len returns the number of bytes.
func (b *Buffer) Len() int64 { return b.size }

// Parts returns the body in parts. Callers must not change them.
func (b *Buffer) Parts() [][]byte { return b.parts }

// Release frees the memory of the buffer, which must not be used any more.
func (b *Buffer) Release() {
	b.share.Release()
	b.parts = nil
}
