package configuration

import "bytes"

// maxNesting is the maximum depth of nested brackets; a valid configuration needs
// 6. hujson parses recursively: 900 KB of opening brackets overflow its stack,
// which would crash every process that receives the configuration.
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

// stringEnd returns the offset of the closing quote of the string at start, or
// len(raw) if there is none.
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

// commentEnd returns the offset of the last byte of the comment at start, start
// if no comment begins there, or len(raw) if the comment is not closed.
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
