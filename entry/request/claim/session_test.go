package claim

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/stored"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// session is a whole exchange between clients, an owner or two, the platform
// and an agent, written down step by step.
type session struct {
	t       *testing.T
	now     clock.Millis
	text    bytes.Buffer
	store   *store
	owners  map[string]*Owner
	clients map[string]*Client
	owner   string // the owner to which clients send
	lose    int    // answers of writes still to be lost after the effect
	down    bool
	agent   map[string]string // what the agent answers to a query, by grant
}

func newSession(t *testing.T) *session {
	return &session{
		t:       t,
		now:     1000,
		store:   newStore(),
		owners:  map[string]*Owner{"a": NewOwner(3, 101), "b": NewOwner(3, 102)},
		clients: map[string]*Client{"entry1": NewClient(1), "entry2": NewClient(2)},
		owner:   "a",
		agent:   map[string]string{},
	}
}

func (s *session) note(format string, args ...any) {
	fmt.Fprintf(&s.text, "%6d  ", s.now)
	fmt.Fprintf(&s.text, format, args...)
	s.text.WriteByte('\n')
}

// client applies an event to a client and carries out what follows.
func (s *session) client(name string, e ClientEvent) {
	s.note("%s <- %s", name, describe(e))
	for _, a := range s.clients[name].Handle(s.now, e) {
		s.note("%s -> %s", name, describe(a))
		switch a := a.(type) {
		case SendAsk:
			s.own(s.owner, a.ask)
		case SendReport:
			s.own(s.owner, a.report)
		case SendWithdraw:
			s.own(s.owner, a.withdraw)
		}
	}
}

// own applies an event to an owner and carries out what follows.
func (s *session) own(name string, e Event) {
	if _, tick := e.(Tick); !tick {
		s.note("owner %s <- %s", name, describe(e))
	}
	for _, a := range s.owners[name].Handle(s.now, e) {
		if _, wake := a.(Wake); wake {
			continue
		}
		s.note("owner %s -> %s", name, describe(a))
		s.serve(name, a)
	}
}

// serve answers an owner's action.
func (s *session) serve(name string, a Action) {
	switch a := a.(type) {
	case Answered:
		s.client(fmt.Sprintf("entry%d", a.ref.entry), NewArrived(a))
	case Query:
		s.query(name, a)
	case List:
		if s.down {
			s.own(name, NewListFailed(a.ticket))
			return
		}
		s.own(name, s.store.list(a))
	case Read:
		if s.down {
			s.own(name, NewGetFailed(a.ticket))
			return
		}
		s.own(name, NewGot(a.ticket, s.store.objects[a.name]))
	case Write:
		s.own(name, s.write(a))
	}
}

func (s *session) write(w Write) Wrote {
	if s.down {
		return NewWrote(w.ticket, Lost, 0)
	}
	r := s.store.write(w)
	if s.lose > 0 {
		s.lose--
		return NewWrote(w.ticket, Lost, 0)
	}
	return r
}

func (s *session) query(name string, q Query) {
	state := ParseState(s.agent[q.grant.String()])
	if s.agent[q.grant.String()] == "" {
		state = Never
	}
	answer := stored.New(200, nil, []byte("reserved"))
	s.own(name, NewAgentState(q, 7, state, state == Done, answer))
}

// pass lets time pass for the named owners and all clients.
func (s *session) pass(d clock.Millis, owners ...string) {
	const every = 50
	for end := s.now + d; s.now < end; {
		s.now += every
		for _, name := range owners {
			s.own(name, Tick{})
		}
	}
}

func (s *session) begin(entry string, request uint64) {
	s.client(entry, NewBegin(request, keyIn(3), 1, NewUpstream("u1", 7), s.now+5*clock.Second))
}

// describe writes an event or action in one line.
func describe(x any) string {
	switch x := x.(type) {
	case Begin:
		return fmt.Sprintf("begin request %d for %s until %d", x.request, x.upstream.name, x.deadline)
	case Arrived:
		return "reply: " + describe(x.answered.reply)
	case AgentRefused:
		return fmt.Sprintf("agent refused request %d, superseded %t", x.request, x.superseded)
	case AgentLost:
		return fmt.Sprintf("agent lost with request %d", x.request)
	case Finished:
		return fmt.Sprintf("answer to request %d: %s", x.request, x.answer.Body())
	case SendAsk:
		return "send ask"
	case SendReport:
		return "send report"
	case SendWithdraw:
		return "send withdraw"
	case Submit:
		return fmt.Sprintf("submit request %d to %s under claim %s", x.request, x.upstream.name, x.grant)
	case Deliver:
		return fmt.Sprintf("deliver to request %d: %s", x.request, x.answer.Body())
	case Refuse:
		return fmt.Sprintf("refuse request %d: %s %s, retry after %d ms", x.request, x.refusal.Code(), x.refusal.Outcome(), x.refusal.RetryAfterMs())
	}
	return describeOwner(x)
}

