package claim

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// store is a platform that answers at once.
type store struct {
	version uint64
	objects map[string]Object
}

func newStore() *store { return &store{objects: map[string]Object{}} }

func (s *store) write(w Write) Wrote {
	if s.objects[w.name].version != w.version {
		return NewWrote(w.ticket, Conflict, 0)
	}
	s.version++
	s.objects[w.name] = NewObject(w.name, s.version, w.value)
	return NewWrote(w.ticket, Took, s.version)
}

func (s *store) list(l List) Listed {
	var all []Object
	for _, o := range s.objects {
		all = append(all, o)
	}
	return NewListed(l.ticket, all)
}

// run applies an event and serves all platform calls until none is left.
func run(s *store, o *Owner, now clock.Millis, e Event) []Action {
	var out []Action
	todo := o.Handle(now, e)
	for len(todo) > 0 {
		a := todo[0]
		todo = todo[1:]
		switch a := a.(type) {
		case List:
			todo = append(todo, o.Handle(now, s.list(a))...)
		case Write:
			todo = append(todo, o.Handle(now, s.write(a))...)
		case Read:
			todo = append(todo, o.Handle(now, NewGot(a.ticket, s.objects[a.name]))...)
		case Wake:
		default:
			out = append(out, a)
		}
	}
	return out
}

func keyIn(shard int) Key {
	var k Key
	k[0] = byte(shard)
	k[15] = 1
	return k
}

func only[T Reply](t *testing.T, out []Action) T {
	t.Helper()
	if len(out) == 1 {
		if a, ok := out[0].(Answered); ok {
			if r, ok := a.reply.(T); ok {
				return r
			}
		}
	}
	t.Fatalf("actions: got %s, want one reply", describeAll(out))
	panic("unreachable")
}

func ask(ref uint64, k Key) Ask {
	return NewAsk(NewRef(9, ref), k, 1, NewUpstream("u", 5), clock.Hour)
}

// TestGrantOnce guards against a second grant for a key and checks that the
// stored answer goes to the caller that sends the key again.
func TestGrantOnce(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	g := only[Granted](t, run(s, o, 1000, ask(1, k)))
	check.Equal(t, "actions for a second sending", len(run(s, o, 1010, ask(2, k))), 0)
	out := run(s, o, 1020, NewReport(k, g.grant, Done, stored.New(200, nil, []byte("x"))))
	check.Equal(t, "answer", string(only[Stored](t, out).answer.Body()), "x")
	check.Equal(t, "answer again", string(only[Stored](t, run(s, o, 1030, ask(3, k))).answer.Body()), "x")
}

// TestMismatch guards against one key that is used for two requests.
func TestMismatch(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	run(s, o, 1000, ask(1, k))
	a := ask(2, k)
	a.body = 2
	r := only[Refused](t, run(s, o, 1010, a)).refusal
	check.Equal(t, "code", r.Code(), outcome.ClaimMismatch)
	check.Equal(t, "outcome", r.Outcome(), outcome.NotRun)
}

// TestPausedOwner guards against a grant by an owner that was replaced while it
// was paused.
func TestPausedOwner(t *testing.T) {
	s, paused, next, k := newStore(), NewOwner(3, 1), NewOwner(3, 2), keyIn(3)
	run(s, paused, 1000, Open{})
	g := only[Granted](t, run(s, next, 5000, ask(1, k)))
	run(s, next, 5010, NewReport(k, g.grant, Done, stored.New(200, nil, []byte("x"))))
	out := run(s, paused, 9000, ask(2, k))
	check.Equal(t, "replies of the paused owner", len(out), 0)
	out = run(s, paused, 9400, Tick{})
	check.Equal(t, "queries of the paused owner", len(out), 1)
}

// TestClose guards against outcomes that are lost when a shard moves.
func TestClose(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	g := only[Granted](t, run(s, o, 1000, ask(1, k)))
	run(s, o, 1200, NewReport(k, g.grant, Done, stored.New(200, nil, []byte("x"))))
	run(s, o, 1400, Close{})
	run(s, o, 1600, Close{})
	check.Equal(t, "ready", o.Ready(), false)
	next := NewOwner(3, 2)
	check.Equal(t, "answer", string(only[Stored](t, run(s, next, 1700, ask(2, k))).answer.Body()), "x")
}

