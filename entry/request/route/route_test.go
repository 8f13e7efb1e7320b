package route

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

const model = "asistente"

// bench drives one Table over upstreams u0, u1, … in data centres a, b and c.
type bench struct {
	t    *testing.T
	r    *Table
	now  clock.Millis
	next uint64
}

func newBench(t *testing.T, upstreams int) *bench {
	b := &bench{t: t, r: New("entry-1", "a", rand.New(rand.NewPCG(1, 1))), now: clock.Second}
	var list []Upstream
	for i := range upstreams {
		list = append(list, NewUpstream(name(i), model, string(rune('a'+i%3))))
	}
	b.r.Apply(b.now, NewList(list))
	for i := range upstreams {
		b.beat(i, 0, 10, 0)
	}
	return b
}

func name(i int) string { return fmt.Sprintf("u%d", i) }

func (b *bench) beat(i, held, limit int, queueMs int64) {
	load := frame.NewLoad(model, frame.NewOccupancy(held, limit, 0, 0), frame.NewCondition(false, false, 1, 0), frame.NewPace(queueMs, 0))
	b.r.Apply(b.now, NewHeartbeat(name(i), load))
}

func (b *bench) choose(prefixes []uint64, tried ...string) (Choice, Request, error) {
	r := NewRequest(model, 1024, 0, prefixes)
	c, err := b.r.Choose(b.now, r, tried)
	return c, r, err
}

// counts chooses n times without sending and counts the choices.
func (b *bench) counts(n int, prefixes []uint64, tried ...string) map[string]int {
	counts := make(map[string]int)
	for range n {
		c, _, err := b.choose(prefixes, tried...)
		check.NoError(b.t, "choose", err)
		counts[c.Upstream()]++
	}
	return counts
}

func (b *bench) send(prefixes []uint64) (frame.ID, Choice) {
	c, r, err := b.choose(prefixes)
	check.NoError(b.t, "choose", err)
	b.next++
	id := frame.NewID(1, b.next)
	b.r.Apply(b.now, NewSent(id, c, r))
	return id, c
}

func TestChoose(t *testing.T) {
	t.Run("a tried upstream is not chosen again", func(t *testing.T) {
		b := newBench(t, 2)
		check.Equal(t, "u0", b.counts(50, nil, "u0")["u0"], 0)
		_, _, err := b.choose(nil, "u0", "u1")
		check.Is(t, "all tried", err, ErrNoUpstream)
	})
	t.Run("an unknown service has no upstream", func(t *testing.T) {
		b := newBench(t, 2)
		_, err := b.r.Choose(b.now, NewRequest("other", 1, 0, nil), nil)
		check.Is(t, "choose", err, ErrNoUpstream)
	})
	t.Run("queues are avoided", func(t *testing.T) {
		b := newBench(t, 3)
		b.beat(0, 5, 10, 500)
		check.Equal(t, "u0", b.counts(100, nil)["u0"], 0)
	})
	t.Run("the same data centre is preferred", func(t *testing.T) {
		b := newBench(t, 3)
		counts := b.counts(300, nil)
		check.AtMost(t, "u1", counts["u1"], counts["u0"]/2)
		check.AtMost(t, "u2", counts["u2"], counts["u0"]/2)
	})
	t.Run("own work since the report counts", func(t *testing.T) {
		b := newBench(t, 3)
		held := make(map[string]int)
		for range 30 {
			_, c := b.send(nil)
			held[c.Upstream()]++
		}
		check.AtMost(t, "u0", held["u0"], 10)
		check.AtMost(t, "u1", held["u1"], 10)
		check.AtMost(t, "u2", held["u2"], 10)
		_, _, err := b.choose(nil)
		check.Is(t, "all full", err, ErrNoRoom)
		check.Equal(t, "room", b.r.Room(b.now, model), 0)
	})
	t.Run("a report does not hide a request that is still on its way", func(t *testing.T) {
		b := newBench(t, 1)
		b.send(nil)
		b.beat(0, 0, 10, 0)
		check.Equal(t, "room while on its way", b.r.Room(b.now, model), 9)
		b.now += flight
		b.beat(0, 1, 10, 0)
		check.Equal(t, "room after its arrival", b.r.Room(b.now, model), 9)
	})
	t.Run("memory that would not fit makes an upstream full", func(t *testing.T) {
		b := newBench(t, 1)
		load := frame.NewLoad(model, frame.NewOccupancy(1, 10, 900, 1000), frame.NewCondition(false, false, 1, 0), frame.NewPace(0, 0))
		b.r.Apply(b.now, NewHeartbeat("u0", load))
		_, err := b.r.Choose(b.now, NewRequest(model, 1, 200, nil), nil)
		check.Is(t, "choose", err, ErrNoRoom)
	})
	t.Run("a refusal makes an upstream full until its next report", func(t *testing.T) {
		b := newBench(t, 1)
		id, _ := b.send(nil)
		b.r.Apply(b.now, NewRefused(id))
		_, _, err := b.choose(nil)
		check.Is(t, "after the refusal", err, ErrNoRoom)
		b.beat(0, 0, 10, 0)
		_, _, err = b.choose(nil)
		check.NoError(t, "after the report", err)
	})
}

