package entry

import (
	"testing"

	"goldcrestshore/agent/request/stream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

type discard struct{}

func (discard) Send(frame.ID, frame.Message) error { return nil }

func held(id frame.ID) *request {
	return &request{answer: stream.New(id, discard{}), cancel: func() {}}
}

// Guards against a false "not run" for a request that was admitted and then
// forgotten while its entry was paused.
func TestAdmittedRequestIsNeverReportedAsNotRun(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	check.Equal(t, "insert", tab.insert(id, held(id)), verdictNew)
	check.Equal(t, "admit", tab.admit(id), true)
	tab.remove(id, 0)
	for _, now := range []clock.Millis{0, removedLife - 1, removedLife, 10 * removedLife} {
		tab.expire(now)
		_, ran := tab.lookup(id, now)
		check.Equal(t, "ran", ran, true)
	}
	check.Equal(t, "remembered ids", len(tab.removed), 0)
}

// Guards against a late submit that runs after the agent said "not run".
func TestLookupRefusesALaterSubmit(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	_, ran := tab.lookup(id, 0)
	check.Equal(t, "ran", ran, false)
	check.Equal(t, "insert", tab.insert(id, held(id)), verdictRefused)
}

// Guards against a duplicated submit that runs a second time.
func TestDuplicateSubmit(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	tab.insert(id, held(id))
	check.Equal(t, "while held", tab.insert(id, held(id)), verdictDuplicate)
	tab.admit(id)
	tab.remove(id, 0)
	check.Equal(t, "after removal", tab.insert(id, held(id)), verdictDuplicate)
}

// Guards against a request that starts after its entry withdrew it.
func TestWithdrawnRequestIsNotAdmitted(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	tab.insert(id, held(id))
	tab.remove(id, 0)
	check.Equal(t, "admit", tab.admit(id), false)
	_, ran := tab.lookup(id, 0)
	check.Equal(t, "ran", ran, false)
}

// Guards against answers that are kept for ever for an entry that is gone.
func TestDetachedRequestIsAbandoned(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	r := held(id)
	tab.insert(id, r)
	r.answer.Detach(discard{})
	check.Equal(t, "at once", len(tab.expire(1)), 0)
	check.Equal(t, "after its time", len(tab.expire(1+detachedLife)), 1)
}
