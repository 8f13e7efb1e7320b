// Package answer computes the text with which a stand-in engine responds to a
// prompt. The load generator computes the same text to verify each byte.
package answer

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// TokenBytes is the length of each token: 16 hexadecimal digits and a space.
const TokenBytes = 17

// bytesPerPromptToken is the usual estimate for text in UTF-8.
const bytesPerPromptToken = 4

// promptSeparator separates the contents of the messages of a chat.
const promptSeparator = "\n"

// Text generates the tokens of the response to one prompt.
type Text struct {
	prefix xxhash.Digest
}

// New returns the response text for a prompt.
func New(prompt string) *Text {
	t := &Text{}
	t.prefix.Reset()
	_, _ = t.prefix.WriteString(prompt)
	return t
}

// Token returns the token at index, starting at 0: the hexadecimal xxhash64 of the
// prompt and the index as 8 bytes in big-endian order, followed by a space.
func (t *Text) Token(index int) string {
	var out [TokenBytes]byte
	t.encodeToken(&out, index)
	return string(out[:])
}

func (t *Text) encodeToken(out *[TokenBytes]byte, index int) {
	var raw [8]byte
	binary.BigEndian.PutUint64(raw[:], uint64(index))
	digest := t.prefix
	_, _ = digest.Write(raw[:])
	binary.BigEndian.PutUint64(raw[:], digest.Sum64())
	hex.Encode(out[:], raw[:])
	out[TokenBytes-1] = ' '
}

// Range returns the tokens with an index of at least first and below end.
func (t *Text) Range(first, end int) string {
	var b strings.Builder
	b.Grow(max(0, end-first) * TokenBytes)
	var out [TokenBytes]byte
	for i := first; i < end; i++ {
		t.encodeToken(&out, i)
		b.Write(out[:])
	}
	return b.String()
}

// Prompt joins the contents of the messages of a chat in their order.
func Prompt(contents []string) string { return strings.Join(contents, promptSeparator) }

// PromptTokens estimates the number of tokens of a prompt, at least 1.
func PromptTokens(prompt string) int {
	return max(1, (len(prompt)+bytesPerPromptToken-1)/bytesPerPromptToken)
}
