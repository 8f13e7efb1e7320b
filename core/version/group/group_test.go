package group

import (
	"testing"

	"goldcrestshore/core/process/check"
)

// Guards against a process that ends because the operation of an order, or its outcome, that it
// has received is unknown to it and is logged or counted.
func TestNamesOfUnknownValues(t *testing.T) {
	for _, n := range []int{-1, 0, int(Release), int(Fenced), 6, 82} {
		check.Equal(t, "operation has a name", Op(n).String() != "", true)
		check.Equal(t, "outcome has a name", Outcome(n).String() != "", true)
	}
	check.Equal(t, "operation", Release.String(), "release")
	check.Equal(t, "outcome", Fenced.String(), "fenced")
	check.Equal(t, "unknown operation", Op(82).String(), "none")
	check.Equal(t, "unknown outcome", Outcome(82).String(), "none")
}
