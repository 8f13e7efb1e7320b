package experts

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/group"
)

// reportedRanks returns ranks that report the given sizes of their group, in rank order.
func reportedRanks(sizes ...int) []*rank {
	var ranks []*rank
	for i, size := range sizes {
		ranks = append(ranks, &rank{report: group.Report{Group: "g", Epoch: 1, Rank: i, Size: size, Open: true}})
	}
	return ranks
}

// Guards against a part of a group that passes for all of it, and whose map is changed without
// the other ranks, because one rank reports a smaller size.
func TestCompleteGroup(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ranks []*rank
		want  bool
	}{
		{"all ranks", reportedRanks(3, 3, 3), true},
		{"last rank is missing", reportedRanks(4, 4, 4), false},
		{"last rank is missing, first one reports less", reportedRanks(3, 4, 4), false},
		{"last rank is missing, another one reports less", reportedRanks(4, 3, 4), false},
		{"another one reports more", reportedRanks(3, 3, 4), false},
		{"first rank is missing", reportedRanks(3, 3, 3)[1:], false},
		{"no rank", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, got := arrangeByRank(tc.ranks)
			check.Equal(t, "complete", got, tc.want)
		})
	}
}
