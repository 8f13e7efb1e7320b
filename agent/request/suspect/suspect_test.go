package suspect

import (
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// TestCrashedRequestIsRefused guards against a request that crashes one
// upstream twice because an entry has not yet received the verdict on the first
// crash.
func TestCrashedRequestIsRefused(t *testing.T) {
	g := &Gate{}
	check.Equal(t, "before", g.Handle(0, NewSubmitted(1, false)), Action(Admit{}))
	g.Handle(0, NewCrashed([]fingerprint.Fingerprint{1, 2}))
	_, refused := g.Handle(clock.Second, NewSubmitted(1, false)).(Refuse)
	check.Equal(t, "after", refused, true)
	check.Equal(t, "another", g.Handle(clock.Second, NewSubmitted(3, false)), Action(Admit{}))
	check.Equal(t, "expired", g.Handle(blockTTL, NewSubmitted(1, false)), Action(Admit{}))
	check.Equal(t, "blocked", g.Len(), 0)
}

// TestBlockedFingerprintsAreBounded guards against memory use that grows with
// each crash.
func TestBlockedFingerprintsAreBounded(t *testing.T) {
	g := &Gate{}
	for i := range fingerprint.Fingerprint(3 * maxBlocked) {
		g.Handle(0, NewCrashed([]fingerprint.Fingerprint{i}))
	}
	check.Equal(t, "blocked", g.Len(), maxBlocked)
}

// TestOneSuspect guards against two suspects in flight at one crash.
func TestOneSuspect(t *testing.T) {
	g := &Gate{}
	check.Equal(t, "first suspect", g.Handle(0, NewSubmitted(1, true)), Action(Admit{}))
	_, refused := g.Handle(0, NewSubmitted(2, true)).(Refuse)
	check.Equal(t, "second suspect refused", refused, true)
	check.Equal(t, "other work", g.Handle(0, NewSubmitted(3, false)), Action(Admit{}))
	g.Handle(0, NewEnded(3))
	g.Handle(0, NewEnded(1))
	check.Equal(t, "after the first has ended", g.Handle(0, NewSubmitted(2, true)), Action(Admit{}))
}