func describeOwner(x any) string {
	switch x := x.(type) {
	case Open:
		return "open"
	case Ask:
		return fmt.Sprintf("ask %d/%d for %s", x.ref.entry, x.ref.sequence, x.upstream.name)
	case Report:
		return fmt.Sprintf("report on %s: %s %s", x.grant, x.state, x.answer.Body())
	case Withdraw:
		return fmt.Sprintf("withdraw %d/%d of %s: %s", x.ref.entry, x.ref.sequence, x.grant, x.code)
	case AgentState:
		return fmt.Sprintf("agent in incarnation %d on %s: %s", x.incarnation, x.grant, x.state)
	case Listed:
		return fmt.Sprintf("listed %d objects, ok %t", len(x.objects), x.ok)
	case Wrote:
		return "wrote: " + [...]string{"took effect", "conflict", "answer lost"}[x.result]
	case Got:
		return fmt.Sprintf("got %s version %d, ok %t", x.object.name, x.object.version, x.ok)
	case Answered:
		return fmt.Sprintf("reply to %d/%d: %s", x.ref.entry, x.ref.sequence, describe(x.reply))
	case Granted:
		return fmt.Sprintf("granted %s on %s", x.grant, x.upstream.name)
	case Stored:
		return fmt.Sprintf("stored answer %s", x.answer.Body())
	case Refused:
		return fmt.Sprintf("refused %s %s", x.refusal.Code(), x.refusal.Outcome())
	case Query:
		return fmt.Sprintf("query %s about %s", x.upstream.name, x.grant)
	case List:
		return "list " + x.prefix
	case Read:
		return "read " + x.name
	case Write:
		if x.version == 0 {
			return "create " + x.name
		}
		return fmt.Sprintf("update %s at version %d", x.name, x.version)
	}
	return fmt.Sprintf("%T", x)
}

// golden compares the session with its file.
func (s *session) golden(name string) {
	s.t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		check.NoError(s.t, "write golden file", os.WriteFile(path, s.text.Bytes(), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	check.NoError(s.t, "read golden file", err)
	check.Equal(s.t, "session", s.text.String(), string(want))
}

var reserved = stored.New(200, nil, []byte("reserved"))

// TestSessions guards the whole exchange of each case against a change that
// nobody intended.
func TestSessions(t *testing.T) {
	t.Run("key sent again", func(t *testing.T) {
		s := newSession(t)
		s.own("a", Open{})
		s.begin("entry1", 1)
		s.now += 20
		s.begin("entry2", 1)
		s.now += 20
		s.client("entry1", NewFinished(1, reserved))
		s.now += 1000
		s.begin("entry2", 2)
		s.golden("keySentAgain")
	})
	t.Run("lost platform answer", func(t *testing.T) {
		s := newSession(t)
		s.own("a", Open{})
		s.lose = 1
		s.begin("entry1", 1)
		s.pass(300, "a")
		s.client("entry1", NewFinished(1, reserved))
		s.golden("lostPlatformAnswer")
	})
	t.Run("owner takeover", takeover)
	t.Run("refusal not run", func(t *testing.T) {
		s := newSession(t)
		s.own("a", Open{})
		s.down = true
		s.begin("entry1", 1)
		s.pass(2100, "a")
		s.begin("entry2", 1)
		s.down = false
		s.pass(500, "a")
		s.begin("entry2", 2)
		s.golden("refusalNotRun")
	})
}

// takeover lets entry1 and owner a die, or be paused, between the grant and the
// submit; owner b resolves the claim and the woken owner a cannot grant.
func takeover(t *testing.T) {
	s := newSession(t)
	s.own("a", Open{})
	s.begin("entry1", 1)
	s.owner = "b"
	s.now += 4000
	s.begin("entry2", 1)
	s.pass(400, "b")
	s.client("entry2", NewFinished(1, reserved))
	s.agent["3-2-0"] = "done"
	s.owner = "a"
	s.begin("entry2", 2)
	s.pass(400, "a")
	s.golden("ownerTakeover")
}
