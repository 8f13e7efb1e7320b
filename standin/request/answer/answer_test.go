package answer

import (
	"encoding/binary"
	"fmt"
	"testing"

	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/process/check"
)

// Guards against a change of the token format, which engine, load generator and
// design documentation must agree on.
func TestToken(t *testing.T) {
	const prompt = "¿Cuánto pesa la bicicleta?"
	text := New(prompt)
	for _, index := range []int{0, 1, 4095} {
		raw := binary.BigEndian.AppendUint64([]byte(prompt), uint64(index))
		check.Equal(t, "token", text.Token(index), fmt.Sprintf("%016x ", xxhash.Sum64(raw)))
	}
	check.Equal(t, "range", text.Range(2, 4), text.Token(2)+text.Token(3))
	check.Equal(t, "empty range", text.Range(3, 3), "")
}

func TestPromptTokens(t *testing.T) {
	check.Equal(t, "empty", PromptTokens(""), 1)
	check.Equal(t, "rounds up", PromptTokens("abcde"), 2)
}
