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
		if len(experts) > s.SlotsPerRank {
			return errors.Wrapf(ErrInvalidLists, "layer %d: %d experts in %d slots", layer, len(experts), s.SlotsPerRank)
		}
		for i, e := range experts {
			switch {
			case e < 0 || e >= s.Experts:
				return errors.Wrapf(ErrInvalidLists, "layer %d: expert %d of %d", layer, e, s.Experts)
			case slices.Contains(experts[:i], e):
				return errors.Wrapf(ErrInvalidLists, "layer %d: expert %d twice", layer, e)
			}
		}
	}
	return nil
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
