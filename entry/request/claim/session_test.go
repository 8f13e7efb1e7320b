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

// session runs an exchange between clients, one or two owners, the platform and
// an agent, and records its transcript.
type session struct {
	t            *testing.T
	now          clock.Millis
	transcript   bytes.Buffer
	store        *store
	owners       map[string]*Owner
	clients      map[string]*Client
	activeOwner  string // the owner that clients send to
	lostWrites   int    // number of further writes that take effect but whose response is lost
	platformDown bool
	agentStates  map[string]string // the state that the agent reports, by grant
}

func newSession(t *testing.T) *session {
	return &session{
		t:           t,
		now:         1000,
		store:       newStore(),
		owners:      map[string]*Owner{"a": NewOwner(3, 101), "b": NewOwner(3, 102)},
		clients:     map[string]*Client{"entry1": NewClient(1), "entry2": NewClient(2)},
		activeOwner: "a",
		agentStates: map[string]string{},
	}
}

func (s *session) logf(format string, args ...any) {
	fmt.Fprintf(&s.transcript, "%6d  ", s.now)
	fmt.Fprintf(&s.transcript, format, args...)
	s.transcript.WriteByte('\n')
}

// handleClient applies an event to a client and performs the resulting actions.
func (s *session) handleClient(name string, e ClientEvent) {
	s.logf("%s <- %s", name, describe(e))
	for _, a := range s.clients[name].Handle(s.now, e) {
		s.logf("%s -> %s", name, describe(a))
		switch a := a.(type) {
		case SendAcquire:
			s.handleOwner(s.activeOwner, a.acquire)
		case SendReport:
			s.handleOwner(s.activeOwner, a.report)
		case SendWithdraw:
			s.handleOwner(s.activeOwner, a.withdraw)
		}
	}
}

// handleOwner applies an event to an owner and performs the resulting actions.
func (s *session) handleOwner(name string, e Event) {
	if _, tick := e.(Tick); !tick {
		s.logf("owner %s <- %s", name, describe(e))
	}
	for _, a := range s.owners[name].Handle(s.now, e) {
		if _, wake := a.(Wake); wake {
			continue
		}
		s.logf("owner %s -> %s", name, describe(a))
		s.perform(name, a)
	}
}

// perform performs an action of an owner.
func (s *session) perform(name string, a Action) {
	switch a := a.(type) {
	case OwnerReply:
		s.handleClient(fmt.Sprintf("entry%d", a.attempt.entry), NewReplyReceived(a))
	case Query:
		s.query(name, a)
	case List:
		if s.platformDown {
			s.handleOwner(name, NewListFailed(a.callID))
			return
		}
		s.handleOwner(name, s.store.list(a))
	case Read:
		if s.platformDown {
			s.handleOwner(name, NewReadFailed(a.callID))
			return
		}
		s.handleOwner(name, NewReadResult(a.callID, s.store.objects[a.name]))
	case Write:
		s.handleOwner(name, s.write(a))
	}
}

func (s *session) write(w Write) WriteResult {
	if s.platformDown {
		return NewWriteResult(w.callID, Indeterminate, 0)
	}
	r := s.store.write(w)
	if s.lostWrites > 0 {
		s.lostWrites--
		return NewWriteResult(w.callID, Indeterminate, 0)
	}
	return r
}

func (s *session) query(name string, q Query) {
	state := ParseState(s.agentStates[q.grant.String()])
	if s.agentStates[q.grant.String()] == "" {
		state = NeverReceived
	}
	response := stored.New(200, nil, []byte("reserved"))
	s.handleOwner(name, NewAgentState(q, 7, state, state == Done, response))
}

// advance advances the clock and sends ticks to the named owners.
func (s *session) advance(d clock.Millis, owners ...string) {
	const every = 50
	for end := s.now + d; s.now < end; {
		s.now += every
		for _, name := range owners {
			s.handleOwner(name, Tick{})
		}
	}
}

func (s *session) begin(entry string, request uint64) {
	s.handleClient(entry, NewBegin(request, keyInShard(3), 1, NewUpstream("u1", 7), s.now+5*clock.Second))
}

