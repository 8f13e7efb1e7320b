package text

import "bytes"

// maxNesting bounds brackets within brackets; a right text needs 6. The parser
// of hujson recurses, and 900 KB of open brackets overflow its stack, which
// would end every process that receives the text.
const maxNesting = 32

// findExcessNesting returns the offset of the first bracket beyond maxNesting, or -1.
func findExcessNesting(raw []byte) int {
	depth := 0
	for i := 0; i < len(raw); i++ {
		switch raw[i] {
		case '[', '{':
			depth++
			if depth > maxNesting {
				return i
			}
		case ']', '}':
			depth--
		case '"':
			i = stringEnd(raw, i)
		case '/':
			i = commentEnd(raw, i)
		}
	}
	return -1
}

// stringEnd returns the offset of the quote that ends the string at start.
func stringEnd(raw []byte, start int) int {
	for i := start + 1; i < len(raw); i++ {
		switch raw[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(raw)
}

// commentEnd returns the offset of the last byte of the comment at start, or
// start when no comment begins there.
func commentEnd(raw []byte, start int) int {
	rest := raw[start:]
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		return endAfter(raw, start, "\n")
	case bytes.HasPrefix(rest, []byte("/*")):
		return endAfter(raw, start+len("/*"), "*/")
	}
	return start
}

func endAfter(raw []byte, from int, terminator string) int {
	at := bytes.Index(raw[from:], []byte(terminator))
	if at < 0 {
		return len(raw)
	}
	return from + at + len(terminator) - 1
}
