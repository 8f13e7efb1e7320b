package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/drainflag"
)

// store is an in-memory platform that stores duty records.
type store struct {
	version uint64
	objects map[string]Read
}

func newStore() *store { return &store{objects: map[string]Read{}} }

// write performs a conditional update.
func (s *store) write(w Write) (uint64, bool) {
	if s.objects[w.Duty].Version != w.Version {
		return 0, false
	}
	s.version++
	s.objects[w.Duty] = Read{Duty: w.Duty, Version: s.version, Record: w.Record}
	return s.version, true
}

// performAll performs actions on the store until none is left. It returns the acquired
// and lost notifications.
func performAll(s *store, k *Keeper, at clock.Millis, actions []Action) []string {
	var notifications []string
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Fetch:
			read := s.objects[a.Duty]
			read.Duty, read.At = a.Duty, at
			actions = append(actions, k.Step(read)...)
		case Write:
			version, ok := s.write(a)
			if ok {
				actions = append(actions, k.Step(WriteSucceeded{at, a.Duty, version, a.Record})...)
			} else {
				actions = append(actions, k.Step(WriteUnresolved{at, a.Duty})...)
			}
		case Acquired:
			notifications = append(notifications, "acquired "+a.Duty)
		case Lost:
			notifications = append(notifications, "lost "+a.Duty)
		}
	}
	return notifications
}

func step(s *store, k *Keeper, at clock.Millis, e Event) []string {
	return performAll(s, k, at, k.Step(e))
}

func assertNotifications(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	check.Equal(t, what, fmt.Sprint(got), fmt.Sprint(want))
}

const shard = "claim.0"

// Guards against two keepers that both continue to hold a duty after a takeover.
func TestTakeover(t *testing.T) {
	s := newStore()
	a, b := NewKeeper("a", 1, []string{shard}), NewKeeper("b", 2, []string{shard})
	assertNotifications(t, "only instance", step(s, a, 0, Listed{0, []string{"a"}}), "acquired "+shard)
	t.Run("holder died", func(t *testing.T) {
		assertNotifications(t, "successor", step(s, b, 1, Listed{1, []string{"b"}}), "acquired "+shard)
	})
	t.Run("holder was paused", func(t *testing.T) {
		check.Equal(t, "both hold the duty", a.FencingToken(shard) != 0 && b.FencingToken(shard) != 0, true)
		check.Equal(t, "higher fencing token", b.FencingToken(shard) > a.FencingToken(shard), true)
		assertNotifications(t, "old holder reads", step(s, a, ReadInterval, Tick{ReadInterval}), "lost "+shard)
		check.Equal(t, "held by the old holder", a.FencingToken(shard), uint64(0))
	})
	t.Run("old holder has a stale list", func(t *testing.T) {
		assertNotifications(t, "waits", step(s, a, 2*ReadInterval, Listed{2 * ReadInterval, []string{"a", "b"}}))
		check.Equal(t, "held by the new holder", b.FencingToken(shard) != 0, true)
	})
}

// Guards against a restarted process that continues under the fencing token of its
// previous incarnation.
func TestRestartGetsNewFencingToken(t *testing.T) {
	s := newStore()
	before := NewKeeper("a", 1, []string{shard})
	step(s, before, 0, Listed{0, []string{"a"}})
	after := NewKeeper("a", 2, []string{shard})
	assertNotifications(t, "restarted", step(s, after, 1, Listed{1, []string{"a"}}), "acquired "+shard)
	check.Equal(t, "higher fencing token", after.FencingToken(shard) > before.FencingToken(shard), true)
}

// Guards against a duty that has no holder for longer than one read after a planned
// stop or the drain of a data centre.
func TestRelease(t *testing.T) {
	s := newStore()
	a, b := NewKeeper("a", 1, []string{shard}), NewKeeper("b", 2, []string{shard})
	step(s, a, 0, Listed{0, []string{"a"}})
	assertNotifications(t, "stopping", step(s, a, 1, Stopping{1}), "lost "+shard)
	check.Equal(t, "record", s.objects[shard].Record.Holder(), "")
	assertNotifications(t, "successor", step(s, b, 2, Listed{2, []string{"b"}}), "acquired "+shard)
	assertNotifications(t, "stopped process does not acquire it again", step(s, a, clock.Hour, Listed{clock.Hour, []string{"a"}}))
}

