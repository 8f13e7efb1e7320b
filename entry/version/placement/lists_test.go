package placement

import (
	"slices"
	"testing"

	"goldcrestshore/core/process/check"
)

var listShape = Shape{Layers: 2, Experts: 6, Ranks: 3, SlotsPerRank: 3}

// validLists returns lists by rank and layer in which expert 0 has two replicas in layer 0.
func validLists() [][][]int {
	return [][][]int{
		{{0, 3}, {0, 3}},
		{{1, 4, 0}, {1, 4}},
		{{2, 5}, {2, 5}},
	}
}

// invalidLists are ways in which lists are not a map.
var invalidLists = []struct {
	name  string
	spoil func(lists [][][]int) [][][]int
}{
	{"number above the range", func(l [][][]int) [][][]int { l[1][0][1] = 64; return l }},
	{"first number above the range", func(l [][][]int) [][][]int { l[0][1][0] = 6; return l }},
	{"number below zero", func(l [][][]int) [][][]int { l[2][1][1] = -5; return l }},
	{"expert twice at a rank", func(l [][][]int) [][][]int { l[1][0][2] = 1; return l }},
	{"expert at no rank", func(l [][][]int) [][][]int { l[0][1][1] = 5; return l }},
	{"more experts than slots", func(l [][][]int) [][][]int { l[1][0] = []int{0, 1, 2, 4}; return l }},
	{"layer is missing", func(l [][][]int) [][][]int { l[0] = l[0][:1]; return l }},
	{"layer too many", func(l [][][]int) [][][]int { l[0] = append(l[0], []int{0}); return l }},
	{"layer too many at all ranks", func(l [][][]int) [][][]int {
		for rank := range l {
			l[rank] = append(l[rank], l[rank][0])
		}
		return l
	}},
	{"no layers", func(l [][][]int) [][][]int { l[2] = nil; return l }},
	{"rank is missing", func(l [][][]int) [][][]int { return l[:2] }},
	{"rank too many", func(l [][][]int) [][][]int { return append(l, l[0]) }},
}

func TestNewMap(t *testing.T) {
	// Guards against a map whose lists are attributed to other layers or ranks.
	t.Run("valid", func(t *testing.T) {
		m, err := listShape.NewMap(validLists())
		check.NoError(t, "NewMap", err)
		check.Equal(t, "experts of layer 0 at rank 1", slices.Equal(m[0][1], []int{1, 4, 0}), true)
		check.Equal(t, "experts of layer 1 at rank 2", slices.Equal(m[1][2], []int{2, 5}), true)
	})
	// Guards against numbers from a rank that the planner uses as indices, which ends the
	// process, and against plans for a map that the group doesn't have.
	for _, tc := range invalidLists {
		t.Run(tc.name, func(t *testing.T) {
			_, err := listShape.NewMap(tc.spoil(validLists()))
			check.Is(t, "NewMap", err, ErrInvalidLists)
		})
	}
}

func TestCandidates(t *testing.T) {
	// Guards against a group that waits because ranks refuse to prepare the map that supersedes
	// a change: it must have every expert, and none that a rank would have to copy if its own
	// list is unknown.
	for _, tc := range []struct {
		name string
		list []int
		want []int
	}{
		{"number above the range", []int{1, 64, 0}, []int{4}},
		{"number below zero", []int{-1, 4, 0}, []int{1}},
		{"expert twice", []int{1, 1, 0}, []int{4}},
		{"more experts than slots", []int{0, 1, 2, 4}, []int{4}},
		{"empty list", nil, []int{4}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			lists := validLists()
			lists[1][0] = tc.list
			m := listShape.Candidates(lists)[0]
			for _, e := range tc.want {
				check.Equal(t, "expert is listed", slices.Contains(m[0][1], e), true)
			}
			for _, e := range m[0][1] {
				check.Equal(t, "expert is not new", slices.Contains(validLists()[1][0], e), true)
			}
			check.Equal(t, "an expert is at no rank", slices.Contains(countReplicas(m[0], listShape.Experts), 0), false)
		})
	}
	// Guards against a group that waits because the configuration states another engine.
	t.Run("engine of another shape", func(t *testing.T) {
		other := Shape{Layers: 3, Experts: 8, Ranks: 3, SlotsPerRank: 2}
		candidates := other.Candidates(validLists())
		last := candidates[len(candidates)-1]
		check.Equal(t, "layers", len(last), listShape.Layers)
		check.Equal(t, "experts of layer 0 at rank 1", slices.Equal(last[0][1], []int{1, 4, 0}), true)
	})
}
