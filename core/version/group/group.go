// Package group defines the messages about a group of ranks that advance in
// lockstep on an expert map: the report of a rank, the orders to a rank and the
// calls from the owner of the maps to the agents of the ranks.
package group

import "goldcrestshore/core/process/clock"

//go:generate go tool msgp -tests=false -io=false -file group.go -o group_gen.go

//msgp:ignore Op Outcome State
//msgp:tuple Report Order Call Reply EntryHeartbeat Load RateLimit RateLimits Departure Departures

// None is the value of a version or step that is not set.
const None = -1

// Report is the state of a rank as the rank reports it.
type Report struct {
	// StartTime is when the rank started, in Unix milliseconds. It distinguishes
	// incarnations with the same ID.
	StartTime int64
	Group     string
	// Epoch is the membership epoch. It rises when the group forms again; maps and
	// orders of an earlier epoch are invalid.
	Epoch int64
	Rank  int
	Size  int
	// Open reports whether the group runs passes.
	Open bool
	// Sequence is the number of orders that the rank has accepted.
	Sequence int64
	// Step is the last pass that has started.
	Step int64
	// Map is the version of the map in use.
	Map int64
	// Prepared is the version of the map whose experts the rank holds in addition, or
	// None.
	Prepared int64
	// ArmedVersion is the version of the next map, and ArmedStep the pass from which
	// it is used. Both are None if no map is armed.
	ArmedVersion int64
	ArmedStep    int64
	// HeldStep is the pass that does not start until it is released, or None.
	HeldStep int64
	// Running and Queued are numbers of requests.
	Running int
	Queued  int
	// Slowdown is the factor by which the rank's work takes longer than usual.
	Slowdown float64
}

// State is what is known of whether a group runs passes.
type State int

// States of a group.
const (
	// StateUnknown means that no rank has reported recently.
	StateUnknown State = iota
	// StateOpen means that the group runs passes.
	StateOpen
	// StateClosed means that the group waits for a rank or forms again. It runs
	// nothing until it is open.
	StateClosed
)

// Op is the operation of an order.
type Op int

// Operations.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare Op = iota + 1
	// Arm makes the rank use a prepared map from a given pass on.
	Arm
	// Disarm cancels Arm.
	Disarm
	// Hold keeps the group from starting a given pass.
	Hold
	// Release cancels Hold.
	Release
)

// noName is the name of a value that has none, as another process may send it.
const noName = "none"

// String returns the name that is used in logs.
func (o Op) String() string {
	switch o {
	case Prepare:
		return "prepare"
	case Arm:
		return "arm"
	case Disarm:
		return "disarm"
	case Hold:
		return "hold"
	case Release:
		return "release"
	}
	return noName
}

// Order is a request to a rank to change its state.
type Order struct {
	Op      int
	Version int64
	Step    int64
	Epoch   int64
	// Map lists the experts by layer and rank. It is set only for Prepare.
	Map [][][]int
	// Expected is the Report.Sequence that the rank must have for the order to be
	// valid. It is set by the process that sends the order to the rank.
	Expected int64
}

// Outcome is the result of an order.
type Outcome int

// Outcomes.
const (
	// Accepted means that the order is being carried out or that the rank is already
	// in the requested state.
	Accepted Outcome = iota + 1
	// Refused means that the order had no effect and will have none.
	Refused
	// Unknown means that the order may still take effect.
	Unknown
	// Fenced means that a newer owner has contacted the agent.
	Fenced
)

// String returns the name that is used in metrics.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	case Fenced:
		return "fenced"
	}
	return noName
}

// Call is a request from an owner of maps to the agent of a rank.
type Call struct {
	// Term is the term of the caller's ownership. An agent refuses a term lower than
	// the highest it has received.
	Term int64
	// WantCounts requests Reply.Counts.
	WantCounts bool
	// WantMap requests Reply.Experts.
	WantMap bool
	// HasOrder is set if Order is to be carried out. The reply then has the outcome
	// of the order and no report.
	HasOrder bool
	Order    Order
}

// Reply is the reply of an agent to a Call.
type Reply struct {
	Outcome int
	Report  Report
	// Counts are the cumulative numbers of tokens that the rank has routed, by layer
	// and expert.
	Counts []int64
	// Experts lists the experts of the rank by layer in the map in use.
	Experts [][]int
	// Failure is the reason why there is no report.
	Failure string
}

// State returns the state of the group that the report states.
func (r *Report) State() State {
	if r.Open {
		return StateOpen
	}
	return StateClosed
}

// EntryHeartbeat is a heartbeat from an entry to an agent.
type EntryHeartbeat struct {
	Entry string
	// InFlight is the number of requests of the entry in flight at the upstream.
	InFlight int
	// Term is the term of the entry's ownership of maps, 0 if it is not the owner.
	Term int64
	// Peer is the address at which the entry accepts calls of other entries.
	Peer string
}

// Load is the reply of an agent to an EntryHeartbeat.
type Load struct {
	// OthersInFlight is the number of requests of other entries in flight at the
	// upstream.
	OthersInFlight int
	// Entries is the number of entries with a recent heartbeat.
	Entries int
	// Term is the highest term of an owner of maps that the agent has received.
	Term int64
	// OwnerAge is the time since the last message of the owner, in milliseconds.
	OwnerAge int64
	// Peers are the addresses of other entries.
	Peers []string
	// Slowdown is the factor by which the rank's work takes longer than usual, 0 if
	// unknown.
	Slowdown float64
	// State is the State of the rank's group.
	State int
}

// GroupState returns State as its type.
func (l *Load) GroupState() State { return State(l.State) }

// OwnerAgeMillis returns OwnerAge as a duration.
func (l *Load) OwnerAgeMillis() clock.Millis { return clock.Millis(l.OwnerAge) }

// RateLimit is what an upstream has stated about how many requests it takes.
type RateLimit struct {
	Upstream string
	// PerSecond is the number of requests per second that the upstream takes from all
	// entries together, 0 if it no longer states a limit.
	PerSecond float64
	// Age is the time since the upstream stated so, in milliseconds.
	Age int64
	// Allowed is how many requests the limit had allowed by then since it began.
	Allowed float64
}

// RateLimits tells an agent what upstreams have stated to an entry, or an entry what they have
// stated to others.
type RateLimits struct {
	Limits []RateLimit
	// Position is the place of the entry among those that the agent hears from, from 0 in
	// the order of their names. Only an agent sets it.
	Position int
}

// Departure tells that an upstream has said in an answer that it leaves.
type Departure struct {
	Upstream string
	// StartTime is when the incarnation that leaves has started, in Unix milliseconds.
	StartTime int64
}

// Departures tells an agent which upstreams have told an entry that they leave, or an entry which
// have told others.
type Departures struct {
	Departures []Departure
}
