package lagged

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

func TestValue(t *testing.T) {
	var v Value[string]
	check.Equal(t, "empty", v.At(10), "")
	v.Set(10, "a")
	v.Set(20, "b")
	v.Set(20, "c")
	check.Equal(t, "before the first state", v.At(9), "")
	check.Equal(t, "first state", v.At(19), "a")
	check.Equal(t, "replaced in the same millisecond", v.At(20), "c")
	check.Equal(t, "later", v.At(99), "c")
}

// Guards against memory that grows with each change of a value that is never read.
func TestValueIsBounded(t *testing.T) {
	var v Value[int]
	for i := range 3 * maxStates {
		v.Set(clock.Millis(i), i)
	}
	check.Equal(t, "states", len(v.states), maxStates)
	check.Equal(t, "last", v.At(3*maxStates), 3*maxStates-1)
}
