// Package rendezvous places keys on instances by highest-random-weight hashing,
// so that the loss of one instance moves only the keys it held.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n names that weigh most for key, heaviest first. It returns
// fewer when there are fewer names, and leaves names unchanged.
func Top(key string, names []string, n int) []string {
	type candidate struct {
		name   string
		weight uint64
	}
	candidates := make([]candidate, len(names))
	for i, name := range names {
		candidates[i] = candidate{name, Weight(key, name)}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.weight != b.weight {
			return cmp.Compare(b.weight, a.weight)
		}
		return cmp.Compare(a.name, b.name)
	})
	top := make([]string, 0, min(n, len(candidates)))
	for _, w := range candidates[:min(n, len(candidates))] {
		top = append(top, w.name)
	}
	return top
}

// Weight returns the weight of name for key.
func Weight(key, name string) uint64 {
	d := xxhash.New()
	// A Digest never returns an error from its writers.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