// describe returns an event or action as one line of the transcript.
func describe(x any) string {
	switch x := x.(type) {
	case Begin:
		return fmt.Sprintf("begin request %d for %s until %d", x.request, x.upstream.name, x.deadline)
	case ReplyReceived:
		return "reply: " + describe(x.ownerReply.reply)
	case AgentRefused:
		return fmt.Sprintf("agent refused request %d, superseded %t", x.request, x.superseded)
	case OutcomeUnknown:
		return fmt.Sprintf("outcome of request %d unknown", x.request)
	case Finished:
		return fmt.Sprintf("response to request %d: %s", x.request, x.response.Body())
	case SendAcquire:
		return "send acquire"
	case SendReport:
		return "send report"
	case SendWithdraw:
		return "send withdraw"
	case Submit:
		return fmt.Sprintf("submit request %d to %s with grant %s", x.request, x.upstream.name, x.grant)
	case Deliver:
		return fmt.Sprintf("deliver to request %d: %s", x.request, x.response.Body())
	case Refuse:
		return fmt.Sprintf("refuse request %d: %s %s, retry after %d ms", x.request, x.refusal.Code(), x.refusal.Outcome(), x.refusal.RetryAfterMs())
	}
	return describeOwner(x)
}

func describeOwner(x any) string {
	switch x := x.(type) {
	case Open:
		return "open"
	case Acquire:
		return fmt.Sprintf("acquire %d/%d for %s", x.attempt.entry, x.attempt.sequence, x.upstream.name)
	case Report:
		return fmt.Sprintf("report on %s: %s %s", x.grant, x.state, x.response.Body())
	case Withdraw:
		return fmt.Sprintf("withdraw %d/%d of %s: %s", x.attempt.entry, x.attempt.sequence, x.grant, x.code)
	case AgentState:
		return fmt.Sprintf("agent in incarnation %d on %s: %s", x.incarnation, x.grant, x.state)
	case ListResult:
		return fmt.Sprintf("list result: %d objects, ok %t", len(x.objects), x.ok)
	case WriteResult:
		return "write result: " + [...]string{"applied", "conflict", "indeterminate"}[x.status]
	case ReadResult:
		return fmt.Sprintf("read result: %s version %d, ok %t", x.object.name, x.object.version, x.ok)
	case OwnerReply:
		return fmt.Sprintf("reply to %d/%d: %s", x.attempt.entry, x.attempt.sequence, describe(x.reply))
	case Granted:
		return fmt.Sprintf("granted %s on %s", x.grant, x.upstream.name)
	case Stored:
		return fmt.Sprintf("stored response %s", x.response.Body())
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

// checkGolden compares the transcript with its golden file.
func (s *session) checkGolden(name string) {
	s.t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *update {
		check.NoError(s.t, "write golden file", os.WriteFile(path, s.transcript.Bytes(), 0o644))
		return
	}
	want, err := os.ReadFile(path)
	check.NoError(s.t, "read golden file", err)
	check.Equal(s.t, "session", s.transcript.String(), string(want))
}

var reservedResponse = stored.New(200, nil, []byte("reserved"))

// TestSessions guards against unintended changes of the exchange in each case.
func TestSessions(t *testing.T) {
	t.Run("key sent again", func(t *testing.T) {
		s := newSession(t)
		s.handleOwner("a", Open{})
		s.begin("entry1", 1)
		s.now += 20
		s.begin("entry2", 1)
		s.now += 20
		s.handleClient("entry1", NewFinished(1, reservedResponse))
		s.now += 1000
		s.begin("entry2", 2)
		s.checkGolden("keySentAgain")
	})
	t.Run("lost platform response", func(t *testing.T) {
		s := newSession(t)
		s.handleOwner("a", Open{})
		s.lostWrites = 1
		s.begin("entry1", 1)
		s.advance(300, "a")
		s.handleClient("entry1", NewFinished(1, reservedResponse))
		s.checkGolden("lostPlatformResponse")
	})
	t.Run("owner takeover", testOwnerTakeover)
	t.Run("refusal not run", func(t *testing.T) {
		s := newSession(t)
		s.handleOwner("a", Open{})
		s.platformDown = true
		s.begin("entry1", 1)
		s.advance(2100, "a")
		s.begin("entry2", 1)
		s.platformDown = false
		s.advance(500, "a")
		s.begin("entry2", 2)
		s.checkGolden("refusalNotRun")
	})
}

// testOwnerTakeover covers an entry1 and an owner a that die or pause between
// the grant and the submit: owner b resolves the record, and owner a cannot
// grant after it resumes.
func testOwnerTakeover(t *testing.T) {
	s := newSession(t)
	s.handleOwner("a", Open{})
	s.begin("entry1", 1)
	s.activeOwner = "b"
	s.now += 4000
	s.begin("entry2", 1)
	s.advance(400, "b")
	s.handleClient("entry2", NewFinished(1, reservedResponse))
	s.agentStates["3-2-0"] = "done"
	s.activeOwner = "a"
	s.begin("entry2", 2)
	s.advance(400, "a")
	s.checkGolden("ownerTakeover")
}
