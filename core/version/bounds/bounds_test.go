package bounds

import (
	"fmt"
	"math"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against numbers that are none, or that overflow what they are converted to.
func TestCheck(t *testing.T) {
	for _, tc := range []struct {
		value float64
		want  error
	}{
		{0, nil}, {5, nil}, {-0.1, ErrOutside}, {5.1, ErrOutside},
		{math.NaN(), ErrOutside}, {math.Inf(1), ErrOutside}, {math.Inf(-1), ErrOutside},
	} {
		t.Run(fmt.Sprint(tc.value), func(t *testing.T) {
			check.Is(t, "Check", Check(Number{"a", 1, 5}, Number{"b", tc.value, 5}), tc.want)
		})
	}
}
