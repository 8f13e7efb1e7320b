package experts

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/entry/version/config"
)

// Guards, after a shift in demand, against changes that copy for so long that the group
// is slow meanwhile, and against many small changes where copies are fast.
func TestCopiesOfOneChange(t *testing.T) {
	for _, tc := range []struct {
		name     string
		expertMB float64
		want     int
	}{
		{"slow copies", 2200, 1},
		{"fast copies", 320, 21},
		{"unknown", 0, minCopiesPerRank},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := maxCopiesPerRank(&config.Engine{ExpertMB: tc.expertMB, LinkMbps: 180000})
			check.Equal(t, "copies per rank", got, tc.want)
		})
	}
}
