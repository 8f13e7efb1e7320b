package engine

import (
	"container/list"
	"math/rand/v2"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"goldcrestshore/core/process/clock"
)

// CacheBlockBytes is the size of one block of the prefix cache, in bytes of prompt.
const CacheBlockBytes = 256

// maxCacheEvents bounds the retained events. Beyond it the oldest are discarded.
const maxCacheEvents = 8192

// CacheEvent reports that a prefix was stored in or evicted from the cache.
// PrefixHash is the xxhash64, in hexadecimal, of the prompt's first bytes up to a
// block boundary.
type CacheEvent struct {
	Seq        uint64 `json:"seq"`
	PrefixHash string `json:"prefixHash"`
	Stored     bool   `json:"stored"`
}

// cache is a prefix cache with least-recently-used eviction.
type cache struct {
	maxBlocks  int
	blocks     map[uint64]*list.Element
	recency    *list.List
	events     []timedEvent
	seq        uint64
	gapPercent int
	random     *rand.Rand
}

type timedEvent struct {
	at    clock.Millis
	event CacheEvent
}

func newCache(o *Options) *cache {
	c := &cache{maxBlocks: o.CacheBlocks, gapPercent: o.CacheGapPercent, random: rand.New(rand.NewPCG(o.Seed, 2))}
	c.clear()
	return c
}

// clear empties the cache without emitting events, as a crash does.
func (c *cache) clear() {
	c.blocks = map[uint64]*list.Element{}
	c.recency = list.New()
}

// PrefixHashes returns the hash of each block-aligned prefix of a prompt, shortest first.
func PrefixHashes(prompt string) []uint64 {
	var digest xxhash.Digest
	digest.Reset()
	hashes := make([]uint64, 0, len(prompt)/CacheBlockBytes)
	for end := CacheBlockBytes; end <= len(prompt); end += CacheBlockBytes {
		_, _ = digest.WriteString(prompt[end-CacheBlockBytes : end])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// lookupAndStore stores the prefixes of a prompt and returns the length in bytes of
// the longest prefix that was already cached.
func (c *cache) lookupAndStore(prompt string, now clock.Millis) int {
	hashes := PrefixHashes(prompt)
	found := 0
	for _, h := range hashes {
		if c.blocks[h] == nil {
			break
		}
		found++
	}
	for _, h := range hashes {
		c.touch(h, now)
	}
	return found * CacheBlockBytes
}

func (c *cache) touch(hash uint64, now clock.Millis) {
	if e := c.blocks[hash]; e != nil {
		c.recency.MoveToFront(e)
		return
	}
	if c.maxBlocks == 0 {
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
	c.emit(hash, true, now)
	if c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Remove(c.recency.Back()).(uint64)
		delete(c.blocks, oldest)
		c.emit(oldest, false, now)
	}
}

// emit records an event. It drops gapPercent of the events at random, which leaves
// gaps in the sequence numbers.
func (c *cache) emit(hash uint64, stored bool, now clock.Millis) {
	c.seq++
	if c.random.IntN(100) < c.gapPercent {
		return
	}
	if len(c.events) == maxCacheEvents {
		c.events = append(c.events[:0], c.events[1:]...)
	}
	c.events = append(c.events, timedEvent{now, CacheEvent{c.seq, strconv.FormatUint(hash, 16), stored}})
}

// after returns the events with a sequence number above seq that happened no
// later than instant.
func (c *cache) after(seq uint64, instant clock.Millis) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range c.events {
		if e.event.Seq > seq && e.at <= instant {
			out = append(out, e.event)
		}
	}
	return out
}
