package sidecar

import (
	"fmt"
	"testing"

	"goldcrestshore/core/process/check"
	"goldcrestshore/core/version/group"
)

// Guards against agents that are told of what others serve.
func TestLimitsOfAgents(t *testing.T) {
	agents := []Agent{{Upstream: "u1"}, {Upstream: "u2"}}
	limits := []group.RateLimit{{Upstream: "u2", PerSecond: 1}, {Upstream: "plain", PerSecond: 2}, {Upstream: "u1", PerSecond: 3}}
	got := byAgent(agents, nil, limits, group.MaxRateLimits, func(l group.RateLimit) string { return l.Upstream })["u1"]
	check.Equal(t, "limits", len(got), 2)
	check.Equal(t, "upstream without an agent", got[0].Upstream, "plain")
	check.Equal(t, "upstream of the agent", got[1].Upstream, "u1")
}

// Guards against entries that tell different agents of an upstream without an agent, so that
// none learns from another, against a datagram to every agent, and against agents that do not
// reply.
func TestAgentsForUpstreamWithoutAgent(t *testing.T) {
	var agents, reversed []Agent
	for i := range 20 {
		agents = append(agents, Agent{Upstream: fmt.Sprint("u", i)})
		reversed = append(reversed, Agent{Upstream: fmt.Sprint("u", 19-i)})
	}
	chosen := agentsFor("plain", agents, nil)
	check.Equal(t, "agents", len(chosen), agentsPerUpstream)
	check.Equal(t, "agents of another entry", fmt.Sprint(agentsFor("plain", reversed, nil)), fmt.Sprint(chosen))
	check.Equal(t, "agents of another upstream", fmt.Sprint(agentsFor("other", agents, nil)) == fmt.Sprint(chosen), false)
	others := agentsFor("plain", agents, map[string]bool{chosen[0]: true})
	check.Equal(t, "first responsive agent", others[0], chosen[1])
	check.Equal(t, "responsive agents", len(others), agentsPerUpstream)
}
