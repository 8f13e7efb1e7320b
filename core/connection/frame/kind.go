package frame

import (
	"github.com/cockroachdb/errors"
	"github.com/tinylib/msgp/msgp"

	"goldcrestshore/core/version/group"
	"goldcrestshore/core/version/snapshot"
)

// Kinds of frames. The numbers are part of the protocol and must not be reused.
const (
	kindHello        = 1
	kindProof        = 2
	kindHeartbeat    = 3
	kindSubmit       = 4
	kindAccepted     = 5
	kindRefused      = 6
	kindResponseHead = 7
	kindData         = 8
	kindEnd          = 9
	kindCredit       = 10
	kindCancel       = 11
	kindResume       = 12
	kindGone         = 13
	kindClaimQuery   = 14
	kindClaimState   = 15

	kindClaimAcquire  = 16
	kindClaimReply    = 17
	kindClaimReport   = 18
	kindClaimWithdraw = 19

	kindSubscribe = 20
	kindVersion   = 21
	kindShares    = 22
	kindCrash     = 24
)

// Cancel requests that the agent stop a request whose caller has disconnected.
type Cancel struct{}

// MarshalMsg encodes an empty body.
func (Cancel) MarshalMsg(b []byte) ([]byte, error) { return b, nil }

// UnmarshalMsg decodes an empty body.
func (*Cancel) UnmarshalMsg(b []byte) ([]byte, error) { return b, nil }

func (*Hello) frameKind() byte        { return kindHello }
func (*Proof) frameKind() byte        { return kindProof }
func (*Heartbeat) frameKind() byte    { return kindHeartbeat }
func (*Submit) frameKind() byte       { return kindSubmit }
func (*Accepted) frameKind() byte     { return kindAccepted }
func (*Refused) frameKind() byte      { return kindRefused }
func (*ResponseHead) frameKind() byte { return kindResponseHead }
func (*Data) frameKind() byte         { return kindData }
func (*End) frameKind() byte          { return kindEnd }
func (*Credit) frameKind() byte       { return kindCredit }
func (*Cancel) frameKind() byte       { return kindCancel }
func (*Resume) frameKind() byte       { return kindResume }
func (*Gone) frameKind() byte         { return kindGone }
func (*ClaimQuery) frameKind() byte   { return kindClaimQuery }
func (*ClaimState) frameKind() byte   { return kindClaimState }
func (*Subscribe) frameKind() byte    { return kindSubscribe }
func (*Version) frameKind() byte      { return kindVersion }
func (*Shares) frameKind() byte       { return kindShares }
func (*Crash) frameKind() byte        { return kindCrash }

func decode(kind byte, body []byte) (Message, error) {
	switch kind {
	case kindHello:
		return unmarshal[Hello](body)
	case kindProof:
		return unmarshal[Proof](body)
	case kindHeartbeat:
		return unmarshal[Heartbeat](body)
	case kindSubmit:
		return unmarshal[Submit](body)
	case kindAccepted:
		return unmarshal[Accepted](body)
	case kindRefused:
		return unmarshal[Refused](body)
	case kindResponseHead:
		return unmarshal[ResponseHead](body)
	case kindData:
		return unmarshal[Data](body)
	case kindEnd:
		return unmarshal[End](body)
	case kindCredit:
		return unmarshal[Credit](body)
	case kindCancel:
		return &Cancel{}, nil
	case kindResume:
		return unmarshal[Resume](body)
	case kindGone:
		return unmarshal[Gone](body)
	case kindClaimQuery:
		return unmarshal[ClaimQuery](body)
	case kindClaimState:
		return unmarshal[ClaimState](body)
	case kindClaimAcquire:
		return unmarshal[ClaimAcquire](body)
	case kindClaimReply:
		return unmarshal[ClaimReply](body)
	case kindClaimReport:
		return unmarshal[ClaimReport](body)
	case kindClaimWithdraw:
		return unmarshal[ClaimWithdraw](body)
	case kindSubscribe:
		return unmarshal[Subscribe](body)
	case kindVersion:
		return unmarshal[Version](body)
	case kindShares:
		return unmarshal[Shares](body)
	case kindCrash:
		return unmarshal[Crash](body)
	case kindEntryHeartbeat:
		return unmarshal[EntryHeartbeat](body)
	case kindGroupLoad:
		return unmarshal[GroupLoad](body)
	case kindRankCall:
		return unmarshal[RankCall](body)
	case kindRankReply:
		return unmarshal[RankReply](body)
	case kindSnapshotRequest:
		return unmarshal[SnapshotRequest](body)
	case kindSnapshotReply:
		return unmarshal[SnapshotReply](body)
	case kindRateLimits:
		return unmarshal[RateLimits](body)
	case kindDepartures:
		return unmarshal[Departures](body)
	}
	return nil, errors.Wrapf(ErrUnknownKind, "kind %d", kind)
}

