package experts

import (
	"context"

	"github.com/cockroachdb/errors"

	"goldcrestshore/core/version/snapshot"
)

// Errors of claims, for use with errors.Is.
var (
	// ErrClaimed means that another process claimed the maps first.
	ErrClaimed = errors.New("another process has claimed the expert maps")
	// ErrConflict means that another process has written its claim since it was read.
	ErrConflict = errors.New("claim of the expert maps has changed")
)

const (
	// termsPerTimeline exceeds the revisions that a restore of the store takes back, so that
	// terms of a later timeline exceed those of all claims that it has lost.
	termsPerTimeline = 1 << 20
	// maxTimeline keeps versions of maps, which begin with the term of their owner, within
	// 63 bits.
	maxTimeline = 1 << 22
)

// Claimer acquires ownership.
type Claimer interface {
	// Claim makes the process the owner and returns the new term. knownTerm is
	// the newest term that the process has received, 0 for none. With ErrClaimed
	// Claim returns the newer term of the other process.
	Claim(ctx context.Context, service string, knownTerm int64) (int64, error)
}

// Claim is the claim of the owner of a service's maps.
type Claim struct {
	Holder string
	// Incarnation distinguishes restarts of the holder.
	Incarnation int64
	// Timeline is that of the store in which the claim was made.
	Timeline int64
	// Term is higher than that of all earlier claims.
	Term int64
}

// StoredClaim is a claim as it was read from the store.
type StoredClaim struct {
	Claim
	// Revision is that of the claim, 0 if there is none.
	Revision int64
	// At is the position of the store itself.
	At snapshot.Position
}

// position returns the position of the claim.
func (c StoredClaim) position() snapshot.Position {
	return snapshot.Position{Timeline: c.At.Timeline, Revision: c.Revision}
}

// ClaimStore holds the claim of each service in an object of the store.
type ClaimStore interface {
	// Load returns the claim of a service.
	Load(ctx context.Context, service string) (StoredClaim, error)
	// Save replaces the claim that has the position, or creates it at revision 0. It fails
	// with ErrConflict if another one has been written since.
	Save(ctx context.Context, service string, c Claim, at snapshot.Position) error
}

// StoredClaims acquires ownership through conditional writes to a store. Consecutive claims by
// two processes are safe, because agents refuse orders of an owner that was replaced.
// Exported fields must be set before use.
type StoredClaims struct {
	Store ClaimStore
	// Holder is the name of this process. Incarnation distinguishes its restarts.
	Holder      string
	Incarnation int64
}

// Claim implements Claimer.
func (c *StoredClaims) Claim(ctx context.Context, service string, knownTerm int64) (int64, error) {
	stored, err := c.Store.Load(ctx, service)
	if err != nil {
		return 0, err
	}
	next := Claim{c.Holder, c.Incarnation, stored.At.Timeline, nextTerm(stored, knownTerm)}
	switch {
	case next.isOfSameProcess(stored.Claim) && stored.Term > knownTerm:
		return stored.Term, nil // an earlier claim whose response was lost
	case knownTerm > 0 && stored.Term > knownTerm:
		return stored.Term, errors.Wrapf(ErrClaimed, "term %d", stored.Term)
	}
	if err := c.Store.Save(ctx, service, next, stored.position()); err != nil {
		return 0, err
	}
	return next.Term, nil
}

// isOfSameProcess reports whether two claims are of one process in one timeline. A claim of an
// earlier timeline may have the term of one that a restore has lost.
func (c Claim) isOfSameProcess(other Claim) bool {
	return c.Holder == other.Holder && c.Incarnation == other.Incarnation && c.Timeline == other.Timeline
}

// nextTerm returns the term of a claim that replaces a stored one. A restored store may lack
// claims whose terms agents have heard, or nobody yet. In one timeline terms rise with the
// revisions of the store, since the stored claim itself may come from a write of an earlier
// timeline that has been executed late.
func nextTerm(stored StoredClaim, known int64) int64 {
	return max(stored.Term, known, min(stored.At.Timeline, maxTimeline)*termsPerTimeline+stored.At.Revision) + 1
}
