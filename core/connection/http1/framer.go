package http1

import "bytes"

// part is a part of the requests on a connection.
type part int

const (
	// partHead is the head of a request, or the time before its first byte.
	partHead part = iota
	// partBody is a body of known length.
	partBody
	// partChunks is a body in chunks, up to the end of its trailer.
	partChunks
)

// maxAheadBytes bounds what is read ahead of the current part.
const maxAheadBytes = 4 << 10

// framer finds where heads and bodies end in the bytes of a connection, so that no bytes of the next
// head are read before its time: the memory of each head can be counted then. It only decides how
// many bytes a read returns. If it takes an invalid request for something else than the HTTP library
// does, no more than that count is wrong.
type framer struct {
	part part
	// headBytes and headLines are the size of the current head so far.
	headBytes, headLines int64
	// emptyLine is set while the current line of a head or trailer has no byte but CR.
	emptyLine bool
	// left is the number of bytes that are left of a body or of the data of a chunk.
	left int64
	// chunkBytes is the length that the current chunk line states, inSize is set while its digits
	// are read, and inTrailer once the last chunk has been read.
	chunkBytes        int64
	inSize, inTrailer bool
}

// bodyFollows tells that the head is complete and how long the body is, negative for chunks.
func (f *framer) bodyFollows(length int64) {
	switch {
	case length < 0:
		*f = framer{part: partChunks, inSize: true}
	case length > 0:
		*f = framer{part: partBody, left: length}
	}
}

// maxRead returns how many bytes may be read at once, so that few belong to the next part.
func (f *framer) maxRead() int64 {
	switch f.part {
	case partBody:
		return f.left
	case partChunks:
		return max(f.left, maxAheadBytes)
	}
	return maxAheadBytes
}

// take returns how many bytes of p belong to the current part. They are at least one, unless p is
// empty.
func (f *framer) take(p []byte) int {
	switch f.part {
	case partBody:
		return f.takeBody(p)
	case partChunks:
		return f.takeChunks(p)
	}
	n, _ := f.takeLines(p)
	f.headBytes += int64(n)
	f.headLines += int64(bytes.Count(p[:n], []byte{'\n'}))
	return n
}

// takeLines returns the number of bytes up to the end of an empty line, and whether there is one.
func (f *framer) takeLines(p []byte) (n int, found bool) {
	for n < len(p) {
		end := bytes.IndexByte(p[n:], '\n')
		if end < 0 {
			f.emptyLine = f.isEmpty(n, p[n:])
			return len(p), false
		}
		found = f.isEmpty(n, p[n:n+end])
		n += end + 1
		f.emptyLine = true
		if found {
			return n, true
		}
	}
	return n, false
}

// isEmpty reports whether the current line has no byte but CR, of which rest are the bytes in a read
// from offset start.
func (f *framer) isEmpty(start int, rest []byte) bool {
	return (start > 0 || f.emptyLine) && len(bytes.Trim(rest, "\r")) == 0
}

func (f *framer) takeBody(p []byte) int {
	n := min(int64(len(p)), f.left)
	f.left -= n
	if f.left == 0 {
		f.part = partHead
	}
	return int(n)
}

// takeChunks returns the number of bytes up to the end of the trailer.
func (f *framer) takeChunks(p []byte) int {
	n := 0
	for n < len(p) {
		switch {
		case f.inTrailer:
			end, found := f.takeLines(p[n:])
			if found {
				f.part = partHead
			}
			return n + end
		case f.left > 0:
			skip := min(f.left, int64(len(p)-n))
			f.left -= skip
			n += int(skip)
		default:
			f.takeChunkLine(p[n])
			n++
		}
	}
	return n
}

// maxChunkBytes is far above any length that the HTTP library accepts.
const maxChunkBytes = 1 << 50

// takeChunkLine takes a byte of the line with the length of a chunk.
func (f *framer) takeChunkLine(b byte) {
	digit := hexDigit(b)
	switch {
	case b == '\n':
		f.inTrailer, f.emptyLine = f.chunkBytes == 0, true
		f.left = f.chunkBytes + int64(len("\r\n"))
		f.chunkBytes, f.inSize = 0, true
	case digit < 0:
		f.inSize = false // an extension, or the end of the line
	case f.inSize && f.chunkBytes < maxChunkBytes:
		f.chunkBytes = f.chunkBytes<<4 + int64(digit)
	}
}

// hexDigit returns the value of a hexadecimal digit, negative if b is none.
func hexDigit(b byte) int {
	switch {
	case '0' <= b && b <= '9':
		return int(b - '0')
	case 'a' <= b|0x20 && b|0x20 <= 'f':
		return int(b|0x20-'a') + 10
	}
	return -1
}
