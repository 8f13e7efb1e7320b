package balance

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/version/group"
	"goldcrestshore/entry/version/fleet"
)

const (
	stallTime clock.Millis = 1500
	formTime  clock.Millis = 600
)

// closedGroup returns a balancer of two ranks whose agents report at time 0 that the
// group is closed.
func closedGroup() *Balancer {
	b, _ := fixture(2, nil)
	b.settings.StallTime = stallTime
	b.service("model").spec.Engine.FormTime = formTime
	setGroupState(b, 0, group.StateClosed)
	return b
}

func setGroupState(b *Balancer, now clock.Millis, state group.State) {
	b.SetGroupStates(now, map[string]group.State{"model0": state, "model1": state})
}

func rejected(t *testing.T, d Decision) Reject {
	t.Helper()
	r, ok := d.(Reject)
	if !ok {
		t.Fatalf("decision: got %T, want Reject", d)
	}
	return r
}

func waiting(t *testing.T, d Decision) {
	t.Helper()
	if _, ok := d.(Wait); !ok {
		t.Fatalf("decision: got %T, want Wait", d)
	}
}

// Guards, in the outage of a whole group, against requests that are sent to its ranks
// and refused, against callers that return before the group can have opened, and
// against a backlog that waits for a probe after the group has opened.
func TestGroupOutageAndOpening(t *testing.T) {
	t.Run("too early to wait", func(t *testing.T) {
		b := closedGroup()
		r := rejected(t, b.Acquire(0, ticket(0)))
		check.Equal(t, "reason", r.Reason, NoUpstream)
		check.AtMost(t, "expected opening", stallTime+formTime, r.RetryAfter)
		check.AtMost(t, "Retry-After", r.RetryAfter, maxRetryAfter+formTime)
	})
	t.Run("returns are spread", func(t *testing.T) {
		b := closedGroup()
		first, second := rejected(t, b.Acquire(0, ticket(0))), rejected(t, b.Acquire(0, ticket(0)))
		check.Equal(t, "same Retry-After", first.RetryAfter == second.RetryAfter, false)
	})
	t.Run("opening within the wait deadline", func(t *testing.T) {
		b := closedGroup()
		const now = stallTime
		waiting(t, b.Acquire(now, ticket(now)))
		check.Equal(t, "decisions while closed", len(b.Tick(now+200)), 0)
		setGroupState(b, now+400, group.StateOpen)
		check.Equal(t, "grants once open", len(b.Tick(now+400)), 1)
	})
	t.Run("later than expected", func(t *testing.T) {
		b := closedGroup()
		const now = stallTime + formTime
		setGroupState(b, now, group.StateClosed)
		waiting(t, b.Acquire(now, ticket(now)))
		out := b.Tick(now + 1500)
		check.Equal(t, "decisions at the wait deadline", len(out), 1)
		rejected(t, out[0])
	})
	t.Run("failures before the opening", func(t *testing.T) {
		b, _ := fixture(2, nil)
		failed := granted(t, b.Acquire(0, ticket(0)))
		b.Release(0, failed, Failed)
		setGroupState(b, 10, group.StateClosed)
		setGroupState(b, 20, group.StateOpen)
		check.Equal(t, "usable upstreams", b.usable(20, b.service("model")), 2)
	})
}

// Guards against a retry budget that is spent on the ranks of one closed group, before
// agents have reported that it is closed.
func TestRefusalOfInactiveGroup(t *testing.T) {
	b, _ := fixture(3, nil)
	refused := granted(t, b.Acquire(0, ticket(0)))
	b.Release(5, refused, Refused)
	r := rejected(t, b.Acquire(6, refused))
	check.AtMost(t, "shortest Retry-After of an outage", 2*clock.Second, r.RetryAfter)
	t.Run("a full rank of an open group", func(t *testing.T) {
		b, _ := fixture(2, nil)
		setGroupState(b, 0, group.StateOpen)
		full := granted(t, b.Acquire(0, ticket(0)))
		b.Release(5, full, Refused)
		granted(t, b.Acquire(6, full))
	})
}

// Guards against further requests to an address at which another upstream has
// answered, and against one that stays unused after it has registered again.
func TestMisdirectedUpstreamIsNotTriedAgain(t *testing.T) {
	b, state := fixture(1, nil)
	b.Release(0, granted(t, b.Acquire(0, ticket(0))), Misdirected)
	rejected(t, b.Acquire(1000, ticket(1000)))
	state.SetUpstream(&fleet.Upstream{ID: "model0", Service: "model", Address: "b", DataCentre: "dc0", Slots: slots})
	granted(t, b.Acquire(1001, ticket(1001)))
}
