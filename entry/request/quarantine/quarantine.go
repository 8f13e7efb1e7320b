// Package quarantine decides which requests are refused because requests like them have
// crashed upstreams. It does no I/O and starts no goroutines; callers pass the current
// time to each call.
//
// Requests are compared by their fingerprints: first those of the request itself, then those
// that other requests may share, such as the parts of its prompt, in order. A fingerprint is
// quarantined once two upstreams have crashed under requests that had it, unless requests
// with it have succeeded lately. Of fingerprints that always occur together only the rarest
// is quarantined, so that requests that share the others are still served.
//
// An entry that has just started does not know which fingerprints are sound. Until it does, it
// quarantines a request's own fingerprints alone, once three upstreams have crashed under one that
// can't have failed together. It does so later, too, since several requests that crash upstreams in
// turn hide each other.
package quarantine

import (
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/process/clock"
	"goldcrestshore/core/request/fingerprint"
)

// Fingerprint identifies a request or a part that requests share.
type Fingerprint = fingerprint.Fingerprint

// Request holds the fingerprints of a request.
type Request struct {
	fingerprints []Fingerprint
	// ownCount is the number of those that only requests like this one have.
	ownCount int
}

// NewRequest returns a request with its own fingerprints, which only requests like it have, and
// those that other requests may share, in order.
func NewRequest(own []Fingerprint, shared ...Fingerprint) Request {
	return Request{slices.Concat(own, shared), len(own)}
}

// Fingerprints returns all fingerprints. Callers must not change the slice.
func (r Request) Fingerprints() []Fingerprint { return r.fingerprints }

// own returns the fingerprints that only requests like this one have.
func (r Request) own() []Fingerprint { return r.fingerprints[:r.ownCount] }

// ErrMalformed means that a stored state can't be decoded.
var ErrMalformed = errors.New("malformed state of the quarantine")

// Bounds of the state, so that its encoding fits an object of the platform's store.
const (
	maxCrashes          = 32
	maxRequestsPerCrash = 16
	maxBlocks           = 256
)

// State is what entries share. It is stored as JSON.
type State struct {
	Crashes []Crash `json:"crashes,omitempty"`
	Blocks  []Block `json:"blocks,omitempty"`
}

// Crash is the crash of one incarnation of an upstream.
type Crash struct {
	Upstream string `json:"upstream"`
	// StartTime is when the incarnation started, in Unix milliseconds.
	StartTime int64        `json:"startTime"`
	At        clock.Millis `json:"atMs"`
	// Requests holds the fingerprints of each request that may have caused the crash.
	Requests [][]Fingerprint `json:"requests"`
}

// Block is a fingerprint in quarantine.
type Block struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Until is the end of the quarantine.
	Until clock.Millis `json:"untilMs"`
	// Renewals is how often an upstream has crashed after the end of the quarantine.
	Renewals int `json:"renewals"`
}

// Encode returns the state in its stored format.
func (s State) Encode() ([]byte, error) {
	raw, err := json.Marshal(s)
	return raw, errors.Wrap(err, "encode state of the quarantine")
}

// Decode returns a stored state. Its error wraps ErrMalformed.
func Decode(raw []byte) (State, error) {
	var s State
	if err := json.Unmarshal(raw, &s); err != nil {
		return State{}, errors.CombineErrors(ErrMalformed, err)
	}
	return s, nil
}
