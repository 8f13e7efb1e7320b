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

// fixture drives one Table over upstreams u0, u1, … in data centres a, b and c.
type fixture struct {
	t      *testing.T
	r      *Table
	now    clock.Millis
	lastID uint64
}

func newFixture(t *testing.T, upstreams int) *fixture {
	f := &fixture{t: t, r: New("entry-1", "a", rand.New(rand.NewPCG(1, 1))), now: clock.Second}
	var list []Upstream
	for i := range upstreams {
		list = append(list, NewUpstream(name(i), model, string(rune('a'+i%3))))
	}
	f.r.Apply(f.now, NewUpstreamList(list))
	for i := range upstreams {
		f.heartbeat(i, 0, 10, 0)
	}
	return f
}

func name(i int) string { return fmt.Sprintf("u%d", i) }

func (f *fixture) heartbeat(i, inFlight, limit int, queueMs int64) {
	load := frame.NewLoad(model, frame.NewOccupancy(inFlight, limit, 0, 0), frame.NewCondition(false, false, 1, 0), frame.NewLatency(queueMs, 0))
	f.r.Apply(f.now, NewHeartbeat(name(i), load))
}

func (f *fixture) choose(prefixes []uint64, tried ...string) (Choice, Request, error) {
	r := NewRequest(model, 1024, 0, prefixes)
	c, err := f.r.Choose(f.now, r, tried)
	return c, r, err
}

// choices calls Choose n times without sending and returns the number of
// choices per upstream.
func (f *fixture) choices(n int, prefixes []uint64, tried ...string) map[string]int {
	choices := make(map[string]int)
	for range n {
		c, _, err := f.choose(prefixes, tried...)
		check.NoError(f.t, "choose", err)
		choices[c.Upstream()]++
	}
	return choices
}

func (f *fixture) send(prefixes []uint64) (frame.ID, Choice) {
	c, r, err := f.choose(prefixes)
	check.NoError(f.t, "choose", err)
	f.lastID++
	id := frame.NewID(1, f.lastID)
	f.r.Apply(f.now, NewSent(id, c, r))
	return id, c
}

func TestChoose(t *testing.T) {
	t.Run("a tried upstream is not chosen again", func(t *testing.T) {
		f := newFixture(t, 2)
		check.Equal(t, "u0", f.choices(50, nil, "u0")["u0"], 0)
		_, _, err := f.choose(nil, "u0", "u1")
		check.Is(t, "all tried", err, ErrNoUpstream)
	})
	t.Run("an unknown service has no upstream", func(t *testing.T) {
		f := newFixture(t, 2)
		_, err := f.r.Choose(f.now, NewRequest("other", 1, 0, nil), nil)
		check.Is(t, "choose", err, ErrNoUpstream)
	})
	t.Run("queues are avoided", func(t *testing.T) {
		f := newFixture(t, 3)
		f.heartbeat(0, 5, 10, 500)
		check.Equal(t, "u0", f.choices(100, nil)["u0"], 0)
	})
	t.Run("the same data centre is preferred", func(t *testing.T) {
		f := newFixture(t, 3)
		choices := f.choices(300, nil)
		check.AtMost(t, "u1", choices["u1"], choices["u0"]/2)
		check.AtMost(t, "u2", choices["u2"], choices["u0"]/2)
	})
	t.Run("requests sent since the last report count", func(t *testing.T) {
		f := newFixture(t, 3)
		sent := make(map[string]int)
		for range 30 {
			_, c := f.send(nil)
			sent[c.Upstream()]++
		}
		check.AtMost(t, "u0", sent["u0"], 10)
		check.AtMost(t, "u1", sent["u1"], 10)
		check.AtMost(t, "u2", sent["u2"], 10)
		_, _, err := f.choose(nil)
		check.Is(t, "all full", err, ErrNoCapacity)
		check.Equal(t, "free capacity", f.r.FreeCapacity(f.now, model), 0)
	})
	t.Run("a report does not hide a request in transit", func(t *testing.T) {
		f := newFixture(t, 1)
		f.send(nil)
		f.heartbeat(0, 0, 10, 0)
		check.Equal(t, "free capacity while in transit", f.r.FreeCapacity(f.now, model), 9)
		f.now += maxTransitTime
		f.heartbeat(0, 1, 10, 0)
		check.Equal(t, "free capacity after its arrival", f.r.FreeCapacity(f.now, model), 9)
	})
	t.Run("an upstream without memory for the request is full", func(t *testing.T) {
		f := newFixture(t, 1)
		load := frame.NewLoad(model, frame.NewOccupancy(1, 10, 900, 1000), frame.NewCondition(false, false, 1, 0), frame.NewLatency(0, 0))
		f.r.Apply(f.now, NewHeartbeat("u0", load))
		_, err := f.r.Choose(f.now, NewRequest(model, 1, 200, nil), nil)
		check.Is(t, "choose", err, ErrNoCapacity)
	})
	t.Run("a refusal makes an upstream full until its next report", func(t *testing.T) {
		f := newFixture(t, 1)
		id, _ := f.send(nil)
		f.r.Apply(f.now, NewRefused(id))
		_, _, err := f.choose(nil)
		check.Is(t, "after the refusal", err, ErrNoCapacity)
		f.heartbeat(0, 0, 10, 0)
		_, _, err = f.choose(nil)
		check.NoError(t, "after the report", err)
	})
}

