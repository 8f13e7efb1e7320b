package route

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of the prompt blocks that are hashed.
	BlockBytes = 256
	// BlockTokens is the estimated number of tokens in a block.
	BlockTokens = BlockBytes / 4
	// maxBlocks bounds the hashes of one request; prompts that share the first
	// 16 KB are routed alike.
	maxBlocks = 64
	// generationSize bounds the memory of the index, which has two generations of
	// this many hashes with up to holdersPerHash holders each, about 2 MB.
	generationSize = 16_384
	holdersPerHash = 3
)

// Prefixes returns the chained hashes of the complete blocks of a prompt: hash i
// identifies the first i+1 blocks.
func Prefixes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		// Digest.Write never returns an error.
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// holder is an upstream that is assumed to have a prefix cached.
type holder struct {
	serial    uint32
	epoch     uint16 // cacheState.epoch when added
	gaps      uint16 // cacheState.gaps when added
	confirmed bool   // reported by the engine, not only assumed from a request
}

type holders [holdersPerHash]holder

// prefixes maps prefix hashes to the upstreams that have the prefix cached. It
// has two generations; the old one is dropped when the young one is full.
type prefixes struct {
	young map[uint64]holders
	old   map[uint64]holders
}

func newPrefixes() prefixes {
	return prefixes{young: make(map[uint64]holders)}
}

func (p *prefixes) get(hash uint64) (holders, bool) {
	if h, ok := p.young[hash]; ok {
		return h, true
	}
	h, ok := p.old[hash]
	return h, ok
}

func (p *prefixes) put(hash uint64, h holders) {
	if _, ok := p.young[hash]; !ok && len(p.young) >= generationSize {
		p.old = p.young
		p.young = make(map[uint64]holders)
	}
	p.young[hash] = h
}

// hint records that u is expected to cache the prefixes of a request sent to it.
func (p *prefixes) hint(u *upstream, hashes []uint64) {
	for _, hash := range hashes {
		p.add(hash, holder{u.serial, u.cache.epoch, u.cache.gaps, false})
	}
}

// confirm records that u reported a prefix as stored.
func (p *prefixes) confirm(u *upstream, hash uint64) {
	p.add(hash, holder{u.serial, u.cache.epoch, u.cache.gaps, true})
}

// add inserts the holder at the front and drops the least recently added one.
func (p *prefixes) add(hash uint64, h holder) {
	current, _ := p.get(hash)
	replaced := holdersPerHash - 1
	for i, other := range current {
		if other.serial == h.serial {
			h.confirmed = h.confirmed || other.confirmed && other.epoch == h.epoch
			replaced = i
			break
		}
	}
	copy(current[1:replaced+1], current[:replaced])
	current[0] = h
	p.put(hash, current)
}

func (p *prefixes) evict(u *upstream, hash uint64) {
	current, ok := p.get(hash)
	if !ok {
		return
	}
	for i, other := range current {
		if other.serial == u.serial {
			current[i] = holder{}
		}
	}
	p.put(hash, current)
}

// hit is a prefix of a request that is in the index.
type hit struct {
	tokens  int
	holders holders
}

// find returns the prefixes of a request that are in the index, longest first.
func (p *prefixes) find(hashes []uint64) []hit {
	var hits []hit
	for i := len(hashes) - 1; i >= 0; i-- {
		if h, ok := p.get(hashes[i]); ok {
			hits = append(hits, hit{(i + 1) * BlockTokens, h})
		}
	}
	return hits
}

// expectedCachedTokens returns how many prompt tokens u is expected to have
// cached: the length of the longest hit on u, weighted by its confidence.
func expectedCachedTokens(u *upstream, hits []hit) int {
	for _, h := range hits {
		for _, holder := range h.holders {
			if holder.serial == u.serial && holder.epoch == u.cache.epoch {
				return int(float64(h.tokens) * confidence(u, holder))
			}
		}
	}
	return 0
}

// confidence returns the weight of a holder. It falls with each gap in the cache
// events, because any lost event may have been the eviction of this prefix, and
// is lower for a holder that no event has confirmed.
func confidence(u *upstream, h holder) float64 {
	confidence := 1.0
	if !h.confirmed {
		confidence = 0.9
	}
	for range min(u.cache.gaps-h.gaps, 8) {
		confidence *= 0.9
	}
	return confidence
}
