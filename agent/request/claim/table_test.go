package claim

import (
	"fmt"
	"strings"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/request/stored"
)

func stateReply(t *testing.T, a Action) StateReply {
	t.Helper()
	x, ok := a.(StateReply)
	if !ok {
		t.Fatalf("action: got %T, want StateReply", a)
	}
	return x
}

// TestSubmitOnce guards against running a duplicate submit frame.
func TestSubmitOnce(t *testing.T) {
	table := New()
	check.Equal(t, "first", table.Handle(0, NewSubmitted("1-1-0")), Action(Run{}))
	check.Equal(t, "while running", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	check.Equal(t, "state", stateReply(t, table.Handle(0, NewQueried("1-1-0"))).State(), Running)
	table.Handle(0, NewFinished("1-1-0", stored.New(200, nil, []byte("x"))))
	check.Equal(t, "after the end", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	got := stateReply(t, table.Handle(0, NewQueried("1-1-0")))
	check.Equal(t, "state", got.State(), Done)
	check.Equal(t, "response", string(got.Response().Body()), "x")
}

// TestQueryBeforeSubmit guards against running a submit frame that arrives
// after the owner of the record was notified that the request never ran.
func TestQueryBeforeSubmit(t *testing.T) {
	table := New()
	check.Equal(t, "state", stateReply(t, table.Handle(0, NewQueried("1-1-0"))).State(), NeverSeen)
	check.Equal(t, "late submit", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{notRun: true, superseded: true}))
	check.Equal(t, "state", stateReply(t, table.Handle(0, NewQueried("1-1-0"))).State(), NotRun)
}

// TestRejectedIsNotRun guards against running a request that admission has
// refused.
func TestRejectedIsNotRun(t *testing.T) {
	table := New()
	table.Handle(0, NewSubmitted("1-1-0"))
	table.Handle(0, NewRejected("1-1-0"))
	check.Equal(t, "again", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{notRun: true}))
}

// TestEvicted guards against replying "never" for a request that ran but whose
// record was evicted.
func TestEvicted(t *testing.T) {
	table := New()
	body := []byte(strings.Repeat("x", stored.MaxResponseBytes))
	for i := range 3 * maxRecords {
		key := fmt.Sprintf("1-%d-0", i+1)
		check.Equal(t, "run", table.Handle(0, NewSubmitted(key)), Action(Run{}))
		table.Handle(0, NewFinished(key, stored.New(200, nil, body)))
	}
	check.AtMost(t, "records", table.Len(), maxRecords)
	check.AtMost(t, "bytes", table.responseBytes, maxResponsesBytes)
	check.Equal(t, "state", stateReply(t, table.Handle(0, NewQueried("1-1-0"))).State(), Unknown)
	check.Equal(t, "late submit", table.Handle(0, NewSubmitted("1-1-0")), Action(Refuse{}))
	table.Handle(recordTTL, NewQueried("2-1-0"))
	check.Equal(t, "records after expiry", table.Len(), 1)
}
