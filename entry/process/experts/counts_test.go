package experts

import (
	"fmt"
	"math"
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against maps that are planned by a count that a rank has never had: one that is far too
// high outweighs all others in the estimate for many half-lives.
func TestWrongCounts(t *testing.T) {
	sound := func(i int64) []int64 { return []int64{100 * i, 7 * i} }
	for _, tc := range []struct {
		name  string
		reads [][]int64
		want  []int64 // tokens counted in all
	}{
		{"sound", [][]int64{sound(1), sound(2), sound(3), sound(4)}, []int64{300, 21}},
		{"too high", [][]int64{sound(1), sound(2), {math.MaxInt64, 21}, sound(4), sound(5)}, []int64{400, 28}},
		{"too low", [][]int64{sound(1), sound(2), {5, 21}, sound(4), sound(5)}, []int64{400, 28}},
		{"first one too high", [][]int64{{1 << 60, 7}, sound(2), sound(3), sound(4), sound(5), sound(6), sound(7)}, []int64{200, 14}},
		{"earlier response once more", [][]int64{sound(1), sound(2), sound(3), sound(2), sound(5)}, []int64{400, 28}},
		{"same response once more", [][]int64{sound(1), sound(2), sound(2), sound(3)}, []int64{200, 14}},
		{"begin anew", [][]int64{sound(9), sound(10), sound(11), sound(1), sound(2), sound(3), sound(4), sound(5)}, []int64{300, 21}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c rankCounts
			got := make([]int64, 2)
			for _, read := range tc.reads {
				for i, n := range c.add(read) {
					got[i] += read[i] - n
				}
			}
			check.Equal(t, "counted tokens", fmt.Sprint(got), fmt.Sprint(tc.want))
		})
	}
}
