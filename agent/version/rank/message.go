// Package rank implements the protocol by which the ranks of an expert-parallel
// group switch from one expert map to the next, such that all ranks use the
// same map in every step.
//
// Rank is the state machine of the agent of one rank, Owner that of the agent
// that proposes changes to the group. Both take typed events and return typed
// actions; they do no I/O. docs/decisions/expert-map-protocol.md explains the
// design.
package rank

// Member is the number of a rank in its group, from 0.
type Member int

// MapID identifies an expert map by the fencing token of the owner that proposed
// it and that owner's sequence number.
type MapID struct {
	fencingToken uint64
	version      uint64
}

// NewMapID returns the ID of the map that the owner with this fencing token
// proposed under this sequence number.
func NewMapID(fencingToken, version uint64) MapID { return MapID{fencingToken, version} }

// FencingToken returns the fencing token of the owner that proposed the map.
func (m MapID) FencingToken() uint64 { return m.fencingToken }

// Version returns the owner's sequence number of the map.
func (m MapID) Version() uint64 { return m.version }

// After reports whether m was proposed later than other.
func (m MapID) After(other MapID) bool {
	if m.fencingToken != other.fencingToken {
		return m.fencingToken > other.fencingToken
	}
	return m.version > other.version
}

// Change is a proposal to use a map from a step on, within one membership epoch
// of the group. The zero Change means no change.
type Change struct {
	epoch uint64
	to    MapID
	step  int64
}

// NewChange returns a proposal to use the map to from step on.
func NewChange(epoch uint64, to MapID, step int64) Change { return Change{epoch, to, step} }

// Epoch returns the membership epoch that the change belongs to.
func (c Change) Epoch() uint64 { return c.epoch }

// To returns the proposed map.
func (c Change) To() MapID { return c.to }

// Step returns the first step that uses the proposed map.
func (c Change) Step() int64 { return c.step }

// IsZero reports whether c is the zero Change.
func (c Change) IsZero() bool { return c == Change{} }

// Expert identifies the weights to load into one slot of a rank.
type Expert struct {
	layer  int
	slot   int
	expert int
}

// NewExpert returns an Expert that places an expert of a layer in a slot.
func NewExpert(layer, slot, expert int) Expert {
	return Expert{layer, slot, expert}
}

// Layer returns the layer, from 0.
func (e Expert) Layer() int { return e.layer }

// Slot returns the slot of the rank within the layer, from 0.
func (e Expert) Slot() int { return e.slot }

// Expert returns the number of the expert within the layer, from 0.
func (e Expert) Expert() int { return e.expert }

// Message is a message of the protocol. Section 4.2 of docs/design.md assigns
// the frame kinds 30 to 37.
type Message interface{ message() }

// Prepare (kind 30) requests that a rank load the experts that a map adds to
// its base map.
type Prepare struct {
	epoch      uint64
	to         MapID
	base       MapID
	experts    []Expert
	encodedMap []byte
}

// NewPrepare returns a Prepare; the engine receives encodedMap.
func NewPrepare(epoch uint64, to, base MapID, experts []Expert, encodedMap []byte) Prepare {
	return Prepare{epoch, to, base, experts, encodedMap}
}

// To returns the proposed map.
func (m Prepare) To() MapID { return m.to }

// Base returns the map that the proposal is based on.
func (m Prepare) Base() MapID { return m.base }

// Experts returns the weights that the rank must load.
func (m Prepare) Experts() []Expert { return m.experts }

func (m Prepare) EncodedMap() []byte { return m.encodedMap }

// Prepared (kind 31) reports to the owner that a rank has loaded a map.
type Prepared struct {
	epoch       uint64
	to          MapID
	incarnation uint64
	step        int64
}

// To returns the prepared map.
func (m Prepared) To() MapID { return m.to }

// Incarnation returns the incarnation of the agent that prepared the map.
func (m Prepared) Incarnation() uint64 { return m.incarnation }

// Step returns the last step that the rank had entered.
func (m Prepared) Step() int64 { return m.step }

// Arm (kind 32) requests a rank's vote on a change. It carries the incarnation
// that prepared the map: a restarted agent may have lost the record of a no
// vote, so only the incarnation that prepared the map may vote yes.
type Arm struct {
	change      Change
	incarnation uint64
}

// Change returns the change to vote on.
func (m Arm) Change() Change { return m.change }

// Incarnation returns the incarnation whose vote is requested.
func (m Arm) Incarnation() uint64 { return m.incarnation }

// Armed (kind 33) is the sender's yes vote.
type Armed struct {
	change Change
}

// Change returns the change voted on.
func (m Armed) Change() Change { return m.change }

// Refuse (kind 34) is the sender's final no vote on a change. With a zero step
// it refuses to prepare a map. With a zero change it only reports the sender's
// highest fencing token, in reply to a Query without a change.
type Refuse struct {
	change       Change
	fencingToken uint64
}

// NewRefuse returns a no vote or, if the change is zero, a report of the
// fencing token.
func NewRefuse(c Change, fencingToken uint64) Refuse { return Refuse{c, fencingToken} }

// Change returns the change voted on.
func (m Refuse) Change() Change { return m.change }

// FencingToken returns the highest fencing token that the sender has seen.
func (m Refuse) FencingToken() uint64 { return m.fencingToken }

// Query (kind 35) requests a peer's vote on a change. A peer that has not voted
// votes no. A Query with a zero change requests the peer's fencing token.
type Query struct {
	epoch  uint64
	change Change
}

// NewQuery returns a query for the vote on a change or, if the change is zero,
// for the fencing token.
func NewQuery(epoch uint64, c Change) Query { return Query{epoch, c} }

// Change returns the change whose vote is requested.
func (m Query) Change() Change { return m.change }

// Decide (kind 36) announces the outcome of a change.
type Decide struct {
	change Change
	commit bool
}

// Change returns the decided change.
func (m Decide) Change() Change { return m.change }

// Commit reports whether the change takes effect.
func (m Decide) Commit() bool { return m.commit }

// LoadReport (kind 37) reports to the owner how many tokens each expert of a
// layer received at one rank since the last report.
type LoadReport struct {
	layer  int
	step   int64
	tokens []uint32
}

// NewLoadReport returns a report on the steps up to and including step.
func NewLoadReport(layer int, step int64, tokens []uint32) LoadReport {
	return LoadReport{layer, step, tokens}
}

// Layer returns the layer that the counts belong to.
func (m LoadReport) Layer() int { return m.layer }

// Step returns the last step counted.
func (m LoadReport) Step() int64 { return m.step }

// Tokens returns the number of tokens per expert.
func (m LoadReport) Tokens() []uint32 { return m.tokens }

func (Prepare) message()    {}
func (Prepared) message()   {}
func (Arm) message()        {}
func (Armed) message()      {}
func (Refuse) message()     {}
func (Query) message()      {}
func (Decide) message()     {}
func (LoadReport) message() {}