func TestSkip(t *testing.T) {
	cases := []struct {
		name string
		do   func(b *bench)
	}{
		{"data centre out", func(b *bench) { b.r.Apply(b.now, NewOutMarks([]string{"a"}, nil)) }},
		{"instance out", func(b *bench) { b.r.Apply(b.now, NewOutMarks(nil, []string{"u0"})) }},
		{"connection lost", func(b *bench) { b.r.Apply(b.now, NewLost("u0")) }},
		{"silent", func(b *bench) {
			b.now += Silence
			b.beat(1, 0, 10, 0)
		}},
		{"leaving", func(b *bench) {
			load := frame.NewLoad(model, frame.NewOccupancy(0, 10, 0, 0), frame.NewCondition(false, true, 1, 0), frame.NewPace(0, 0))
			b.r.Apply(b.now, NewHeartbeat("u0", load))
		}},
		{"not admitting", func(b *bench) { b.beat(0, 0, 0, 0) }},
		{"removed from the list", func(b *bench) {
			b.r.Apply(b.now, NewList([]Upstream{NewUpstream("u1", model, "b")}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 2)
			c.do(b)
			check.Equal(t, "u0", b.counts(20, nil)["u0"], 0)
		})
	}
}

func TestRamp(t *testing.T) {
	b := newBench(t, 1)
	b.r.Apply(b.now, NewOutMarks(nil, []string{"u0"}))
	b.r.Apply(b.now, NewOutMarks(nil, nil))
	check.Equal(t, "room on return", b.r.Room(b.now, model), 1)
	b.now += 500
	b.beat(0, 0, 10, 0)
	check.Equal(t, "room after waiting", b.r.Room(b.now, model), 1)
	for _, want := range []int{2, 2, 4, 4, 4, 4, 8} {
		id, _ := b.send(nil)
		b.r.Apply(b.now, NewDone(id, true))
		check.Equal(t, "room after completion", b.r.Room(b.now, model), want)
	}
	id, _ := b.send(nil)
	b.r.Apply(b.now, NewDone(id, false))
	check.Equal(t, "room after failure", b.r.Room(b.now, model), 8)
}

func TestWarming(t *testing.T) {
	b := newBench(t, 3)
	load := frame.NewLoad(model, frame.NewOccupancy(0, 2, 0, 0), frame.NewCondition(true, false, 1, 0), frame.NewPace(5000, 0))
	b.r.Apply(b.now, NewHeartbeat("u1", load))
	check.Equal(t, "choices of a slow cold upstream", b.counts(4*warmingLeast, nil)["u1"], 4)
	hashes := Prefixes(make([]byte, 4*BlockBytes))
	b.r.Apply(b.now, NewCacheEvent("u0", 1, hashes[3], true))
	check.Equal(t, "choices for cached prompts", b.counts(4*warmingMost, hashes)["u1"], 4)
}

func TestSubset(t *testing.T) {
	b := newBench(t, 300)
	first := b.r.Subset(model)
	check.Equal(t, "size", len(first), SubsetSize)
	other := newBench(t, 300)
	for i, n := range other.r.Subset(model) {
		check.Equal(t, "member", n, first[i])
	}
	near := 0
	for _, n := range first {
		if b.r.upstreams[n].dataCentre == "a" {
			near++
		}
	}
	check.Equal(t, "in the own data centre", near, SubsetSize/2)
}

func TestPrefix(t *testing.T) {
	prompt := make([]byte, 4*BlockBytes)
	hashes := Prefixes(prompt)
	t.Run("a longer prompt extends the hashes", func(t *testing.T) {
		longer := Prefixes(append(prompt, prompt...))
		check.Equal(t, "hash of the common part", longer[3], hashes[3])
		check.Equal(t, "blocks", len(longer), 8)
	})
	t.Run("a confirmed prefix attracts", func(t *testing.T) {
		b := newBench(t, 12)
		for i, h := range hashes {
			b.r.Apply(b.now, NewCacheEvent("u7", uint64(i+1), h, true))
		}
		check.Equal(t, "u7", b.counts(50, hashes)["u7"], 50)
	})
	t.Run("an own send attracts", func(t *testing.T) {
		b := newBench(t, 12)
		id, c := b.send(hashes)
		b.r.Apply(b.now, NewDone(id, true))
		check.Equal(t, "same upstream", b.counts(50, hashes)[c.Upstream()], 50)
	})
	t.Run("a long queue outweighs a prefix", func(t *testing.T) {
		b := newBench(t, 12)
		b.r.Apply(b.now, NewCacheEvent("u7", 1, hashes[3], true))
		b.beat(7, 5, 10, 1000)
		check.Equal(t, "u7", b.counts(50, hashes)["u7"], 0)
	})
	t.Run("an evicted prefix does not count", func(t *testing.T) {
		b := newBench(t, 12)
		b.r.Apply(b.now, NewCacheEvent("u7", 1, hashes[3], true))
		b.r.Apply(b.now, NewCacheEvent("u7", 2, hashes[3], false))
		c, _, _ := b.choose(hashes)
		check.Equal(t, "cached tokens", c.CachedTokens(), 0)
	})
	t.Run("gaps in the events lower the trust", func(t *testing.T) {
		b := newBench(t, 1)
		b.r.Apply(b.now, NewCacheEvent("u0", 1, hashes[3], true))
		before, _, _ := b.choose(hashes)
		b.r.Apply(b.now, NewCacheEvent("u0", 9, 1, true))
		after, _, _ := b.choose(hashes)
		check.AtMost(t, "cached tokens", after.CachedTokens(), before.CachedTokens()-1)
	})
	t.Run("a restart empties the cache", func(t *testing.T) {
		b := newBench(t, 1)
		b.r.Apply(b.now, NewCacheEvent("u0", 1, hashes[3], true))
		load := frame.NewLoad(model, frame.NewOccupancy(0, 10, 0, 0), frame.NewCondition(true, false, 2, 0), frame.NewPace(0, 0))
		b.r.Apply(b.now, NewHeartbeat("u0", load))
		c, _, _ := b.choose(hashes)
		check.Equal(t, "cached tokens", c.CachedTokens(), 0)
	})
	t.Run("the index is bounded", func(t *testing.T) {
		b := newBench(t, 1)
		for i := range uint64(5 * generation) {
			b.r.Apply(b.now, NewCacheEvent("u0", i+1, i, true))
		}
		check.AtMost(t, "hashes", len(b.r.prefixes.young)+len(b.r.prefixes.old), 2*generation)
	})
}

func TestReady(t *testing.T) {
	hashes := Prefixes(make([]byte, 4*BlockBytes))
	ready := func(b *bench, sequence uint64, prefixes []uint64) frame.ID {
		id := frame.NewID(2, sequence)
		b.r.Apply(b.now, NewReady(id, NewRequest(model, 1024, 0, prefixes), nil))
		return id
	}
	t.Run("the request that fits the cache goes first", func(t *testing.T) {
		b := newBench(t, 1)
		b.r.Apply(b.now, NewCacheEvent("u0", 1, hashes[3], true))
		ready(b, 1, nil)
		fits := ready(b, 2, hashes)
		id, _, _ := b.r.Next(b.now, model)
		check.Equal(t, "first", id, fits)
	})
	t.Run("a request is not passed over for long", func(t *testing.T) {
		b := newBench(t, 1)
		b.r.Apply(b.now, NewCacheEvent("u0", 1, hashes[3], true))
		old := ready(b, 1, nil)
		b.now += maxReady
		b.beat(0, 0, 10, 0)
		ready(b, 2, hashes)
		id, _, _ := b.r.Next(b.now, model)
		check.Equal(t, "first", id, old)
	})
	t.Run("nothing is sent without room", func(t *testing.T) {
		b := newBench(t, 1)
		b.beat(0, 10, 10, 0)
		ready(b, 1, nil)
		_, _, ok := b.r.Next(b.now, model)
		check.Equal(t, "sent", ok, false)
	})
	t.Run("a withdrawn request is not sent", func(t *testing.T) {
		b := newBench(t, 1)
		b.r.Apply(b.now, NewWithdrawn(ready(b, 1, nil)))
		_, _, ok := b.r.Next(b.now, model)
		check.Equal(t, "sent", ok, false)
	})
	t.Run("a sent request counts", func(t *testing.T) {
		b := newBench(t, 1)
		ready(b, 1, nil)
		_, choice, _ := b.r.Next(b.now, model)
		check.Equal(t, "upstream", choice.Upstream(), "u0")
		check.Equal(t, "room", b.r.Room(b.now, model), 9)
	})
}
