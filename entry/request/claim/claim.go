// Package claim runs requests with an idempotency key at most once.
//
// Keys are divided into shards. The entry that owns a shard appends an
// idempotency record to the shard's log in the platform's object API before the
// request is forwarded. Each append is conditional on the object version that
// the owner read last, so an owner that was paused and replaced can neither
// append nor grant. Owner decides for one shard; Client decides for the entry
// that received the request. Both are pure state machines: they take events and
// return actions.
//
// docs/decisions/at-most-once.md compares the alternatives.
package claim

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// Shards is the number of shards. It is part of the stored layout: a different
// number would map stored keys to other shards. With eight shards, their writes
// together stay within the share of the platform's write rate at a wait of tens
// of milliseconds.
const Shards = 8

// ErrGrant reports a malformed grant.
var ErrGrant = errors.New("malformed claim grant")

// Key identifies a non-idempotent request. It is a 128-bit hash, because two
// requests with the same key would receive each other's response.
type Key [16]byte

// KeyOf returns the key for a customer's Idempotency-Key header.
func KeyOf(customer, idempotencyKey string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(customer), customer, idempotencyKey))
	return Key(sum[:16])
}

// Shard returns the shard that holds the key.
func (k Key) Shard() int { return int(k[0]) % Shards }

// HashRequest returns the hash that detects a key reused for a different
// request.
func HashRequest(method, path string, body []byte) uint64 {
	d := xxhash.New()
	// A Digest never returns an error from its writers.
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// AttemptID identifies one attempt at a request by the entry's incarnation and
// a sequence number that the entry uses once.
type AttemptID struct {
	entry    uint64
	sequence uint64
}

// NewAttemptID returns the ID of the attempt with the given sequence number of
// an entry's incarnation.
func NewAttemptID(entry, sequence uint64) AttemptID { return AttemptID{entry, sequence} }

// Entry returns the incarnation of the entry.
func (id AttemptID) Entry() uint64 { return id.entry }

// Sequence returns the sequence number within the entry's incarnation.
func (id AttemptID) Sequence() uint64 { return id.sequence }

// Upstream identifies the agent that an idempotency record is bound to.
type Upstream struct {
	name        string
	incarnation uint64
}

// NewUpstream returns the agent of the named upstream in the given incarnation.
func NewUpstream(name string, incarnation uint64) Upstream { return Upstream{name, incarnation} }

// Name returns the instance name of the upstream.
func (u Upstream) Name() string { return u.name }

// Incarnation returns the incarnation of the agent's process.
func (u Upstream) Incarnation() uint64 { return u.incarnation }

// Grant identifies an idempotency record by its position in the log. Agents
// receive its text form as the claimKey.
type Grant struct {
	shard    int
	position uint64
	index    int
}

// ParseGrant parses the text form of a grant.
func ParseGrant(s string) (Grant, error) {
	var g Grant
	if n, err := fmt.Sscanf(s, "%d-%d-%d", &g.shard, &g.position, &g.index); n != 3 || err != nil || g.String() != s {
		return Grant{}, errors.Wrapf(ErrGrant, "%q", s)
	}
	return g, nil
}

// String returns the text form that ParseGrant accepts.
func (g Grant) String() string { return fmt.Sprintf("%d-%d-%d", g.shard, g.position, g.index) }

// Shard returns the shard of the record.
func (g Grant) Shard() int { return g.shard }

// State is the known execution state of the request of an idempotency record.
type State int

// Execution states.
const (
	NeverReceived State = iota // the agent never received it and refuses it from now on
	NotRun                     // it was refused or withdrawn and can no longer run
	Running                    // it was granted; whether it has started is not known
	Done                       // the upstream completed it
	Unknown                    // it may have run and its response is lost
)

var stateNames = [...]string{"never", "notRun", "running", "done", "unknown"}

// String returns the name used in frames.
func (s State) String() string { return stateNames[s] }

// ParseState parses the name of a state. It returns Unknown for any other name.
func ParseState(s string) State {
	for i, name := range stateNames {
		if name == s {
			return State(i)
		}
	}
	return Unknown
}

// Reply is the owner's decision on an Acquire or Withdraw.
type Reply interface{ reply() }

// Granted permits submitting the request once, and only to the named upstream.
type Granted struct {
	grant    Grant
	upstream Upstream
}

// NewGranted returns a received Granted.
func NewGranted(g Grant, u Upstream) Granted { return Granted{g, u} }

// Grant returns the grant.
func (g Granted) Grant() Grant { return g.grant }

// Upstream returns the only upstream that the request may be submitted to.
func (g Granted) Upstream() Upstream { return g.upstream }

// Stored carries the stored response of an earlier run.
type Stored struct{ response stored.Response }

// NewStored returns a received Stored.
func NewStored(resp stored.Response) Stored { return Stored{resp} }

// Response returns the stored response.
func (s Stored) Response() stored.Response { return s.response }

// Refused states that the request may not be submitted.
type Refused struct{ refusal *outcome.Refusal }

// NewRefused returns a received Refused.
func NewRefused(id *outcome.Refusal) Refused { return Refused{id} }

// Refusal returns the refusal to send to the caller.
func (r Refused) Refusal() *outcome.Refusal { return r.refusal }

func (Granted) reply() {}
func (Stored) reply()  {}
func (Refused) reply() {}
