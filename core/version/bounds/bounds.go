// Package bounds checks the numbers of messages and settings where they are decoded. What other
// processes send is used as an index, a size, a duration or a share later.
package bounds

import "github.com/cockroachdb/errors"

// ErrOutside means that a number is below 0, above its upper bound, or no number.
var ErrOutside = errors.New("number is out of bounds")

// Number is a number with its name and its upper bound; the lower one is 0.
type Number struct {
	Name  string
	Value float64
	Most  float64
}

// Check returns an error that names the first number outside its bounds, nil if there is none.
func Check(numbers ...Number) error {
	for _, n := range numbers {
		if !(n.Value >= 0 && n.Value <= n.Most) { // also refuses NaN
			return errors.Wrapf(ErrOutside, "%s is %g, want 0 to %g", n.Name, n.Value, n.Most)
		}
	}
	return nil
}
