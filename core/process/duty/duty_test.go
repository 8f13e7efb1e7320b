package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/mark"
)

// store is the duty records of a platform in memory.
type store struct {
	version uint64
	objects map[string]Read
}

func newStore() *store { return &store{objects: map[string]Read{}} }

// write is a conditional update.
func (s *store) write(w Write) (uint64, bool) {
	if s.objects[w.Duty].Version != w.Version {
		return 0, false
	}
	s.version++
	s.objects[w.Duty] = Read{Duty: w.Duty, Version: s.version, Record: w.Record}
	return s.version, true
}

// carryOut performs actions against the store until none is left, and returns
// the beliefs that changed.
func carryOut(s *store, k *Keeper, at clock.Millis, actions []Action) []string {
	var beliefs []string
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Look:
			read := s.objects[a.Duty]
			read.Duty, read.At = a.Duty, at
			actions = append(actions, k.Step(read)...)
		case Write:
			version, ok := s.write(a)
			if ok {
				actions = append(actions, k.Step(Written{at, a.Duty, version, a.Record})...)
			} else {
				actions = append(actions, k.Step(Unsettled{at, a.Duty})...)
			}
		case Hold:
			beliefs = append(beliefs, "hold "+a.Duty)
		case Drop:
			beliefs = append(beliefs, "drop "+a.Duty)
		}
	}
	return beliefs
}

func step(s *store, k *Keeper, at clock.Millis, e Event) []string {
	return carryOut(s, k, at, k.Step(e))
}

func assertBeliefs(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	check.Equal(t, what, fmt.Sprint(got), fmt.Sprint(want))
}

const shard = "claim.0"

// Guards against two keepers that both keep believing that they hold a duty.
func TestTakeOver(t *testing.T) {
	s := newStore()
	a, b := NewKeeper("a", 1, []string{shard}), NewKeeper("b", 2, []string{shard})
	assertBeliefs(t, "alone", step(s, a, 0, Listed{0, []string{"a"}}), "hold "+shard)
	t.Run("holder died", func(t *testing.T) {
		assertBeliefs(t, "successor", step(s, b, 1, Listed{1, []string{"b"}}), "hold "+shard)
	})
	t.Run("holder was only paused", func(t *testing.T) {
		check.Equal(t, "two believe", a.Held(shard) != 0 && b.Held(shard) != 0, true)
		check.Equal(t, "higher fence", b.Held(shard) > a.Held(shard), true)
		assertBeliefs(t, "old holder reads", step(s, a, ReadInterval, Tick{ReadInterval}), "drop "+shard)
		check.Equal(t, "held by the old one", a.Held(shard), uint64(0))
	})
	t.Run("old holder's list lags", func(t *testing.T) {
		assertBeliefs(t, "patient", step(s, a, 2*ReadInterval, Listed{2 * ReadInterval, []string{"a", "b"}}))
		check.Equal(t, "held by the new one", b.Held(shard) != 0, true)
	})
}

// Guards against a process that takes its predecessor's fencing token for its own.
func TestRestartGetsNewFence(t *testing.T) {
	s := newStore()
	before := NewKeeper("a", 1, []string{shard})
	step(s, before, 0, Listed{0, []string{"a"}})
	after := NewKeeper("a", 2, []string{shard})
	assertBeliefs(t, "restarted", step(s, after, 1, Listed{1, []string{"a"}}), "hold "+shard)
	check.Equal(t, "higher fence", after.Held(shard) > before.Held(shard), true)
}

// Guards against a duty without a holder for longer than one read after a
// planned stop or after a data centre was taken out.
func TestRelease(t *testing.T) {
	s := newStore()
	a, b := NewKeeper("a", 1, []string{shard}), NewKeeper("b", 2, []string{shard})
	step(s, a, 0, Listed{0, []string{"a"}})
	assertBeliefs(t, "stopping", step(s, a, 1, Stopping{1}), "drop "+shard)
	check.Equal(t, "record", s.objects[shard].Record.Holder(), "")
	assertBeliefs(t, "successor", step(s, b, 2, Listed{2, []string{"b"}}), "hold "+shard)
	assertBeliefs(t, "no way back", step(s, a, clock.Hour, Listed{clock.Hour, []string{"a"}}))
}

