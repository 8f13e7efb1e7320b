package experts

import (
	"maps"
	"slices"
	"strings"

	"goldcrestshore/core/process/clock"
)

// lapsedMemberTTL is how long a rank is remembered after its record has gone.
const lapsedMemberTTL = clock.Minute

// Member is a rank of the group.
type Member struct {
	// Upstream is the ID of the replica.
	Upstream string
	// Agent is the address of the replica's agent.
	Agent string
	// Address is the address of the replica itself.
	Address string
}

// memberLog remembers the members of a group, by the address of their agents. The record of a
// rank can lapse, for example because the store loses its writes, while a change holds the
// group; the change can only be finished through all ranks. The zero value is ready to use.
type memberLog struct {
	seen map[string]seenMember
}

type seenMember struct {
	Member
	at clock.Millis
}

// record records the members that have a record now.
func (l *memberLog) record(now clock.Millis, members []Member) {
	if l.seen == nil {
		l.seen = make(map[string]seenMember)
	}
	for _, m := range members {
		l.seen[m.Agent] = seenMember{m, now}
	}
	maps.DeleteFunc(l.seen, func(_ string, m seenMember) bool { return now-m.at > lapsedMemberTTL })
}

// lapsed returns the remembered members whose agents are not among those of members.
func (l *memberLog) lapsed(members []Member) []Member {
	var out []Member
	for agent, m := range l.seen {
		if !slices.ContainsFunc(members, func(other Member) bool { return other.Agent == agent }) {
			out = append(out, m.Member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Agent, b.Agent) })
	return out
}
