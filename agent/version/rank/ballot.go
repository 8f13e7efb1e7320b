package rank

import "slices"

// vote is the state of one member's vote.
type vote byte

const (
	voteMissing vote = iota
	voteYes
	voteNo
)

// ballot collects the votes on one change. The zero ballot is closed: no vote
// is in progress.
type ballot struct {
	change Change
	votes  []vote
}

func newBallot(c Change, size int) ballot {
	return ballot{change: c, votes: make([]vote, size)}
}

func (b ballot) isOpen() bool { return !b.change.IsZero() }

func (b ballot) clone() ballot { return ballot{b.change, slices.Clone(b.votes)} }

// set records the first vote of a member; later ones are ignored.
func (b ballot) set(m Member, v vote) {
	if int(m) >= 0 && int(m) < len(b.votes) && b.votes[m] == voteMissing {
		b.votes[m] = v
	}
}

// outcome returns voteYes if every member voted yes, voteNo if any member voted
// no, and voteMissing otherwise.
func (b ballot) outcome(members []Member) vote {
	result := voteYes
	for _, m := range members {
		switch b.votes[m] {
		case voteNo:
			return voteNo
		case voteMissing:
			result = voteMissing
		}
	}
	return result
}

// missing returns the members whose vote has not been received.
func (b ballot) missing(members []Member) []Member {
	var missing []Member
	for _, m := range members {
		if b.votes[m] == voteMissing {
			missing = append(missing, m)
		}
	}
	return missing
}
