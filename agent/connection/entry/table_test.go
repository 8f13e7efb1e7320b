package entry

import (
	"testing"

	"goldcrestshore/agent/request/stream"
	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/process/clock"
)

type discardSender struct{}

func (discardSender) Send(frame.ID, frame.Message) error { return nil }

func newRequest(id frame.ID) *request {
	return &request{response: stream.New(id, discardSender{}), cancel: func() {}}
}

// Guards against a false "not run" for an admitted request whose tombstone
// expired while its entry was paused.
func TestAdmittedRequestIsNeverReportedAsNotRun(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	check.Equal(t, "insert", tab.insert(id, newRequest(id)), insertOK)
	check.Equal(t, "admit", tab.admit(id), true)
	tab.remove(id, 0)
	for _, now := range []clock.Millis{0, tombstoneTTL - 1, tombstoneTTL, 10 * tombstoneTTL} {
		tab.expire(now)
		_, ran := tab.getOrRefuse(id, now)
		check.Equal(t, "ran", ran, true)
	}
	check.Equal(t, "tombstones", len(tab.tombstones), 0)
}

// Guards against a delayed Submit frame that runs after the agent reported the
// request as not run.
func TestRefusedIDIsNotInserted(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	_, ran := tab.getOrRefuse(id, 0)
	check.Equal(t, "ran", ran, false)
	check.Equal(t, "insert", tab.insert(id, newRequest(id)), insertRefused)
}

// Guards against a duplicate Submit frame that runs the request a second time.
func TestDuplicateSubmit(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	tab.insert(id, newRequest(id))
	check.Equal(t, "while present", tab.insert(id, newRequest(id)), insertDuplicate)
	tab.admit(id)
	tab.remove(id, 0)
	check.Equal(t, "after removal", tab.insert(id, newRequest(id)), insertDuplicate)
}

// Guards against a request that starts after its entry cancelled it.
func TestCancelledRequestIsNotAdmitted(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	tab.insert(id, newRequest(id))
	tab.remove(id, 0)
	check.Equal(t, "admit", tab.admit(id), false)
	_, ran := tab.getOrRefuse(id, 0)
	check.Equal(t, "ran", ran, false)
}

// Guards against responses that are retained forever for an entry that has
// terminated.
func TestDetachedRequestIsAbandoned(t *testing.T) {
	tab, id := newTable(), frame.NewID(1, 5)
	r := newRequest(id)
	tab.insert(id, r)
	r.response.Detach(discardSender{})
	check.Equal(t, "when detached", len(tab.expire(1)), 0)
	check.Equal(t, "after detachedTTL", len(tab.expire(1+detachedTTL)), 1)
}
