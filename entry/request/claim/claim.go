// Package claim makes requests with an idempotency key run at most once.
//
// Keys are divided into shards. The owner of a shard, an entry, appends a
// claim to the shard's log in the platform's object API before the request is
// forwarded. Each log position is a conditional write on what the owner read
// last, so an owner that was paused and replaced cannot append, and therefore
// cannot grant. Owner decides for one shard; Client decides for the entry that
// received the request. Both are pure: events go in, actions come out.
//
// docs/decisions/at-most-once.md weighs the alternatives.
package claim

import (
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"goldcrestshore/core/request/outcome"
	"goldcrestshore/core/request/stored"
)

// Shards is the number of shards. It is a part of the stored layout: another
// number would place stored keys in other shards. With eight, the writes of
// all shards together stay within their share at a wait of tens of ms.
const Shards = 8

// ErrGrant reports a malformed grant.
var ErrGrant = errors.New("malformed claim grant")

// Key identifies a non-idempotent request. It is a hash with 128 bits, because
// two requests with one key would get each other's answer.
type Key [16]byte

// KeyOf returns the key of a customer's Idempotency-Key.
func KeyOf(customer, idempotencyKey string) Key {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d:%s%s", len(customer), customer, idempotencyKey))
	return Key(sum[:16])
}

// Shard returns the shard that holds the key.
func (k Key) Shard() int { return int(k[0]) % Shards }

// HashRequest returns the hash that tells whether a key is used for another request.
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

// AttemptID identifies one sending of a request: the entry's incarnation and a
// number that the entry uses once.
type AttemptID struct {
	entry    uint64
	sequence uint64
}

// NewAttemptID returns the sequence-th reference of an entry's incarnation.
func NewAttemptID(entry, sequence uint64) AttemptID { return AttemptID{entry, sequence} }

// Entry returns the incarnation of the entry.
func (r AttemptID) Entry() uint64 { return r.entry }

// Sequence returns the number within the entry's incarnation.
func (r AttemptID) Sequence() uint64 { return r.sequence }

// Upstream names the agent that a claim is bound to.
type Upstream struct {
	name        string
	incarnation uint64
}

// NewUpstream returns the agent of an upstream in one incarnation.
func NewUpstream(name string, incarnation uint64) Upstream { return Upstream{name, incarnation} }

// Name returns the instance name of the upstream.
func (u Upstream) Name() string { return u.name }

// Incarnation returns the incarnation of the agent's process.
func (u Upstream) Incarnation() uint64 { return u.incarnation }

// Grant identifies a claim by its place in the log. Its text form is the
// claimKey that agents see.
type Grant struct {
	shard    int
	position uint64
	index    int
}

// ParseGrant reads the text form of a grant.
func ParseGrant(s string) (Grant, error) {
	var g Grant
	if n, err := fmt.Sscanf(s, "%d-%d-%d", &g.shard, &g.position, &g.index); n != 3 || err != nil || g.String() != s {
		return Grant{}, errors.Wrapf(ErrGrant, "%q", s)
	}
	return g, nil
}

// String returns the text form.
func (g Grant) String() string { return fmt.Sprintf("%d-%d-%d", g.shard, g.position, g.index) }

// Shard returns the shard of the claim.
func (g Grant) Shard() int { return g.shard }

// State is what is known about a claim.
type State int

// States of a claim.
const (
	NeverReceived State = iota // the agent never saw it and refuses it from now on
	NotRun                     // it was refused or withdrawn and cannot run any more
	Running                    // it was granted; whether it runs is not known here
	Done                       // the upstream completed it
	Unknown                    // it may have run and its answer is lost
)

var stateNames = [...]string{"never", "notRun", "running", "done", "unknown"}

// String returns the name used in frames.
func (s State) String() string { return stateNames[s] }

// ParseState reads the name of a state; an unknown name is Unknown.
func ParseState(s string) State {
	for i, name := range stateNames {
		if name == s {
			return State(i)
		}
	}
	return Unknown
}

// Reply is the owner's answer to an Ask.
type Reply interface{ reply() }

// Granted permits to submit the request once, to the named upstream only.
type Granted struct {
	grant    Grant
	upstream Upstream
}

// NewGranted returns a received grant.
func NewGranted(g Grant, u Upstream) Granted { return Granted{g, u} }

// Grant returns the claim.
func (g Granted) Grant() Grant { return g.grant }

// Upstream returns the only upstream that may be given the request.
func (g Granted) Upstream() Upstream { return g.upstream }

// Stored is the answer of an earlier run.
type Stored struct{ response stored.Answer }

// NewStored returns a received answer.
func NewStored(a stored.Answer) Stored { return Stored{a} }

// Answer returns the stored answer.
func (s Stored) Answer() stored.Answer { return s.response }

// Refused tells that the request may not be submitted.
type Refused struct{ refusal *outcome.Refusal }

// NewRefused returns a received refusal.
func NewRefused(r *outcome.Refusal) Refused { return Refused{r} }

// Refusal returns the refusal for the caller.
func (r Refused) Refusal() *outcome.Refusal { return r.refusal }

func (Granted) reply() {}
func (Stored) reply()  {}
func (Refused) reply() {}
