package sidecar

import (
	"cmp"
	"slices"

	"goldcrestshore/core/request/fingerprint"
)

// agentsPerUpstream is how many agents are told of an upstream that has no agent. One of them
// suffices; all agents would double the datagrams between entries and agents.
const agentsPerUpstream = 3

// byAgent returns what each agent is told of upstreams, at most limit statements, by the agent's
// upstream: an agent is told of its own upstream, and some are told of one that has no agent.
func byAgent[T any](agents []Agent, unresponsive map[string]bool, statements []T, limit int, upstreamOf func(T) string) map[string][]T {
	hasAgent := make(map[string]bool, len(agents))
	for _, a := range agents {
		hasAgent[a.Upstream] = true
	}
	told := make(map[string][]T)
	tell := func(agent string, statement T) {
		if len(told[agent]) < limit {
			told[agent] = append(told[agent], statement)
		}
	}
	for _, statement := range statements {
		upstream := upstreamOf(statement)
		if hasAgent[upstream] {
			tell(upstream, statement)
			continue
		}
		for _, agent := range agentsFor(upstream, agents, unresponsive) {
			tell(agent, statement)
		}
	}
	return told
}

// agentsFor returns the upstreams of the agents that are told of an upstream without an agent.
// Entries that know the same agents choose the same ones.
func agentsFor(upstream string, agents []Agent, unresponsive map[string]bool) []string {
	type candidate struct {
		agent string
		rank  fingerprint.Fingerprint
	}
	var candidates []candidate
	for _, a := range agents {
		if !unresponsive[a.Upstream] {
			candidates = append(candidates, candidate{a.Upstream, fingerprint.OfValues(upstream, a.Upstream)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	var chosen []string
	for _, c := range candidates[:min(len(candidates), agentsPerUpstream)] {
		chosen = append(chosen, c.agent)
	}
	return chosen
}
