package group

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

// Guards against entries that do not agree on what a limit has allowed and so send at the same
// moment, and against a changed limit that counts as if it had held from the beginning.
func TestMergeStatements(t *testing.T) {
	for _, tc := range []struct {
		name     string
		a, b     Statement
		expected Statement
	}{
		{"later one counts", Statement{2, 1000, 5}, Statement{0, 2000, 0}, Statement{0, 2000, 0}},
		{"limit that changes", Statement{2, 1000, 5}, Statement{3, 2000, 0}, Statement{3, 2000, 7}},
		{"limit of which the other one knows more", Statement{2, 1000, 5}, Statement{2, 2000, 8}, Statement{2, 2000, 8}},
		{"limit that begins again", Statement{0, 1000, 0}, Statement{2, 2000, 0}, Statement{2, 2000, 0}},
		{"never stated", Statement{}, Statement{2, 2000, 1}, Statement{2, 2000, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			check.Equal(t, "merged", tc.a.Merge(tc.b), tc.expected)
			check.Equal(t, "in the other order", tc.b.Merge(tc.a), tc.expected)
		})
	}
}

// Guards against a message from which another process reads other times than were sent.
func TestStatementInMessage(t *testing.T) {
	s := Statement{PerSecond: 2, At: 150, Allowed: 9}
	m := s.RateLimit(200, "u")
	check.Equal(t, "statement", m.Statement(1200), Statement{2, 1150, 9})
	future := RateLimit{Age: -1000}
	check.AtMost(t, "time of a statement from the future", future.Statement(clock.Second).At, clock.Second)
}
