package experts

import (
	"io"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/config"
)

// listedRanks returns ranks that list the given experts of a single layer.
func listedRanks(lists ...[]int) []*rank {
	ranks := reportedRanks(make([]int, len(lists))...)
	for i, list := range lists {
		ranks[i].reply = &group.Reply{Experts: [][]int{list}}
	}
	return ranks
}

// Guards against a map that is believed for a whole term because of one wrong number, where the
// lists with the number are a map as well.
func TestMapIsReadTwice(t *testing.T) {
	log, err := event.NewLog(io.Discard, "error", "entry", "e")
	check.NoError(t, "NewLog", err)
	engine := &config.Engine{Layers: 1, Experts: 4, SlotsPerRank: 3}
	right, wrong, invalid := listedRanks([]int{0, 2, 1}, []int{1, 3}), listedRanks([]int{0, 2, 3}, []int{1, 3}), listedRanks([]int{0, 2, 9}, []int{1, 3})
	for _, tc := range []struct {
		name  string
		reads [][]*rank
		known bool
	}{
		{"read once", [][]*rank{right}, false},
		{"read twice", [][]*rank{right, right}, true},
		{"wrong before", [][]*rank{wrong, right, right}, true},
		{"wrong between", [][]*rank{right, wrong, right, right}, true},
		{"reads differ", [][]*rank{right, wrong}, false},
		{"not a map between", [][]*rank{right, invalid, right}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := Owner{Log: log}
			for _, ranks := range tc.reads {
				o.loadMap(ranks, engine)
			}
			check.Equal(t, "map is known", o.state.mapKnown, tc.known)
			check.Equal(t, "reads are forgotten", o.state.lastRead == nil, tc.known)
			if tc.known {
				check.Equal(t, "last expert of rank 0", o.state.current[0][0][2], 1)
			}
		})
	}
}
