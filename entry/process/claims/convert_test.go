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

// roundTrip encodes m with the attempt's ID and returns the decoded frame.
func roundTrip(t *testing.T, attempt claim.AttemptID, m frame.Message) (frame.ID, frame.Message) {
	t.Helper()
	b, err := frame.Append(nil, frame.NewID(attempt.Entry(), attempt.Sequence()), m)
	check.NoError(t, "Append", err)
	id, got, err := frame.Read(bytes.NewReader(b))
	check.NoError(t, "Read", err)
	return id, got
}

// TestOwnerEventRoundTrip guards against an event that loses a field between two
// entries.
func TestOwnerEventRoundTrip(t *testing.T) {
	attempt, k, now := claim.NewAttemptID(7, 8), claim.KeyOf("customer", "key"), int64(1000)
	response := stored.New(201, []frame.Field{frame.NewField("A", "b")}, []byte("body"))
	events := []claim.Event{
		claim.NewAcquire(attempt, k, 9, claim.NewUpstream("u", 10), 1500),
		claim.NewWithdraw(attempt, k, grant(t), outcome.Cold, 250),
		claim.NewWithdraw(attempt, k, claim.Grant{}, outcome.Cold, 250),
		claim.NewReport(k, grant(t), claim.Done, response),
	}
	for _, want := range events {
		sent, m := eventFrame(want, 1000)
		id, received := roundTrip(t, sent, m)
		key, got, err := parseOwnerEvent(id, received, 1000)
		check.NoError(t, "parseOwnerEvent", err)
		check.Equal(t, "key", key, k)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("event at %d: got %+v, want %+v", now, got, want)
		}
	}
}

// TestOwnerReplyRoundTrip guards against a reply that changes between two
// entries.
func TestOwnerReplyRoundTrip(t *testing.T) {
	attempt, k := claim.NewAttemptID(7, 8), claim.KeyOf("customer", "key")
	replies := []claim.Reply{
		claim.NewGranted(grant(t), claim.NewUpstream("u", 10)),
		claim.NewStored(stored.New(201, []frame.Field{frame.NewField("A", "b")}, []byte("body"))),
		claim.NewRefused(outcome.Refuse(outcome.PlatformDown, outcome.NotRun, 2000)),
		claim.NewRefused(outcome.Refuse(outcome.ClaimUnresolved, outcome.Unknown, 0)),
	}
	for _, r := range replies {
		want := claim.NewOwnerReply(attempt, k, r)
		id, m := roundTrip(t, attempt, replyFrame(want))
		got, err := parseOwnerReply(id, m.(*frame.ClaimReply))
		check.NoError(t, "parseOwnerReply", err)
		if !reflect.DeepEqual(got, want) {
			t.Errorf("reply: got %+v, want %+v", got, want)
		}
	}
}

// TestInvalidFrames guards against a malformed frame that reaches an owner or the
// client.
func TestInvalidFrames(t *testing.T) {
	shortKey := []byte{1, 2}
	k := claim.KeyOf("customer", "key")
	frames := []frame.Message{
		frame.NewClaimAcquire(shortKey, 1, "u", 1, 1),
		frame.NewClaimWithdraw(shortKey, "", "cold", 0),
		frame.NewClaimWithdraw(k[:], "x", "cold", 0),
		frame.NewClaimReport(k[:], "1-2", "done", 200, nil, nil),
		&frame.Cancel{},
	}
	for _, m := range frames {
		if _, _, err := parseOwnerEvent(frame.ID{}, m, 0); err == nil {
			t.Errorf("%T: got no error, want one", m)
		}
	}
	_, err := parseOwnerReply(frame.ID{}, frame.NewClaimRefusal(k[:], "", false, 0))
	check.Is(t, "empty reply", err, errInvalidFrame)
}
