// Package rendezvous assigns keys to instances by rendezvous (highest random
// weight) hashing, so that the loss of an instance moves only the keys assigned
// to it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Top returns the n names with the highest weights for key, highest first. It
// returns fewer if there are fewer names. It does not modify names.
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
	// The write methods of a Digest never return an error.
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}
