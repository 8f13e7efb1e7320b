package engine

import (
	"container/list"
)

// BlockTokens is the number of prompt tokens of one cache block.
const BlockTokens = 64

// cache is a prompt-prefix cache with least-recently-used eviction.
type cache struct {
	blocks   map[uint64]*list.Element
	recency  *list.List
	onChange func(hash uint64, stored bool)
}

func newCache(onChange func(hash uint64, stored bool)) *cache {
	c := &cache{onChange: onChange}
	c.clear()
	return c
}

// clear empties the cache without sending eviction events, as a process failure
// does.
func (c *cache) clear() {
	c.blocks = make(map[uint64]*list.Element)
	c.recency = list.New()
}

// lookUpAndStore returns how many leading prompt tokens were cached and stores
// all blocks of the prompt.
func (c *cache) lookUpAndStore(hashes []uint64) int {
	found := 0
	for _, h := range hashes {
		if c.blocks[h] == nil {
			break
		}
		found++
	}
	// Blocks are touched from last to first, so that a prefix is evicted after
	// the blocks that extend it.
	for i := len(hashes) - 1; i >= 0; i-- {
		c.touch(hashes[i])
	}
	return found * BlockTokens
}

func (c *cache) touch(hash uint64) {
	if at := c.blocks[hash]; at != nil {
		c.recency.MoveToFront(at)
		return
	}
	c.blocks[hash] = c.recency.PushFront(hash)
	c.onChange(hash, true)
}

// shrink evicts least recently used blocks until the cache holds at most the
// given number of tokens.
func (c *cache) shrink(tokens int64) {
	for int64(len(c.blocks))*BlockTokens > max(tokens, 0) {
		last := c.recency.Back()
		hash := c.recency.Remove(last).(uint64)
		delete(c.blocks, hash)
		c.onChange(hash, false)
	}
}
