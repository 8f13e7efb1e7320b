// Package group has the messages about a group of ranks that advance in
// lock-step on an expert map: what a rank reports, the orders it takes and the
// calls between an owner of maps and the agents of the ranks.
package group

import "goldcrestshore/core/process/clock"

//go:generate go tool msgp -tests=false -io=false -file group.go -o group_gen.go

//msgp:ignore Op Outcome
//msgp:tuple Report Order Call Reply EntryHeartbeat Load

// None stands for a version or step that a rank does not have.
const None = -1

// Report is what a rank says of itself.
type Report struct {
	// StartTime is the start of the rank in Unix milliseconds; it tells incarnations
	// apart that have the same id.
	StartTime int64
	Group     string
	// Epoch is raised when the group forms anew; maps and orders of an earlier
	// one are void.
	Epoch int64
	Rank  int
	Size  int
	// Open tells that the group runs passes.
	Open bool
	// Sequence counts the orders that the rank has accepted.
	Sequence int64
	// Step is the last pass that was begun.
	Step int64
	// Map is the version of the map in use.
	Map int64
	// Prepared is the version whose experts the rank holds besides, or None.
	Prepared int64
	// ArmedVersion and ArmedStep tell the map to come, or None.
	ArmedVersion int64
	ArmedStep    int64
	// HeldStep is the pass that does not begin until it is released, or None.
	HeldStep int64
	Running  int
	Queued   int
	// Slowdown is how many times as long the rank's work takes as usual.
	Slowdown float64
}

// Op is an operation of an order.
type Op int

// Operations.
const (
	// Prepare copies the experts of a map to the rank.
	Prepare Op = iota + 1
	// Arm makes the rank use a prepared map from a pass on.
	Arm
	// Disarm takes Arm back.
	Disarm
	// Hold keeps the group from beginning a pass.
	Hold
	// Release ends Hold.
	Release
)

// String returns the name used in logs.
func (o Op) String() string {
	return [...]string{"none", "prepare", "arm", "disarm", "hold", "release"}[o]
}

// Order asks a rank to change its state.
type Order struct {
	Op      int
	Version int64
	Step    int64
	Epoch   int64
	// Map holds the experts by layer and rank, for Prepare.
	Map [][][]int
	// Expected is the rank's Sequence for which the order holds; whoever sends the
	// order to the rank fills it in.
	Expected int64
}

// Outcome tells what became of an order.
type Outcome int

// Outcomes.
const (
	// Accepted means that the order has begun or its state already holds.
	Accepted Outcome = iota + 1
	// Refused means that the order had no effect and never will.
	Refused
	// Unknown means that the order may still take effect.
	Unknown
	// Fenced means that a newer owner has called the agent.
	Fenced
)

// String returns the name used in metrics.
func (o Outcome) String() string {
	return [...]string{"none", "accepted", "refused", "unknown", "fenced"}[o]
}

// Call is what an owner asks of an agent.
type Call struct {
	// Term is that of the caller's ownership; an agent refuses lower ones than
	// it has seen.
	Term int64
	// WantCounts asks for the tokens of each expert since the last call.
	WantCounts bool
	// WantMap asks for the experts that the rank holds.
	WantMap bool
	// HasOrder tells that Order is to be carried out; the reply has its outcome and
	// no report.
	HasOrder bool
	Order    Order
}

// Reply is an agent's answer.
type Reply struct {
	Outcome int
	Report  Report
	// Counts are the rank's cumulative choices by layer and expert.
	Counts []int64
	// Experts are the experts of the rank by layer in the map in use.
	Experts [][]int
	// Failure tells why there is no report.
	Failure string
}

// EntryHeartbeat is an entry's heartbeat to an agent.
type EntryHeartbeat struct {
	Entry string
	// InFlight is the number of requests that the entry has at the upstream.
	InFlight int
	// Term is that of the entry's ownership of maps, 0 for none.
	Term int64
	// Peer is the address at which the entry answers other entries, empty while
	// the store does not serve it.
	Peer string
}

// Load is an agent's answer to a heartbeat.
type Load struct {
	// OthersInFlight is what other entries hold at the upstream.
	OthersInFlight int
	// Entries is the number of entries that were heard lately.
	Entries int
	// Term is the highest term of an owner of maps.
	Term int64
	// OwnerAge is the time since the owner was heard, in milliseconds.
	OwnerAge int64
	// Peers are addresses of other entries that the store serves.
	Peers []string
	// Slowdown is how many times as long the rank's work takes as usual, 0 when
	// unknown.
	Slowdown float64
}

// OwnerAgeMillis returns OwnerAge as a span of time.
func (l *Load) OwnerAgeMillis() clock.Millis { return clock.Millis(l.OwnerAge) }
