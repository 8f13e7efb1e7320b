package placement

import (
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalidLists means that the lists of experts of all ranks are not a map of the group.
var ErrInvalidLists = errors.New("lists of experts are not a map")

// NewMap returns the map that the lists of all ranks make up. They hold the numbers of experts
// by rank and layer. Every layer must list every expert at least once, none twice at the same
// rank, and at most SlotsPerRank at each rank.
func (s Shape) NewMap(lists [][][]int) (Map, error) {
	if len(lists) != s.Ranks {
		return nil, errors.Wrapf(ErrInvalidLists, "%d ranks of %d", len(lists), s.Ranks)
	}
	for rank, layers := range lists {
		if err := s.checkRank(layers); err != nil {
			return nil, errors.Wrapf(err, "rank %d", rank)
		}
	}
	m := byLayer(lists, s.Layers)
	for layer, ranks := range m {
		if e := slices.Index(countReplicas(ranks, s.Experts), 0); e >= 0 {
			return nil, errors.Wrapf(ErrInvalidLists, "layer %d: expert %d is at no rank", layer, e)
		}
	}
	return m, nil
}

// checkRank checks the lists of one rank.
func (s Shape) checkRank(layers [][]int) error {
	if len(layers) != s.Layers {
		return errors.Wrapf(ErrInvalidLists, "%d layers of %d", len(layers), s.Layers)
	}
	for layer, experts := range layers {
		if err := s.checkList(experts); err != nil {
			return errors.Wrapf(err, "layer %d", layer)
		}
	}
	return nil
}

// checkList checks the list of one layer of a rank.
func (s Shape) checkList(experts []int) error {
	if len(experts) > s.SlotsPerRank {
		return errors.Wrapf(ErrInvalidLists, "%d experts in %d slots", len(experts), s.SlotsPerRank)
	}
	for i, e := range experts {
		switch {
		case e < 0 || e >= s.Experts:
			return errors.Wrapf(ErrInvalidLists, "expert %d of %d", e, s.Experts)
		case slices.Contains(experts[:i], e):
			return errors.Wrapf(ErrInvalidLists, "expert %d twice", e)
		}
	}
	return nil
}

// Candidates returns maps that may be the one in use or a part of it although the lists are not
// a map, for orders that ranks check and that change no rank's experts. The first one has the
// shape s: lists that break a rule are left out, and experts that are at no rank then are added.
// The second one has the shape that the lists themselves state, which differs from s if the
// configuration of the engine does. Either may be missing.
func (s Shape) Candidates(lists [][][]int) []Map {
	var candidates []Map
	if m, ok := s.repair(lists); ok {
		candidates = append(candidates, m)
	}
	if m, err := statedShape(lists).NewMap(lists); err == nil {
		candidates = append(candidates, m)
	}
	return candidates
}

// statedShape returns the smallest shape that lists can have.
func statedShape(lists [][][]int) Shape {
	s := Shape{Ranks: len(lists)}
	for _, layers := range lists {
		s.Layers = max(s.Layers, len(layers))
		for _, experts := range layers {
			s.SlotsPerRank = max(s.SlotsPerRank, len(experts))
			for _, e := range experts {
				s.Experts = max(s.Experts, min(e, maxStatedExperts-1)+1)
			}
		}
	}
	return s
}

// maxStatedExperts bounds the memory that a wrong number in a list can cost.
const maxStatedExperts = 1 << 16

// repair returns a map of the lists that break no rule, to which the experts are added that are
// at no rank. It reports false if ranks have too few slots for them.
func (s Shape) repair(lists [][][]int) (Map, bool) {
	m := make(Map, s.Layers)
	for layer := range m {
		m[layer] = make([][]int, len(lists))
		valid := make([]bool, len(lists))
		for rank, layers := range lists {
			if layer < len(layers) && s.checkList(layers[layer]) == nil {
				m[layer][rank], valid[rank] = slices.Clone(layers[layer]), true
			}
		}
		if !s.addMissing(m[layer], valid) {
			return nil, false
		}
	}
	return m, true
}

// addMissing adds the experts that are at no rank, to ranks without a valid list if there are any.
// It reports false if ranks have too few slots for them.
func (s Shape) addMissing(ranks [][]int, valid []bool) bool {
	for e, n := range countReplicas(ranks, s.Experts) {
		if n > 0 {
			continue
		}
		best := -1
		for rank := range ranks {
			if len(ranks[rank]) < s.SlotsPerRank && (best < 0 || preferred(ranks, valid, rank, best)) {
				best = rank
			}
		}
		if best < 0 {
			return false
		}
		ranks[best] = append(ranks[best], e)
	}
	return true
}

// preferred reports whether an expert is added to rank a rather than to rank b.
func preferred(ranks [][]int, valid []bool, a, b int) bool {
	if valid[a] != valid[b] {
		return valid[b]
	}
	return len(ranks[a]) < len(ranks[b])
}

// byLayer arranges lists by layer and rank. Every rank must have the given number of layers.
func byLayer(lists [][][]int, layers int) Map {
	m := make(Map, layers)
	for layer := range m {
		m[layer] = make([][]int, len(lists))
		for rank := range lists {
			m[layer][rank] = slices.Clone(lists[rank][layer])
		}
	}
	return m
}
