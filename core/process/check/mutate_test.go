package check

import (
	"bytes"
	"testing"
)

// Guards against seeds that differ from run to run, so that a test fails only at times, and
// against seeds that are the inputs themselves.
func TestMutations(t *testing.T) {
	input := []byte(`{"a":12,"b":[3,4]}`)
	first, second := Mutations(200, input, nil), Mutations(200, input, nil)
	changed := 0
	for i := range first {
		Equal(t, "same input in every run", bytes.Equal(first[i], second[i]), true)
		if !bytes.Equal(first[i], input) && len(first[i]) > 0 {
			changed++
		}
	}
	AtMost(t, "inputs without a change", len(first)-changed, 20)
	Equal(t, "given input is unchanged", string(input), `{"a":12,"b":[3,4]}`)
}
