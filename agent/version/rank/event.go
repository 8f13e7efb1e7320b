package rank

import "goldcrestshore/core/process/clock"

// Event is an input of Rank or Owner.
type Event interface{ event() }

// Received carries a message from the agent of a member of the group.
type Received struct {
	From    Member
	Message Message
}

// EngineState is the reply to QueryEngine. The engine stops at the step of a
// held change and applies a scheduled change at its step. Both survive a
// restart of the agent, and so does the highest fencing token of the orders
// that the engine carried out (zero if the engine does not check tokens).
type EngineState struct {
	Step         int64
	Current      MapID
	Held         Change
	Scheduled    Change
	FencingToken uint64
}

// HoldPlaced is the reply to Hold. OK is false if the engine has already entered
// the step of the change.
type HoldPlaced struct {
	Change Change
	OK     bool
}

// Loaded reports that the engine has loaded all experts of a prepared map.
type Loaded struct {
	To MapID
}

// AtBoundary reports that the engine has stopped before the step of the held
// change.
type AtBoundary struct {
	Change Change
}

// Entered reports that the engine has entered a step.
type Entered struct {
	Step int64
}

// Tick carries the current time; it drives retransmissions and timeouts.
type Tick struct {
	Now clock.Millis
}

// MembershipChanged carries a new membership epoch of the group, as recorded in
// the platform: the remaining members and the map and step they start from.
type MembershipChanged struct {
	Epoch   uint64
	Members []Member
	Current MapID
	Step    int64
}

// Propose requests a change of the group from the map Base. Experts lists the
// weights that each member must load, indexed by member number. EncodedMap is
// passed on to the engines.
type Propose struct {
	Base       MapID
	Experts    [][]Expert
	EncodedMap []byte
}

func (Received) event()          {}
func (EngineState) event()       {}
func (HoldPlaced) event()        {}
func (Loaded) event()            {}
func (AtBoundary) event()        {}
func (Entered) event()           {}
func (Tick) event()              {}
func (MembershipChanged) event() {}
func (Propose) event()           {}

// Action is an output of Rank or Owner. Orders to the engine carry the highest
// fencing token that the agent has seen rather than that of the change: an
// engine that checks tokens would otherwise refuse to finish an older change
// that all ranks have already committed.
type Action interface{ action() }

// Send sends a message to the agent of one member.
type Send struct {
	To      Member
	Message Message
}

// Broadcast sends a message to every other member and delivers it to the Owner
// in the same agent, if there is one.
type Broadcast struct {
	Message Message
}

// QueryEngine requests an EngineState.
type QueryEngine struct{}

// Pause stops the engine at its next step boundary until Resume.
type Pause struct {
	FencingToken uint64
}

// Resume cancels a Pause.
type Resume struct {
	FencingToken uint64
}

// Hold makes the engine stop before the step of the change. The reply is
// HoldPlaced.
type Hold struct {
	Change       Change
	FencingToken uint64
}

// Release removes the hold of a refused change.
type Release struct {
	Change       Change
	FencingToken uint64
}

// Activate replaces the hold of a change by an order to apply the change at
// its step.
type Activate struct {
	Change       Change
	FencingToken uint64
}

// LoadExperts makes the engine load weights into slots that the current map
// does not use. The reply is Loaded.
type LoadExperts struct {
	To           MapID
	Experts      []Expert
	EncodedMap   []byte
	FencingToken uint64
}

// MembersUnresponsive reports members that have not replied within the timeout.
// They must be removed from the group through the platform. The action is
// repeated with every further query until the wait ends.
type MembersUnresponsive struct {
	Missing []Member
}

// Outcome is the result of a proposal as observed by its owner.
type Outcome int

// Outcomes of a proposal.
const (
	// Abandoned means that the vote was not started, or that a rank voted no.
	Abandoned Outcome = iota
	// Committed means that every rank voted yes.
	Committed
	// Unknown means that votes are missing; the ranks resolve the change
	// without the owner.
	Unknown
)

// Finished reports the outcome of a proposal.
type Finished struct {
	To      MapID
	Outcome Outcome
}

// Superseded reports that a higher fencing token exists. The owner handles no
// further events.
type Superseded struct {
	FencingToken uint64
}

func (Send) action()                {}
func (Broadcast) action()           {}
func (QueryEngine) action()         {}
func (Pause) action()               {}
func (Resume) action()              {}
func (Hold) action()                {}
func (Release) action()             {}
func (Activate) action()            {}
func (LoadExperts) action()         {}
func (MembersUnresponsive) action() {}
func (Finished) action()            {}
func (Superseded) action()          {}
