// Package answer computes the text that a stand-in engine gives to a prompt.
// The load generator computes the same text, so that it can check each byte.
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

// promptSeparator divides the contents of the messages of a chat.
const promptSeparator = "\n"

// Text generates the tokens of the answer to one prompt.
type Text struct {
	prefix xxhash.Digest
}

// New returns the answer to a prompt.
func New(prompt string) *Text {
	t := &Text{}
	t.prefix.Reset()
	_, _ = t.prefix.WriteString(prompt)
	return t
}

// Token returns the token at index, which counts from 0: the xxhash64 of the
// prompt followed by the index as 8 bytes big endian.
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

// Range returns the tokens from index first up to but excluding last.
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
