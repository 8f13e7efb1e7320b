package rank

import "goldcrestshore/core/process/clock"

// Event is an input of Rank or Owner.
type Event interface{ event() }

// Received carries a message from the agent of a member of the group.
type Received struct {
	From    Member
	Message Message
}

// EngineState answers QueryEngine with what the engine has stored. A held
// change is one that the engine stops for at the change's step; a scheduled
// one takes effect there. Both outlive the agent, and so does the highest
// fencing token of the orders that the engine carried out (zero if the engine
// ignores tokens).
type EngineState struct {
	Step         int64
	Current      MapID
	Held         Change
	Scheduled    Change
	FencingToken uint64
}

// HoldPlaced answers Hold. OK is false when the engine has already entered the
// change's step.
type HoldPlaced struct {
	Change Change
	OK     bool
}

// Loaded tells that the engine holds all experts of a prepared map.
type Loaded struct {
	To MapID
}

// AtBoundary tells that the engine waits before the held change's step.
type AtBoundary struct {
	Change Change
}

// Entered tells that the engine has entered a step.
type Entered struct {
	Step int64
}

// Tick tells the present instant; it drives repeated messages and limits.
type Tick struct {
	Now clock.Millis
}

// MembershipChanged tells the new formation of the group as recorded in the platform:
// the remaining members and the map that they start from.
type MembershipChanged struct {
	Epoch   uint64
	Members []Member
	Current MapID
	Step    int64
}

// Propose asks the Owner to change the group from the map base. Experts has
// the weights to add for each member, by member number.
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

// Action is an output of Rank or Owner. Orders to the engine carry Fence, the
// highest fencing token that the agent has seen rather than that of the
// change: an engine that checks tokens would otherwise refuse to finish an
// older change that all ranks have already committed.
type Action interface{ action() }

// Send sends a message to one member's agent.
type Send struct {
	To      Member
	Message Message
}

// Broadcast sends a message to every other member and hands it to an Owner in
// the same agent.
type Broadcast struct {
	Message Message
}

// QueryEngine asks for an EngineState.
type QueryEngine struct{}

// Pause stops the engine at its next step boundary until Resume.
type Pause struct {
	FencingToken uint64
}

// Resume ends Pause.
type Resume struct {
	FencingToken uint64
}

// Hold makes the engine stop before the change's step; HoldPlaced answers it.
type Hold struct {
	Change       Change
	FencingToken uint64
}

// Release removes the hold of a change that was refused.
type Release struct {
	Change       Change
	FencingToken uint64
}

// Activate replaces the hold by the order to use the map from its step on.
type Activate struct {
	Change       Change
	FencingToken uint64
}

// LoadExperts makes the engine load weights into slots that the current map
// does not use; Loaded answers it.
type LoadExperts struct {
	To           MapID
	Experts      []Expert
	EncodedMap   []byte
	FencingToken uint64
}

// MembersUnresponsive tells that the members listed have not answered for too long. They
// must be removed and the group formed again through the platform. It is
// repeated with every further question while the wait lasts.
type MembersUnresponsive struct {
	Missing []Member
}

// Outcome is the end of a proposal as its owner knows it.
type Outcome int

// Outcomes of a proposal.
const (
	// Abandoned means that no rank was asked to vote, or one voted no.
	Abandoned Outcome = iota
	// Committed means that every rank voted yes.
	Committed
	// Unknown means that votes are missing; the ranks settle it themselves.
	Unknown
)

// Finished tells how a proposal ended.
type Finished struct {
	To      MapID
	Outcome Outcome
}

// Superseded tells the owner that a higher fencing token exists; it stops.
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