func TestUnusableUpstreamsAreSkipped(t *testing.T) {
	cases := []struct {
		name  string
		apply func(f *fixture)
	}{
		{"data centre drained", func(f *fixture) { f.r.Apply(f.now, NewDrainFlags([]string{"a"}, nil)) }},
		{"instance drained", func(f *fixture) { f.r.Apply(f.now, NewDrainFlags(nil, []string{"u0"})) }},
		{"connection lost", func(f *fixture) { f.r.Apply(f.now, NewConnectionLost("u0")) }},
		{"heartbeat timed out", func(f *fixture) {
			f.now += HeartbeatTimeout
			f.heartbeat(1, 0, 10, 0)
		}},
		{"draining", func(f *fixture) {
			load := frame.NewLoad(model, frame.NewOccupancy(0, 10, 0, 0), frame.NewCondition(false, true, 1, 0), frame.NewLatency(0, 0))
			f.r.Apply(f.now, NewHeartbeat("u0", load))
		}},
		{"not admitting", func(f *fixture) { f.heartbeat(0, 0, 0, 0) }},
		{"removed from the list", func(f *fixture) {
			f.r.Apply(f.now, NewUpstreamList([]Upstream{NewUpstream("u1", model, "b")}))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, 2)
			c.apply(f)
			check.Equal(t, "u0", f.choices(20, nil)["u0"], 0)
		})
	}
}

func TestRampAfterDrain(t *testing.T) {
	f := newFixture(t, 1)
	f.r.Apply(f.now, NewDrainFlags(nil, []string{"u0"}))
	f.r.Apply(f.now, NewDrainFlags(nil, nil))
	check.Equal(t, "free capacity after the drain", f.r.FreeCapacity(f.now, model), 1)
	f.now += 500
	f.heartbeat(0, 0, 10, 0)
	check.Equal(t, "free capacity after a heartbeat", f.r.FreeCapacity(f.now, model), 1)
	for _, want := range []int{2, 2, 4, 4, 4, 4, 8} {
		id, _ := f.send(nil)
		f.r.Apply(f.now, NewDone(id, true))
		check.Equal(t, "free capacity after completion", f.r.FreeCapacity(f.now, model), want)
	}
	id, _ := f.send(nil)
	f.r.Apply(f.now, NewDone(id, false))
	check.Equal(t, "free capacity after failure", f.r.FreeCapacity(f.now, model), 8)
}

func TestColdUpstreamGetsRequests(t *testing.T) {
	f := newFixture(t, 3)
	load := frame.NewLoad(model, frame.NewOccupancy(0, 2, 0, 0), frame.NewCondition(true, false, 1, 0), frame.NewLatency(5000, 0))
	f.r.Apply(f.now, NewHeartbeat("u1", load))
	check.Equal(t, "choices of a cold upstream with a long queue", f.choices(4*minColdInterval, nil)["u1"], 4)
	hashes := Prefixes(make([]byte, 4*BlockBytes))
	f.r.Apply(f.now, NewCacheEvent("u0", 1, hashes[3], true))
	check.Equal(t, "choices for cached prompts", f.choices(4*maxColdInterval, hashes)["u1"], 4)
}

func TestSubset(t *testing.T) {
	f := newFixture(t, 300)
	first := f.r.Subset(model)
	check.Equal(t, "size", len(first), SubsetSize)
	other := newFixture(t, 300)
	for i, n := range other.r.Subset(model) {
		check.Equal(t, "member", n, first[i])
	}
	local := 0
	for _, n := range first {
		if f.r.upstreams[n].dataCentre == "a" {
			local++
		}
	}
	check.Equal(t, "in the own data centre", local, SubsetSize/2)
}

