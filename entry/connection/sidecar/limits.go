package sidecar

import (
	"cmp"
	"slices"

	"goldcrestshore/core/request/fingerprint"
	"goldcrestshore/core/version/group"
)

// agentsPerLimit is how many agents are told of a limit whose upstream has no agent. One of
// them suffices; all agents would double the datagrams between entries and agents.
const agentsPerLimit = 3

// limitsByAgent returns the statements of which each agent is told, by the agent's upstream: an
// agent is told of its own upstream, and some are told of one that has no agent.
func limitsByAgent(agents []Agent, unresponsive map[string]bool, limits []group.RateLimit) map[string][]group.RateLimit {
	hasAgent := make(map[string]bool, len(agents))
	for _, a := range agents {
		hasAgent[a.Upstream] = true
	}
	told := make(map[string][]group.RateLimit)
	tell := func(agent string, l group.RateLimit) {
		if len(told[agent]) < group.MaxRateLimits {
			told[agent] = append(told[agent], l)
		}
	}
	for _, l := range limits {
		if hasAgent[l.Upstream] {
			tell(l.Upstream, l)
			continue
		}
		for _, agent := range agentsFor(l.Upstream, agents, unresponsive) {
			tell(agent, l)
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
	for _, c := range candidates[:min(len(candidates), agentsPerLimit)] {
		chosen = append(chosen, c.agent)
	}
	return chosen
}
