package suspects

import (
	"context"
	"errors"
	"io"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/connection/platform"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/process/event"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/version/drainflag"
	"goldcrestshore/core/version/relay"
)

// newTestService returns a service with the three upstreams a, b and c.
func newTestService(t *testing.T, c *clock.Clock) *Service {
	t.Helper()
	log, err := event.NewLog(io.Discard, "error", "entry", "entry-1")
	check.NoError(t, "NewLog", err)
	var list []platform.Instance
	for _, name := range []string{"a", "b", "c"} {
		list = append(list, platform.NewInstance(name, platform.RoleAgent, "bilbao", name).WithUpstream("u", "redactor"))
	}
	snapshot := relay.NewSnapshot(1, nil, drainflag.Set{}, list)
	return &Service{Clock: c, Log: log, CurrentSnapshot: func() *relay.Snapshot { return snapshot }}
}

// codeOf returns the code of a refusal, or an empty string if err is none.
func codeOf(err error) outcome.Code {
	var r *outcome.Refusal
	if errors.As(err, &r) {
		return r.Code()
	}
	return ""
}

// Guards against retrying a suspect on the upstream that it crashed, and against an
// attempt that keeps running after its request was quarantined.
func TestSecondCrashQuarantinesRequest(t *testing.T) {
	s := newTestService(t, clock.NewManual(clock.Hour))
	s.Crashed("a", frame.NewCrash(1, []uint64{7}))
	attempt, err := s.Begin(t.Context(), 7, "redactor", "a")
	check.NoError(t, "suspect", err)
	check.Equal(t, "suspect", attempt.Suspect(), true)
	check.Equal(t, "sent to the crashed upstream", attempt.Upstream() == "a", false)
	s.Crashed(attempt.Upstream(), frame.NewCrash(1, []uint64{7}))
	check.Equal(t, "cancelled", attempt.Quarantined(), true)
	attempt.End(false)
	_, err = s.Begin(t.Context(), 7, "redactor", "a")
	check.Equal(t, "sent again", codeOf(err), outcome.Quarantined)
	other, err := s.Begin(t.Context(), 8, "redactor", "a")
	check.NoError(t, "another request", err)
	check.Equal(t, "another request is suspect", other.Suspect(), false)
}

// Guards against an entry that runs a request which another entry has quarantined,
// and against two entries that send each other the same verdicts endlessly.
func TestVerdictsReachAnotherEntry(t *testing.T) {
	c := clock.NewManual(clock.Hour)
	first, second := newTestService(t, c), newTestService(t, c)
	sentFrames := 0
	first.Broadcast = func(m *frame.Shares) { sentFrames++; second.Received(m) }
	second.Broadcast = func(m *frame.Shares) { sentFrames++; first.Received(m) }
	first.Crashed("a", frame.NewCrash(1, []uint64{7}))
	first.Crashed("b", frame.NewCrash(1, []uint64{7}))
	_, err := second.Begin(t.Context(), 7, "redactor", "c")
	check.Equal(t, "at the other entry", codeOf(err), outcome.Quarantined)
	check.Equal(t, "frames", sentFrames, 4)
}

// Guards against a request that keeps waiting for another suspect after its caller
// has disconnected.
func TestWaitEndsWhenCallerDisconnects(t *testing.T) {
	s := newTestService(t, clock.NewManual(clock.Hour))
	s.Crashed("a", frame.NewCrash(1, []uint64{7}))
	_, err := s.Begin(t.Context(), 7, "redactor", "b")
	check.NoError(t, "first copy", err)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = s.Begin(ctx, 7, "redactor", "b")
	check.Equal(t, "second copy", codeOf(err), outcome.Overloaded)
}
