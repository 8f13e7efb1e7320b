package route

import (
	"github.com/cespare/xxhash/v2"
)

const (
	// BlockBytes is the length of prompt text that one prefix hash adds.
	BlockBytes = 256
	// BlockTokens is how many tokens a block stands for.
	BlockTokens = BlockBytes / 4
	// maxBlocks bounds the hashes of one request; prompts that differ later than
	// 16 KB are equal for routing.
	maxBlocks = 64
	// generationSize bounds the memory of the index: two generations of this many
	// hashes with up to holdersPerHash holders, about 2 MB.
	generationSize = 16_384
	holdersPerHash = 3
)

// Prefixes returns the chained hashes of the whole blocks of a prompt: hash i
// identifies the first i+1 blocks.
func Prefixes(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		// A Digest never returns an error from its writers.
		_, _ = d.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// holder is an upstream that is believed to hold a prefix.
type holder struct {
	serial    uint32
	epoch     uint16
	gaps      uint16
	confirmed bool
}

type holders [holdersPerHash]holder

// prefixIndex is the index of who holds which prefix. It has two generations;
// the older one is dropped when the younger one is full.
type prefixIndex struct {
	young map[uint64]holders
	old   map[uint64]holders
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{young: make(map[uint64]holders)}
}

func (p *prefixIndex) get(hash uint64) (holders, bool) {
	if h, ok := p.young[hash]; ok {
		return h, true
	}
	h, ok := p.old[hash]
	return h, ok
}

func (p *prefixIndex) put(hash uint64, h holders) {
	if _, ok := p.young[hash]; !ok && len(p.young) >= generationSize {
		p.old = p.young
		p.young = make(map[uint64]holders)
	}
	p.young[hash] = h
}

// hint notes that u will hold the prefixes of a request sent to it.
func (p *prefixIndex) hint(u *upstream, hashes []uint64) {
	for _, hash := range hashes {
		p.add(hash, holder{u.serial, u.cache.epoch, u.cache.gaps, false})
	}
}

// confirm notes that u reported a prefix as stored.
func (p *prefixIndex) confirm(u *upstream, hash uint64) {
	p.add(hash, holder{u.serial, u.cache.epoch, u.cache.gaps, true})
}

// add puts the holder first and drops the one that was noted longest ago.
func (p *prefixIndex) add(hash uint64, h holder) {
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

func (p *prefixIndex) evict(u *upstream, hash uint64) {
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

// hit is a prefix of a request that some upstreams hold.
type hit struct {
	tokens  int
	holders holders
}

// find returns the known prefixes of a request, longest first.
func (p *prefixIndex) find(hashes []uint64) []hit {
	var hits []hit
	for i := len(hashes) - 1; i >= 0; i-- {
		if h, ok := p.get(hashes[i]); ok {
			hits = append(hits, hit{(i + 1) * BlockTokens, h})
		}
	}
	return hits
}

// expectedCachedTokens returns how many prompt tokens u is expected to have cached: the
// longest known prefix, weighted by how far the knowledge can be trusted.
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

// confidence falls with each gap in the events, any of which may have been the
// eviction of this prefix. An unconfirmed hint counts for less.
func confidence(u *upstream, h holder) float64 {
	factor := 1.0
	if !h.confirmed {
		factor = 0.9
	}
	for range min(u.cache.gaps-h.gaps, 8) {
		factor *= 0.9
	}
	return factor
}
