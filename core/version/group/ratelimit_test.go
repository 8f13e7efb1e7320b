package group

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against entries that count a limit from different times and so send at the same
// moment, and against a limit that counts from the start of an earlier one.
func TestMergeStatements(t *testing.T) {
	for _, tc := range []struct {
		name     string
		a, b     Statement
		expected Statement
	}{
		{"later one counts", Statement{2, 100, 100}, Statement{0, 200, 200}, Statement{0, 200, 200}},
		{"same limit, known later", Statement{2, 150, 100}, Statement{3, 200, 130}, Statement{3, 200, 100}},
		{"limit that has ended and begun again", Statement{2, 150, 100}, Statement{2, 300, 290}, Statement{2, 300, 290}},
		{"never stated", Statement{}, Statement{2, 300, 290}, Statement{2, 300, 290}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check.Equal(t, "merged", tc.a.Merge(tc.b), tc.expected)
			check.Equal(t, "in the other order", tc.b.Merge(tc.a), tc.expected)
		})
	}
}

// Guards against a message from which another process reads other times than were sent.
func TestStatementInMessage(t *testing.T) {
	s := Statement{PerSecond: 2, At: 150, Since: 100}
	m := s.RateLimit(200, "u")
	check.Equal(t, "statement", m.Statement(1200), Statement{2, 1150, 1100})
	future := RateLimit{Age: -1000}
	check.AtMost(t, "time of a statement from the future", future.Statement(clock.Second).At, clock.Second)
}
