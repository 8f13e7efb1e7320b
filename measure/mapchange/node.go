package mapchange

import (
	"fmt"

	"github.com/cockroachdb/errors"

	"goldcrestshore/agent/version/rank"
)

// errTooManyMessages means that sentWords is too small for the exploration.
var errTooManyMessages = errors.New("exploration has more distinct messages than sentWords allows")

// table assigns small IDs to values; equal values share one ID.
type table[T any] struct {
	index  map[string]int32
	values []T
}

// intern returns the ID of the value with the given key.
func (t *table[T]) intern(key []byte, v T) int32 {
	if id, ok := t.index[string(key)]; ok {
		return id
	}
	if t.index == nil {
		t.index = map[string]int32{}
	}
	id := int32(len(t.values))
	t.index[string(key)] = id
	t.values = append(t.values, v)
	return id
}

// agentState is an agent: the protocol state of its rank, and the owner if it
// runs one.
type agentState struct {
	self  rank.Member
	rank  *rank.Rank
	owner *rank.Owner
}

func (a *agentState) clone() *agentState {
	c := &agentState{self: a.self, rank: a.rank.Clone()}
	if a.owner != nil {
		c.owner = a.owner.Clone()
	}
	return c
}

// engineState is an engine with the map that it used in each step.
type engineState struct {
	engine
	usedMaps [lastStep + 1]rank.MapID
}

type packet struct {
	from, to rank.Member
	message  rank.Message
}

// agentDown is the ID of an agent that is down.
const agentDown int32 = -1

// sent is a bit set of messages by their ID in Exploration.packets.
type sent [sentWords]uint64

func (s sent) union(o sent) sent {
	for i := range s {
		s[i] |= o[i]
	}
	return s
}

// node is one state of the exploration. Agents and engines are IDs of the
// tables.
type node struct {
	agents  [exploredRanks]int32
	engines [exploredRanks]int32
	sent    sent
	crashed bool
}

func (x *Exploration) internAgent(a *agentState) int32 {
	b := a.rank.AppendKey([]byte{byte(a.self)})
	if a.owner != nil {
		b = a.owner.AppendKey(append(b, 'o'))
	}
	return x.agents.intern(b, a)
}

func (x *Exploration) internEngine(e *engineState) int32 {
	return x.engines.intern(fmt.Appendf(nil, "%v", *e), e)
}

func (x *Exploration) internPacket(p packet) int32 {
	return x.packets.intern(rank.AppendMessage([]byte{byte(p.from), byte(p.to)}, p.message), p)
}
