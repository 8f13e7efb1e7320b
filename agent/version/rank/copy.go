package rank

import (
	"encoding/binary"
	"slices"
)

// Clone returns a deep copy. Model checkers use it to branch from a state.
func (r *Rank) Clone() *Rank {
	c := *r
	c.fencingTokenReceived = slices.Clone(r.fencingTokenReceived)
	c.open = r.open.clone()
	c.earlyVotes = r.earlyVotes.clone()
	c.pastDecisions = slices.Clone(r.pastDecisions)
	return &c
}

// AppendKey appends an encoding of all state except timestamps. Equal states
// have equal encodings, so that a model checker recognises visited states.
func (r *Rank) AppendKey(b []byte) []byte {
	b = append(b, byte(r.phase), boolByte(r.waitingForOutcome), boolByte(r.prep.loaded))
	b = appendUvarints(b, r.Epoch, r.Incarnation, r.fencingToken, uint64(r.step))
	b = appendID(b, r.highestVoted)
	b = appendID(b, r.current)
	b = appendID(b, r.prep.to)
	b = appendID(b, r.prep.base)
	b = AppendChange(b, r.scheduled)
	for _, h := range r.fencingTokenReceived {
		b = append(b, boolByte(h))
	}
	b = appendBallot(b, r.open)
	b = appendBallot(b, r.earlyVotes)
	for _, p := range r.pastDecisions {
		b = AppendChange(append(b, boolByte(p.commit)), p.change)
	}
	return b
}

// Clone returns a deep copy. Model checkers use it to branch from a state.
func (o *Owner) Clone() *Owner {
	c := *o
	c.incarnations = slices.Clone(o.incarnations)
	c.ready = slices.Clone(o.ready)
	c.votes = o.votes.clone()
	return &c
}

// AppendKey appends an encoding of all state except timestamps.
func (o *Owner) AppendKey(b []byte) []byte {
	b = append(b, byte(o.stage), boolByte(o.superseded))
	b = appendUvarints(b, o.Epoch, o.FencingToken, o.version, uint64(o.step))
	for i, ready := range o.ready {
		b = append(b, boolByte(ready), byte(o.incarnations[i]))
	}
	if o.stage == stageArmed {
		b = appendBallot(b, o.votes)
	}
	return b
}

// AppendMessage appends an encoding of a protocol message.
func AppendMessage(b []byte, m Message) []byte {
	switch m := m.(type) {
	case Prepare:
		return appendID(appendID(append(b, 30), m.to), m.base)
	case Prepared:
		return appendUvarints(appendID(append(b, 31), m.to), m.incarnation, uint64(m.step))
	case Arm:
		return appendUvarints(AppendChange(append(b, 32), m.change), m.incarnation)
	case Armed:
		return AppendChange(append(b, 33), m.change)
	case Refuse:
		return appendUvarints(AppendChange(append(b, 34), m.change), m.fencingToken)
	case Query:
		return AppendChange(append(b, 35), m.change)
	case Decide:
		return AppendChange(append(b, 36, boolByte(m.commit)), m.change)
	}
	return append(b, 37)
}

// AppendChange appends an encoding of a change.
func AppendChange(b []byte, c Change) []byte {
	return appendUvarints(appendID(b, c.to), c.epoch, uint64(c.step))
}

func appendID(b []byte, id MapID) []byte { return appendUvarints(b, id.fencingToken, id.version) }

func appendBallot(b []byte, v ballot) []byte {
	b = AppendChange(b, v.change)
	for _, memberVote := range v.votes {
		b = append(b, byte(memberVote))
	}
	return append(b, byte(len(v.votes)))
}

func appendUvarints(b []byte, values ...uint64) []byte {
	for _, n := range values {
		b = binary.AppendUvarint(b, n)
	}
	return b
}

func boolByte(v bool) byte {
	if v {
		return 1
	}
	return 0
}