// Guards against a write with a lost response that is treated as failed or as
// successful.
func TestWriteWithLostResponse(t *testing.T) {
	s := newStore()
	a := NewKeeper("a", 1, []string{shard})
	actions := a.Step(Listed{0, []string{"a"}})
	check.Equal(t, "reads first", actions[0].(Fetch).Duty, shard)
	actions = a.Step(Read{Duty: shard})
	s.write(actions[0].(Write))
	check.Equal(t, "held before the record is read again", a.FencingToken(shard), uint64(0))
	assertNotifications(t, "record read again", step(s, a, 1, WriteUnresolved{1, shard}), "acquired "+shard)
}

// Guards against a stale read that replaces a newer record.
func TestStaleReadIsIgnored(t *testing.T) {
	a := NewKeeper("a", 1, []string{shard})
	a.Step(Listed{0, []string{"a"}})
	a.Step(Read{Duty: shard})
	a.Step(WriteSucceeded{0, shard, 9, NewRecord("a", 1)})
	a.Step(Read{1, shard, 7, NewRecord("b", 2)})
	check.Equal(t, "fencing token", a.FencingToken(shard), uint64(9))
}

// Guards against duties on instances that are stopping or drained.
func TestEligible(t *testing.T) {
	instances := []platform.Instance{
		platform.NewInstance("live", platform.RoleEntry, "x", "1"),
		platform.NewInstance("leaving", platform.RoleEntry, "x", "1").WithState(platform.Draining),
		platform.NewInstance("out", platform.RoleEntry, "x", "1"),
		platform.NewInstance("centreOut", platform.RoleEntry, "y", "1"),
		platform.NewInstance("agent", platform.RoleAgent, "x", "1"),
	}
	drained := drainflag.NewSet(drainflag.Instance("out"), drainflag.DataCentre("y"))
	got := Eligible(instances, drained, func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	check.Equal(t, "eligible", fmt.Sprint(got), "[live]")
}

// Guards against malformed records that are accepted.
func TestRecord(t *testing.T) {
	got, err := ParseRecord(NewRecord("a", 1<<63).Encode())
	check.NoError(t, "parse", err)
	check.Equal(t, "record", got, NewRecord("a", 1<<63))
	_, err = ParseRecord([]byte("["))
	check.Is(t, "malformed", err, ErrRecord)
}

// Guards against schedules of stale lists, crashes, restarts and conflicting writes
// after which a duty does not have exactly one holder, or during which two processes
// hold a duty under the same fencing token.
func TestRandomSchedules(t *testing.T) {
	for seed := range uint64(200) {
		runSchedule(t, seed)
	}
}

func runSchedule(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 7))
	duties := []string{"claim.0", "claim.1", "claim.2"}
	names := []string{"a", "b", "c", "d"}
	s, keepers := newStore(), map[string]*Keeper{}
	incarnation := uint64(0)
	var at clock.Millis
	for range 60 {
		at += clock.Millis(random.IntN(1500))
		name := names[random.IntN(len(names))]
		switch random.IntN(4) {
		case 0:
			incarnation++
			keepers[name] = NewKeeper(name, incarnation, duties)
		case 1:
			delete(keepers, name)
		default:
			lagging := names[:1+random.IntN(len(names))]
			if k := keepers[name]; k != nil {
				step(s, k, at, Listed{at, lagging})
			}
		}
		assertDistinctFencingTokens(t, seed, keepers, duties)
	}
	converge(s, keepers, at)
	assertOneHolder(t, seed, keepers, duties)
}

// converge gives each keeper the correct list until the takeover delay is over.
func converge(s *store, keepers map[string]*Keeper, at clock.Millis) {
	var alive []string
	for name := range keepers {
		alive = append(alive, name)
	}
	slices.Sort(alive)
	for end := at + 2*TakeoverDelay; at < end; at += ReadInterval {
		for _, name := range alive {
			step(s, keepers[name], at, Listed{at, alive})
		}
	}
}

func assertDistinctFencingTokens(t *testing.T, seed uint64, keepers map[string]*Keeper, duties []string) {
	t.Helper()
	for _, duty := range duties {
		seen := map[uint64]bool{}
		for _, k := range keepers {
			token := k.FencingToken(duty)
			if token != 0 && seen[token] {
				t.Errorf("seed %d: got two holders of %s under fencing token %d, want one", seed, duty, token)
			}
			seen[token] = true
		}
	}
}

func assertOneHolder(t *testing.T, seed uint64, keepers map[string]*Keeper, duties []string) {
	t.Helper()
	for _, duty := range duties {
		holders := 0
		for _, k := range keepers {
			if k.FencingToken(duty) != 0 {
				holders++
			}
		}
		if want := min(1, len(keepers)); holders != want {
			t.Errorf("seed %d: holders of %s: got %d, want %d", seed, duty, holders, want)
		}
	}
}
