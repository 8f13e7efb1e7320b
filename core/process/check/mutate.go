package check

import (
	"bytes"
	"math/rand/v2"
)

// mutationSeed makes Mutations return the same inputs in every run.
const mutationSeed = 1

// unusualNumbers are written in place of numbers.
var unusualNumbers = []string{"-1", "0", "82", "1e300", "9223372036854775807", "-9223372036854775808", "4294967296", "NaN", "0.5", "null"}

// Mutations returns n inputs, each with one to three changes to one of the given ones: a byte, a
// number, or a part that is left out or repeated. As seeds of a fuzz target they are run by every
// go test with the same result.
func Mutations(n int, inputs ...[]byte) [][]byte {
	random := rand.New(rand.NewPCG(mutationSeed, mutationSeed))
	out := make([][]byte, n)
	for i := range out {
		out[i] = bytes.Clone(inputs[i%len(inputs)])
		for range 1 + random.IntN(3) {
			out[i] = mutate(random, out[i])
		}
	}
	return out
}

func mutate(random *rand.Rand, in []byte) []byte {
	if len(in) == 0 {
		return []byte{byte(random.IntN(256))}
	}
	from := random.IntN(len(in))
	to := min(from+1+random.IntN(16), len(in))
	switch random.IntN(5) {
	case 0:
		in[from] = byte(random.IntN(256))
	case 1:
		in[from] ^= 1 << random.IntN(8)
	case 2:
		return append(in[:from:from], in[to:]...)
	case 3:
		return append(in[:to:to], in[from:]...)
	default:
		return changeNumber(random, in, from)
	}
	return in
}

// ChangeNumber returns a copy of an input in which one number is an unusual one.
func ChangeNumber(random *rand.Rand, in []byte) []byte {
	if len(in) == 0 {
		return nil
	}
	return changeNumber(random, bytes.Clone(in), random.IntN(len(in)))
}

// changeNumber replaces the first number at or after a position.
func changeNumber(random *rand.Rand, in []byte, from int) []byte {
	isDigit := func(r rune) bool { return r >= '0' && r <= '9' }
	start := bytes.IndexFunc(in[from:], isDigit)
	if start < 0 {
		return in
	}
	start += from
	end := start
	for end < len(in) && isDigit(rune(in[end])) {
		end++
	}
	number := unusualNumbers[random.IntN(len(unusualNumbers))]
	return append(append(in[:start:start], number...), in[end:]...)
}