// Guards against a lost answer that is taken for a failure or for a success.
func TestLostAnswer(t *testing.T) {
	s := newStore()
	a := NewKeeper("a", 1, []string{shard})
	actions := a.Step(Listed{0, []string{"a"}})
	check.Equal(t, "looks first", actions[0].(Look).Duty, shard)
	actions = a.Step(Read{Duty: shard})
	s.write(actions[0].(Write))
	check.Equal(t, "belief before the read back", a.Held(shard), uint64(0))
	assertBeliefs(t, "read back", step(s, a, 1, Unsettled{1, shard}), "hold "+shard)
}

// Guards against a lagging read that takes a newer record back.
func TestOldRecord(t *testing.T) {
	a := NewKeeper("a", 1, []string{shard})
	a.Step(Listed{0, []string{"a"}})
	a.Step(Read{Duty: shard})
	a.Step(Written{0, shard, 9, NewRecord("a", 1)})
	a.Step(Read{1, shard, 7, NewRecord("b", 2)})
	check.Equal(t, "fence", a.Held(shard), uint64(9))
}

// Guards against duties on instances that leave or are out of service.
func TestEligible(t *testing.T) {
	list := []platform.Instance{
		platform.NewInstance("live", platform.RoleEntry, "x", "1"),
		platform.NewInstance("leaving", platform.RoleEntry, "x", "1").WithState(platform.Draining),
		platform.NewInstance("out", platform.RoleEntry, "x", "1"),
		platform.NewInstance("centreOut", platform.RoleEntry, "y", "1"),
		platform.NewInstance("agent", platform.RoleAgent, "x", "1"),
	}
	out := mark.NewSet(mark.Instance("out"), mark.DataCentre("y"))
	got := Eligible(list, out, func(i platform.Instance) bool { return i.Role() == platform.RoleEntry })
	check.Equal(t, "eligible", fmt.Sprint(got), "[live]")
}

// Guards against malformed records that a process would act on.
func TestRecord(t *testing.T) {
	got, err := ParseRecord(NewRecord("a", 1<<63).Encode())
	check.NoError(t, "parse", err)
	check.Equal(t, "record", got, NewRecord("a", 1<<63))
	_, err = ParseRecord([]byte("["))
	check.Is(t, "malformed", err, ErrRecord)
}

// Guards against schedules of lags, deaths, restarts and lost answers that end
// without exactly one holder for each duty, or in which two processes hold a
// duty under one fencing token.
func TestSeededSchedules(t *testing.T) {
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
		assertFences(t, seed, keepers, duties)
	}
	settle(s, keepers, at)
	assertOneHolder(t, seed, keepers, duties)
}

// settle gives each keeper the true list until patience is over.
func settle(s *store, keepers map[string]*Keeper, at clock.Millis) {
	var alive []string
	for name := range keepers {
		alive = append(alive, name)
	}
	slices.Sort(alive)
	for end := at + 2*Patience; at < end; at += ReadInterval {
		for _, name := range alive {
			step(s, keepers[name], at, Listed{at, alive})
		}
	}
}

func assertFences(t *testing.T, seed uint64, keepers map[string]*Keeper, duties []string) {
	t.Helper()
	for _, duty := range duties {
		seen := map[uint64]bool{}
		for _, k := range keepers {
			fence := k.Held(duty)
			if fence != 0 && seen[fence] {
				t.Errorf("seed %d: got two holders of %s under fence %d, want one", seed, duty, fence)
			}
			seen[fence] = true
		}
	}
}

func assertOneHolder(t *testing.T, seed uint64, keepers map[string]*Keeper, duties []string) {
	t.Helper()
	for _, duty := range duties {
		holders := 0
		for _, k := range keepers {
			if k.Held(duty) != 0 {
				holders++
			}
		}
		if want := min(1, len(keepers)); holders != want {
			t.Errorf("seed %d: holders of %s: got %d, want %d", seed, duty, holders, want)
		}
	}
}