// TestSnapshot guards against claims and answers that are lost, or a log that
// runs out of slots, over several laps with a new owner after each.
func TestSnapshot(t *testing.T) {
	s, now := newStore(), clock.Millis(1000)
	var keys []Key
	for lap := range 3 {
		o := NewOwner(3, uint64(lap+1))
		for i := range slots {
			k := KeyOf("c", string(rune(lap))+string(rune(i)))
			k[0] = 3
			keys = append(keys, k)
			now += 100
			g := only[Granted](t, run(s, o, now, ask(uint64(len(keys)), k)))
			run(s, o, now, NewReport(k, g.grant, Done, stored.New(200, nil, []byte("x"))))
		}
		run(s, o, now+20*clock.Second, Close{})
		run(s, o, now+21*clock.Second, Close{})
		now += 30 * clock.Second
	}
	check.AtMost(t, "objects", len(s.objects), slots+1)
	o := NewOwner(3, 9)
	for i, k := range keys {
		out := run(s, o, now, ask(uint64(9000+i), k))
		if len(out) == 1 {
			if _, granted := out[0].(Answered).reply.(Granted); granted {
				t.Fatalf("key %d: got a second grant, want none", i)
			}
		}
	}
}

// TestSweep guards against a shard that fills with claims of callers that left.
func TestSweep(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	g := only[Granted](t, run(s, o, 1000, ask(1, k)))
	run(s, o, 1100, NewReport(k, g.grant, Unknown, stored.Answer{}))
	check.Equal(t, "queries at once", len(run(s, o, 2000, Tick{})), 0)
	out := run(s, o, 7000, Tick{})
	check.Equal(t, "queries of an orphan", len(out), 1)
	q := out[0].(Query)
	check.Equal(t, "queries soon after", len(run(s, o, 9000, Tick{})), 0)
	run(s, o, 9100, NewAgentState(q, 5, Done, true, stored.New(200, nil, []byte("x"))))
	check.Equal(t, "answer", string(only[Stored](t, run(s, o, 9200, ask(2, k))).answer.Body()), "x")
}

// TestUnreached guards against a claim that stays open for ever because its
// agent never comes back, and against its second grant.
func TestUnreached(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	only[Granted](t, run(s, o, 1000, ask(1, k)))
	q := run(s, o, 1000+sweepAfter, Tick{})[0].(Query)
	run(s, o, 1000+sweepAfter, NewAgentUnreached(q))
	check.Equal(t, "state before", o.index.live[k].state, Running)
	run(s, o, 1000+settleAfter, NewAgentUnreached(q))
	r := only[Refused](t, run(s, o, 1100+settleAfter, ask(2, k))).refusal
	check.Equal(t, "code", r.Code(), outcome.ClaimUnsettled)
	check.Equal(t, "outcome", r.Outcome(), outcome.Unknown)
}

// TestDamagedLog guards against a process that ends, or a key that is granted
// again, because an object of the log is damaged.
func TestDamagedLog(t *testing.T) {
	s, o, k := newStore(), NewOwner(3, 1), keyIn(3)
	only[Granted](t, run(s, o, 1000, ask(1, k)))
	name := slotName(3, 1)
	whole := s.objects[name]
	for i := range whole.value {
		damaged := append([]byte(nil), whole.value...)
		damaged[i] ^= 0x55
		for _, value := range [][]byte{damaged, whole.value[:i]} {
			s.objects[name] = NewObject(name, whole.version, value)
			next := NewOwner(3, 2)
			next.Handle(2000, Open{})
			next.Handle(2000, s.list(List{ticket: 1}))
		}
	}
}

func describeAll(out []Action) string {
	var text string
	for _, a := range out {
		text += describeOwner(a) + "; "
	}
	return text
}
