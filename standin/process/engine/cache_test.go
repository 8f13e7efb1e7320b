package engine

import (
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
)

func cacheOptions(gapPercent int) *Options {
	o := Defaults()
	o.CacheBlocks, o.CacheGapPercent = 3, gapPercent
	return &o
}

func TestCacheFindsTheLongestPrefix(t *testing.T) {
	c := newCache(cacheOptions(0))
	shared := strings.Repeat("s", CacheBlockBytes)
	check.Equal(t, "empty cache", c.lookupAndStore(shared+"x", 0), 0)
	check.Equal(t, "shared prefix", c.lookupAndStore(shared+strings.Repeat("y", CacheBlockBytes), 0), CacheBlockBytes)
	check.Equal(t, "whole prompt", c.lookupAndStore(shared+strings.Repeat("y", CacheBlockBytes), 0), 2*CacheBlockBytes)
	c.lookupAndStore(strings.Repeat("z", 2*CacheBlockBytes), 0)
	check.Equal(t, "oldest block evicted", len(c.blocks), 3)
}

// Guards against cache events without delay or gaps: readers must not rely on prompt
// and complete events.
func TestCacheEventsHaveDelayAndGaps(t *testing.T) {
	c := newCache(cacheOptions(50))
	for i := range 40 {
		c.lookupAndStore(strings.Repeat(string(rune('a'+i)), CacheBlockBytes), 100)
	}
	check.Equal(t, "before the lag", len(c.after(0, 99)), 0)
	events := c.after(0, 100)
	check.Equal(t, "some events lost", len(events) < int(c.seq), true)
	check.Equal(t, "some events delivered", len(events) > 0, true)
	last := events[len(events)-1].Seq
	check.Equal(t, "no newer events", len(c.after(last, 100)), 0)
}