func TestPrefix(t *testing.T) {
	prompt := make([]byte, 4*BlockBytes)
	hashes := Prefixes(prompt)
	t.Run("a longer prompt extends the hashes", func(t *testing.T) {
		longer := Prefixes(append(prompt, prompt...))
		check.Equal(t, "hash of the common part", longer[3], hashes[3])
		check.Equal(t, "blocks", len(longer), 8)
	})
	t.Run("an upstream with a confirmed prefix is preferred", func(t *testing.T) {
		f := newFixture(t, 12)
		for i, h := range hashes {
			f.r.Apply(f.now, NewCacheEvent("u7", uint64(i+1), h, true))
		}
		check.Equal(t, "u7", f.choices(50, hashes)["u7"], 50)
	})
	t.Run("the upstream of an earlier request is preferred", func(t *testing.T) {
		f := newFixture(t, 12)
		id, c := f.send(hashes)
		f.r.Apply(f.now, NewDone(id, true))
		check.Equal(t, "same upstream", f.choices(50, hashes)[c.Upstream()], 50)
	})
	t.Run("a long queue outweighs a cached prefix", func(t *testing.T) {
		f := newFixture(t, 12)
		f.r.Apply(f.now, NewCacheEvent("u7", 1, hashes[3], true))
		f.heartbeat(7, 5, 10, 1000)
		check.Equal(t, "u7", f.choices(50, hashes)["u7"], 0)
	})
	t.Run("an evicted prefix does not count", func(t *testing.T) {
		f := newFixture(t, 12)
		f.r.Apply(f.now, NewCacheEvent("u7", 1, hashes[3], true))
		f.r.Apply(f.now, NewCacheEvent("u7", 2, hashes[3], false))
		c, _, _ := f.choose(hashes)
		check.Equal(t, "cached tokens", c.CachedTokens(), 0)
	})
	t.Run("gaps in the events lower the confidence", func(t *testing.T) {
		f := newFixture(t, 1)
		f.r.Apply(f.now, NewCacheEvent("u0", 1, hashes[3], true))
		before, _, _ := f.choose(hashes)
		f.r.Apply(f.now, NewCacheEvent("u0", 9, 1, true))
		after, _, _ := f.choose(hashes)
		check.AtMost(t, "cached tokens", after.CachedTokens(), before.CachedTokens()-1)
	})
	t.Run("a restart empties the cache", func(t *testing.T) {
		f := newFixture(t, 1)
		f.r.Apply(f.now, NewCacheEvent("u0", 1, hashes[3], true))
		load := frame.NewLoad(model, frame.NewOccupancy(0, 10, 0, 0), frame.NewCondition(true, false, 2, 0), frame.NewLatency(0, 0))
		f.r.Apply(f.now, NewHeartbeat("u0", load))
		c, _, _ := f.choose(hashes)
		check.Equal(t, "cached tokens", c.CachedTokens(), 0)
	})
	t.Run("the index is bounded", func(t *testing.T) {
		f := newFixture(t, 1)
		for i := range uint64(5 * generationSize) {
			f.r.Apply(f.now, NewCacheEvent("u0", i+1, i, true))
		}
		check.AtMost(t, "hashes", len(f.r.prefixes.young)+len(f.r.prefixes.old), 2*generationSize)
	})
}

func TestReady(t *testing.T) {
	hashes := Prefixes(make([]byte, 4*BlockBytes))
	ready := func(f *fixture, sequence uint64, prefixes []uint64) frame.ID {
		id := frame.NewID(2, sequence)
		f.r.Apply(f.now, NewReady(id, NewRequest(model, 1024, 0, prefixes), nil))
		return id
	}
	t.Run("the request with the most cached tokens goes first", func(t *testing.T) {
		f := newFixture(t, 1)
		f.r.Apply(f.now, NewCacheEvent("u0", 1, hashes[3], true))
		ready(f, 1, nil)
		fits := ready(f, 2, hashes)
		id, _, _ := f.r.Next(f.now, model)
		check.Equal(t, "first", id, fits)
	})
	t.Run("a request is overtaken for a limited time", func(t *testing.T) {
		f := newFixture(t, 1)
		f.r.Apply(f.now, NewCacheEvent("u0", 1, hashes[3], true))
		oldest := ready(f, 1, nil)
		f.now += maxSkipDuration
		f.heartbeat(0, 0, 10, 0)
		ready(f, 2, hashes)
		id, _, _ := f.r.Next(f.now, model)
		check.Equal(t, "first", id, oldest)
	})
	t.Run("nothing is sent without free capacity", func(t *testing.T) {
		f := newFixture(t, 1)
		f.heartbeat(0, 10, 10, 0)
		ready(f, 1, nil)
		_, _, ok := f.r.Next(f.now, model)
		check.Equal(t, "sent", ok, false)
	})
	t.Run("a withdrawn request is not sent", func(t *testing.T) {
		f := newFixture(t, 1)
		f.r.Apply(f.now, NewWithdrawn(ready(f, 1, nil)))
		_, _, ok := f.r.Next(f.now, model)
		check.Equal(t, "sent", ok, false)
	})
	t.Run("a sent request takes capacity", func(t *testing.T) {
		f := newFixture(t, 1)
		ready(f, 1, nil)
		_, choice, _ := f.r.Next(f.now, model)
		check.Equal(t, "upstream", choice.Upstream(), "u0")
		check.Equal(t, "free capacity", f.r.FreeCapacity(f.now, model), 9)
	})
}
