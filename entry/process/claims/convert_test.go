package claims

import (
	"bytes"
	"reflect"
	"testing"

	"goldcrestshore/core/connection/frame"
	"goldcrestshore/core/process/check"
	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
	"goldcrestshore/entry/request/claim"
)

func grant(t *testing.T) claim.Grant {
	t.Helper()
	g, err := claim.ParseGrant("3-12-1")
	check.NoError(t, "ParseGrant", err)
	return g
}

// carry encodes and decodes a frame.
func carry(t *testing.T, ref claim.AttemptID, m frame.Message) (frame.ID, frame.Message) {
	t.Helper()
	b, err := frame.Append(nil, frame.NewID(ref.Entry(), ref.Sequence()), m)
	check.NoError(t, "Append", err)
	id, got, err := frame.Read(bytes.NewReader(b))
	check.NoError(t, "Read", err)
	return id, got
}

// TestEvents guards against a field that is lost on the way to an owner.
func TestEvents(t *testing.T) {
	ref, k, now := claim.NewAttemptID(7, 8), claim.KeyOf("customer", "key"), int64(1000)
	answer := stored.New(201, []frame.Field{frame.NewField("A", "b")}, []byte("body"))
	events := []claim.Event{
		claim.NewAcquire(ref, k, 9, claim.NewUpstream("u", 10), 1500),
		claim.NewWithdraw(ref, k, grant(t), outcome.Cold, 250),
		claim.NewWithdraw(ref, k, claim.Grant{}, outcome.Cold, 250),
		claim.NewReport(k, grant(t), claim.Done, answer),
	}
	for _, want := range events {
		sent, m := eventFrame(want, 1000)
		id, received := carry(t, sent, m)
		key, got, err := ownerEvent(id, received, 1000)
		check.NoError(t, "ownerEvent", err)
		check.Equal(t, "key", key, k)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("event at %d: got %+v, want %+v", now, got, want)
		}
	}
}

// TestReplies guards against a reply that changes on its way.
func TestReplies(t *testing.T) {
	ref, k := claim.NewAttemptID(7, 8), claim.KeyOf("customer", "key")
	replies := []claim.Reply{
		claim.NewGranted(grant(t), claim.NewUpstream("u", 10)),
		claim.NewStored(stored.New(201, []frame.Field{frame.NewField("A", "b")}, []byte("body"))),
		claim.NewRefused(outcome.Refuse(outcome.PlatformDown, outcome.NotRun, 2000)),
		claim.NewRefused(outcome.Refuse(outcome.ClaimUnsettled, outcome.Unknown, 0)),
	}
	for _, r := range replies {
		want := claim.NewOwnerReply(ref, k, r)
		id, m := carry(t, ref, replyFrame(want))
		got, err := answered(id, m.(*frame.ClaimReply))
		check.NoError(t, "answered", err)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("reply: got %+v, want %+v", got, want)
		}
	}
}

// TestUnusableFrames guards against a damaged frame that reaches a decision.
func TestUnusableFrames(t *testing.T) {
	short := []byte{1, 2}
	k := claim.KeyOf("customer", "key")
	frames := []frame.Message{
		frame.NewClaimAsk(short, 1, "u", 1, 1),
		frame.NewClaimWithdraw(short, "", "cold", 0),
		frame.NewClaimWithdraw(k[:], "x", "cold", 0),
		frame.NewClaimReport(k[:], "1-2", "done", 200, nil, nil),
		&frame.Cancel{},
	}
	for _, m := range frames {
		if _, _, err := ownerEvent(frame.ID{}, m, 0); err == nil {
			t.Errorf("%T: got no error, want one", m)
		}
	}
	_, err := answered(frame.ID{}, frame.NewClaimRefusal(k[:], "", false, 0))
	check.Is(t, "empty reply", err, errFrame)
}