func unmarshal[T any, P interface {
	decoder[T]
	Message
}](body []byte) (Message, error) {
	m := P(new(T))
	rest, err := Unmarshal(body, m)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "decode: %v", err)
	}
	if len(rest) != 0 {
		return nil, errors.Wrapf(ErrMalformed, "%d bytes after the body", len(rest))
	}
	if v, found := any(m).(validator); found {
		if err := v.Validate(); err != nil {
			return nil, errors.Wrapf(ErrMalformed, "%v", err)
		}
	}
	return m, nil
}

// Unmarshal decodes m from the first object in b and returns the rest of b. It fails if a list does not
// have as many elements as it announces: the generated decoders make room for that many before they
// look for them.
func Unmarshal(b []byte, m msgp.Unmarshaler) (rest []byte, err error) {
	if _, err := msgp.Skip(b); err != nil {
		return b, errors.Wrap(err, "find the end of the object")
	}
	return m.UnmarshalMsg(b)
}

// validator is a message that can hold more than any process sends.
type validator interface{ Validate() error }

// Kinds of messages between entries and the agents of ranks.
const (
	kindEntryHeartbeat = 40
	kindGroupLoad      = 41
	kindRankCall       = 42
	kindRankReply      = 43

	kindSnapshotRequest = 44
	kindSnapshotReply   = 45

	kindRateLimits = 46
	kindDepartures = 47
)

// EntryHeartbeat is an entry's heartbeat to the agent of a rank.
type EntryHeartbeat struct{ group.EntryHeartbeat }

// GroupLoad replies to EntryHeartbeat.
type GroupLoad struct{ group.Load }

// RateLimits tells what upstreams have stated about how many requests they take. An entry
// sends it to agents beside its heartbeats, and an agent beside its replies.
type RateLimits struct{ group.RateLimits }

// Departures tells which upstreams have said that they leave. An entry sends it to agents beside its
// heartbeats, and an agent beside its replies.
type Departures struct{ group.Departures }

// RankCall is a call of the owner of expert maps to the agent of a rank.
type RankCall struct{ group.Call }

// RankReply replies to RankCall.
type RankReply struct{ group.Reply }

// SnapshotRequest requests the objects of the store from another entry.
type SnapshotRequest struct{ snapshot.Request }

// SnapshotReply replies to SnapshotRequest.
type SnapshotReply struct{ snapshot.Reply }

func (*SnapshotRequest) frameKind() byte { return kindSnapshotRequest }
func (*SnapshotReply) frameKind() byte   { return kindSnapshotReply }
func (*EntryHeartbeat) frameKind() byte  { return kindEntryHeartbeat }
func (*GroupLoad) frameKind() byte       { return kindGroupLoad }
func (*RateLimits) frameKind() byte      { return kindRateLimits }
func (*Departures) frameKind() byte      { return kindDepartures }
func (*RankCall) frameKind() byte        { return kindRankCall }
func (*RankReply) frameKind() byte       { return kindRankReply }
