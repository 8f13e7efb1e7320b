package rank

import (
	"encoding/binary"
	"slices"
)

// Clone returns an independent copy, for explorations that branch.
func (r *Rank) Clone() *Rank {
	c := *r
	c.heard = slices.Clone(r.heard)
	c.open = r.open.clone()
	c.early = r.early.clone()
	c.past = slices.Clone(r.past)
	return &c
}

// AppendKey appends an encoding of all state but the time, equal for equal
// states, for explorations that recognise states.
func (r *Rank) AppendKey(b []byte) []byte {
	b = append(b, byte(r.phase), boolByte(r.waiting), boolByte(r.prep.loaded))
	b = appendNumbers(b, r.Epoch, r.Incarnation, r.fence, uint64(r.step))
	b = appendID(b, r.floor)
	b = appendID(b, r.current)
	b = appendID(b, r.prep.to)
	b = appendID(b, r.prep.base)
	b = AppendChange(b, r.scheduled)
	for _, h := range r.heard {
		b = append(b, boolByte(h))
	}
	b = appendBallot(b, r.open)
	b = appendBallot(b, r.early)
	for _, p := range r.past {
		b = AppendChange(append(b, boolByte(p.commit)), p.change)
	}
	return b
}

// Clone returns an independent copy, for explorations that branch.
func (o *Owner) Clone() *Owner {
	c := *o
	c.incarnations = slices.Clone(o.incarnations)
	c.ready = slices.Clone(o.ready)
	c.votes = o.votes.clone()
	return &c
}

// AppendKey appends an encoding of all state but the time.
func (o *Owner) AppendKey(b []byte) []byte {
	b = append(b, byte(o.stage), boolByte(o.superseded))
	b = appendNumbers(b, o.Epoch, o.Fence, o.version, uint64(o.step))
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
		return appendNumbers(appendID(append(b, 31), m.to), m.incarnation, uint64(m.step))
	case Arm:
		return appendNumbers(AppendChange(append(b, 32), m.change), m.incarnation)
	case Armed:
		return AppendChange(append(b, 33), m.change)
	case Refuse:
		return appendNumbers(AppendChange(append(b, 34), m.change), m.fence)
	case Ask:
		return AppendChange(append(b, 35), m.change)
	case Decide:
		return AppendChange(append(b, 36, boolByte(m.commit)), m.change)
	}
	return append(b, 37)
}

// AppendChange appends an encoding of a change.
func AppendChange(b []byte, c Change) []byte {
	return appendNumbers(appendID(b, c.to), c.epoch, uint64(c.step))
}

func appendID(b []byte, id MapID) []byte { return appendNumbers(b, id.fence, id.version) }

func appendBallot(b []byte, v ballot) []byte {
	b = AppendChange(b, v.change)
	for _, one := range v.votes {
		b = append(b, byte(one))
	}
	return append(b, byte(len(v.votes)))
}

func appendNumbers(b []byte, numbers ...uint64) []byte {
	for _, n := range numbers {
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
